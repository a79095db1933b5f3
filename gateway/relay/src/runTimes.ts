/** Moving average of the run time of requests, per pool, without the time that they waited for a slot. */
import type { DurationMs } from '@catkinferry/core.types'

/** Assumed until the first request of a pool has ended. */
const FIRST_RUN_MS = 400
/** Weight of a new sample in the moving average. */
const SMOOTHING = 0.05

export interface RunTimes {
  readonly get: (pool: string) => DurationMs
  /** Adds the run time of a request that did not wait for a slot. */
  readonly note: (pool: string, runMs: DurationMs) => void
}

export function createRunTimes (): RunTimes {
  const times = new Map<string, DurationMs>()
  return {
    get: pool => times.get(pool) ?? FIRST_RUN_MS,
    note: (pool, runMs) => {
      const usual = times.get(pool) ?? runMs
      times.set(pool, usual + (runMs - usual) * SMOOTHING)
    }
  }
}
