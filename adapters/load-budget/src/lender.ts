/**
 * Token bucket for the load rate that is not guaranteed to any zone. The budget of the lending zone hands its loads out to
 * zones with loads waiting, itself included, each time one of them requests a loan.
 */
import type { MonotonicMs } from '@catkinferry/core.types'

const MS_PER_SECOND = 1_000
/** Unused loads accumulate over at most this much time. */
const BURST_MS = 2_000

export interface Lender {
  /** Begins with an empty bucket. Nothing is lent before `from`, because loads lent by an earlier lender may still begin. */
  readonly begin: (from: MonotonicMs) => void
  /** Takes up to `wanted` whole loads from the bucket and returns their number. */
  readonly lend: (wanted: number, now: MonotonicMs) => number
}

/** Creates a lender of a rate in loads per second. It lends nothing before `begin`. */
export function createLender (opts: { readonly getLoadsPerSecond: () => number }): Lender {
  let lendsFrom = Infinity
  let availableLoads = 0
  let filledAt = 0

  function fill (now: MonotonicMs): void {
    const loadsPerSecond = opts.getLoadsPerSecond()
    const burst = loadsPerSecond > 0 ? Math.max(1, loadsPerSecond * BURST_MS / MS_PER_SECOND) : 0
    availableLoads = Math.min(burst, availableLoads + loadsPerSecond * (now - filledAt) / MS_PER_SECOND)
    filledAt = now
  }

  return {
    begin: from => {
      lendsFrom = from
      filledAt = from
      availableLoads = 0
    },
    lend: (wanted, now) => {
      if (now < lendsFrom) return 0
      fill(now)
      const lent = Math.max(0, Math.min(Math.floor(wanted), Math.floor(availableLoads)))
      availableLoads -= lent
      return lent
    }
  }
}
