/** Lends the part of the load rate that is not in the floors, one load at a time, to the zones that want it. */
import type { MonotonicMs } from '@catkinferry/core.types'

const MS_PER_SECOND = 1_000
/** Loads of this much time may be lent at once after a quiet time. */
const BURST_MS = 2_000

export interface Lender {
  /** Nothing is lent before `from`: loads lent by an earlier lender may still begin. */
  readonly begin: (from: MonotonicMs) => void
  /** Takes up to `wanted` loads out of the pool; whole loads only. */
  readonly lend: (wanted: number, now: MonotonicMs) => number
}

/** Creates a lender of a pool of loads per second. */
export function createLender (opts: { readonly getPool: () => number }): Lender {
  let lendsFrom = Infinity
  let loads = 0
  let filledAt = 0

  function fill (now: MonotonicMs): void {
    const pool = opts.getPool()
    const burst = pool > 0 ? Math.max(1, pool * BURST_MS / MS_PER_SECOND) : 0
    loads = Math.min(burst, loads + pool * (now - filledAt) / MS_PER_SECOND)
    filledAt = now
  }

  return {
    begin: from => {
      lendsFrom = from
      filledAt = from
      loads = 0
    },
    lend: (wanted, now) => {
      if (now < lendsFrom) return 0
      fill(now)
      const lent = Math.max(0, Math.min(Math.floor(wanted), Math.floor(loads)))
      loads -= lent
      return lent
    }
  }
}
