/** This host's share of the sends beyond the first that the fleet may make, for each pool, over a sliding window. */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** Part of the allowed share that is used, so that hosts with uneven traffic stay within the whole. */
const USED_FRACTION = 0.7
/** Parts of the window that are counted and forgotten as one. */
const PARTS = 20

export interface RetryBudget {
  /** Sends beyond the first for each request. */
  readonly ratio: number
  /** Sends beyond the first in each window, over all hosts, however few requests there are. */
  readonly slack: number
  readonly windowMs: DurationMs
}

export interface RetryAllowance {
  readonly noteRequest: (pool: string) => void
  /** Takes one more send; false where the allowance is spent. */
  readonly tryTake: (pool: string) => boolean
}

interface Part {
  readonly from: MonotonicMs
  requests: number
  taken: number
}

/** Creates an allowance. */
export function createRetryAllowance (opts: RetryBudget & { readonly getEntryCount: () => number, readonly getNow: () => MonotonicMs }): RetryAllowance {
  const { ratio, slack, windowMs, getNow } = opts
  const pools = new Map<string, Part[]>()

  /** The parts of the window that ends now; the last one is the present. */
  function getParts (pool: string): Part[] {
    const now = getNow()
    const partMs = windowMs / PARTS
    const known = (pools.get(pool) ?? []).filter(({ from }) => now - from <= windowMs + partMs)
    const last = known.at(-1)
    if (last === undefined || now - last.from >= partMs) known.push({ from: now, requests: 0, taken: 0 })
    pools.set(pool, known)
    return known
  }

  return {
    noteRequest: pool => {
      const present = getParts(pool).at(-1)
      if (present !== undefined) present.requests += 1
    },
    tryTake: pool => {
      const parts = getParts(pool)
      const present = parts.at(-1)
      const requests = parts.reduce((sum, part) => sum + part.requests, 0)
      const taken = parts.reduce((sum, part) => sum + part.taken, 0)
      const share = USED_FRACTION * (ratio * requests + slack / Math.max(1, opts.getEntryCount()))
      if (present === undefined || taken + 1 > Math.max(1, share)) return false
      present.taken += 1
      return true
    }
  }
}
