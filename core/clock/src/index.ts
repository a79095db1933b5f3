/** Clocks of the runtime. The core is handed the time; only shells read these. */

export interface Clock {
  /** Milliseconds on a clock that never goes back. */
  readonly getMonotonicMs: () => number
  /** Milliseconds since the Unix epoch. */
  readonly getWallMs: () => number
}

/** Reads the runtime's clocks at each call, so that tests can replace the globals. */
export function createSystemClock (): Clock {
  return {
    getMonotonicMs: () => performance.now(),
    getWallMs: () => Date.now()
  }
}
