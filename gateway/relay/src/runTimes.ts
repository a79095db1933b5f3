/**
 * Moving average of the run time of requests, per pool, without the time that they waited for a slot. Updated by the relay
 * after delivered responses; the choice of an endpoint estimates the wait for a slot from it.
 */
import type { DurationMs } from '@catkinferry/core.types'

/** Assumed until the first request of a pool has ended. */
const DEFAULT_RUN_MS = 400
/** Weight of a new sample in the moving average. */
const SMOOTHING_FACTOR = 0.05

export interface RunTimes {
  readonly get: (pool: string) => DurationMs
  /** Adds the run time of a request that did not wait for a slot. */
  readonly record: (pool: string, runMs: DurationMs) => void
}

export function createRunTimes (): RunTimes {
  const averages = new Map<string, DurationMs>()
  return {
    get: pool => averages.get(pool) ?? DEFAULT_RUN_MS,
    record: (pool, runMs) => {
      const averageMs = averages.get(pool) ?? runMs
      averages.set(pool, averageMs + (runMs - averageMs) * SMOOTHING_FACTOR)
    }
  }
}
