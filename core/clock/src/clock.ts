/** The monotonic and wall clock of the runtime. Only the code around the deterministic core reads them; the core gets the time passed in. */

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
