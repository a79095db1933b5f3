/**
 * When the leader asks an engine again whether an adapter load is complete. Each order and its response cost the leader as much
 * processor time as any other message, so it does not ask before the loads of the pool usually end, and less often the longer a load takes.
 */
import type { DurationMs } from '@catkinferry/core.types'
import { ORDER_RESEND_MS, STORE_LOAD_POLL_MS } from './constants.ts'

/** Loads of a pool by which the next ones are judged. */
const RECENT_LOADS = 16
/**
 * Upper bound of the first poll, 1.3 times the time of a fast store. Loads that take longer are held up by others; they say nothing
 * of the next ones, and a load that is noticed late keeps a slot and a place at the store from callers that wait.
 */
const MAX_FIRST_POLL_MS = 1.3 * STORE_LOAD_POLL_MS
/** Pause between two polls, as a fraction of how long the load has taken: the end of a load is seen at most this much late. */
const POLL_PAUSE_FRACTION = 0.06

export interface LoadPolls {
  /** Records how long a load from the weight store took, from its order until the engine confirmed it. */
  readonly recordLoad: (pool: string, tookMs: DurationMs) => void
  /** Time from the order of a load from the weight store until the first poll. */
  readonly getFirstPollMs: (pool: string) => DurationMs
}

/** Creates polls that begin as early as loads of the fastest store end. */
export function createLoadPolls (): LoadPolls {
  const recentByPool = new Map<string, DurationMs[]>()
  return {
    recordLoad: (pool, tookMs) => {
      recentByPool.set(pool, [...recentByPool.get(pool) ?? [], tookMs].slice(-RECENT_LOADS))
    },
    // One pause earlier than the shortest recent load was confirmed, so that faster loads are noticed.
    getFirstPollMs: pool => Math.min(MAX_FIRST_POLL_MS, Math.max(STORE_LOAD_POLL_MS, Math.min(...recentByPool.get(pool) ?? [0]) - ORDER_RESEND_MS))
  }
}

/** Computes the pause until the next poll of a load that has taken `elapsedMs` so far. */
export function computePollPauseMs (elapsedMs: DurationMs): DurationMs {
  return Math.max(ORDER_RESEND_MS, elapsedMs * POLL_PAUSE_FRACTION)
}
