/** This host's share of the sends beyond the first that the fleet may make, for each pool. */

/** Part of the allowed share that is used, so that hosts with uneven traffic stay within the whole. */
const USED_FRACTION = 0.7

export interface RetryAllowance {
  readonly noteRequest: (pool: string) => void
  /** Takes one more send; false where the allowance is spent. */
  readonly tryTake: (pool: string) => boolean
}

/** Creates an allowance; each pool begins with this host's share of the fixed number. */
export function createRetryAllowance (opts: { readonly ratio: number, readonly slack: number, readonly getEntryCount: () => number }): RetryAllowance {
  const saved = new Map<string, number>()
  const getLimit = (): number => Math.max(1, opts.slack * USED_FRACTION / Math.max(1, opts.getEntryCount()))
  const getSaved = (pool: string): number => Math.min(saved.get(pool) ?? getLimit(), getLimit())

  return {
    noteRequest: pool => { saved.set(pool, getSaved(pool) + opts.ratio * USED_FRACTION) },
    tryTake: pool => {
      const left = getSaved(pool)
      if (left < 1) return false
      saved.set(pool, left - 1)
      return true
    }
  }
}
