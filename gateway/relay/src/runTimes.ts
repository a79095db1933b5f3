/** How long requests of each pool usually run, without the time that they waited for a slot. */
import type { DurationMs } from '@catkinferry/core.types'

/** Until the first request has ended. */
const FIRST_RUN_MS = 400
/** Weight of a new sample. */
const SMOOTHING = 0.05

export interface RunTimes {
  readonly get: (pool: string) => DurationMs
  /** Takes the time of a request that found a free slot. */
  readonly note: (pool: string, runMs: DurationMs) => void
}

/** Creates empty times. */
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
