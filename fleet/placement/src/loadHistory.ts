/** Recent loads and refusals, by which the leader estimates the backlog and recognizes work that returns after a refusal. */
import type { MonotonicMs } from '@catkinferry/core.types'

/** Window over which the rate of loads is averaged. */
const RATE_WINDOW_MS = 2_000
/** Shortest time over which a rate is computed. */
const MIN_RATE_WINDOW_MS = 500
/** How long refused work is remembered, and how many pieces of it. */
const REFUSAL_RETENTION_MS = 10_000
const MAX_REFUSALS = 20_000
const MS_PER_SECOND = 1_000

export interface LoadHistory {
  readonly recordLoad: (now: MonotonicMs) => void
  /** Loads begun per second by a leader that may give orders since `since`; undefined if that is too short a time to tell. */
  readonly getLoadsPerSecond: (now: MonotonicMs, since: MonotonicMs) => number | undefined
  readonly recordRefusal: (workId: string, now: MonotonicMs) => void
  readonly wasRefused: (workId: string, now: MonotonicMs) => boolean
  readonly clear: () => void
}

/** Creates an empty history. */
export function createLoadHistory (): LoadHistory {
  let loads: MonotonicMs[] = []
  const refusals = new Map<string, MonotonicMs>()

  return {
    recordLoad: now => {
      loads = loads.filter(at => now - at < RATE_WINDOW_MS)
      loads.push(now)
    },
    getLoadsPerSecond: (now, since) => {
      const windowMs = Math.min(RATE_WINDOW_MS, now - since)
      return windowMs < MIN_RATE_WINDOW_MS ? undefined : loads.filter(at => now - at < windowMs).length * MS_PER_SECOND / windowMs
    },
    recordRefusal: (workId, now) => {
      refusals.delete(workId)
      refusals.set(workId, now)
      const [oldest] = refusals.size > MAX_REFUSALS ? refusals.keys() : []
      if (oldest !== undefined) refusals.delete(oldest)
    },
    wasRefused: (workId, now) => now - (refusals.get(workId) ?? Number.NEGATIVE_INFINITY) < REFUSAL_RETENTION_MS,
    clear: () => {
      loads = []
      refusals.clear()
    }
  }
}
