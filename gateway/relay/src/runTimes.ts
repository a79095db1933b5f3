/**
 * Moving averages of times of requests, per pool, without the time that they waited for a slot. Updated by the relay after
 * responses; the choice of an endpoint estimates the wait for a slot from run times, and load requests what is left of the
 * objective from times to the first byte.
 */
import type { DurationMs } from '@catkinferry/core.types'

/** Assumed until the first request of a pool has ended, or got its first byte. */
export const DEFAULT_RUN_MS = 400
export const DEFAULT_FIRST_BYTE_MS = 120
/** Weight of a new sample in the moving average. */
const SMOOTHING_FACTOR = 0.05

export interface RunTimes {
  readonly get: (pool: string) => DurationMs
  /** Adds the run time of a request that did not wait for a slot. */
  readonly record: (pool: string, runMs: DurationMs) => void
}

/** Creates averages that begin with `defaultMs`. */
export function createRunTimes (defaultMs: DurationMs): RunTimes {
  const averages = new Map<string, DurationMs>()
  return {
    get: pool => averages.get(pool) ?? defaultMs,
    record: (pool, runMs) => {
      const averageMs = averages.get(pool) ?? runMs
      averages.set(pool, averageMs + (runMs - averageMs) * SMOOTHING_FACTOR)
    }
  }
}
