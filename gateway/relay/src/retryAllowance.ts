/** This host's share of the fleet's retry budget, per pool, over a sliding window. */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** Fraction of the share that is used, so that hosts with uneven traffic together stay within the budget. */
const USED_FRACTION = 0.7
/** Number of buckets into which the window is divided; requests and retries expire by bucket. */
const PARTS = 20

export interface RetryBudget {
  /** Retries per request. */
  readonly ratio: number
  /** Retries per window, over all hosts, that are allowed in addition however few requests there are. */
  readonly slack: number
  readonly windowMs: DurationMs
}

export interface RetryAllowance {
  readonly noteRequest: (pool: string) => void
  /** Takes one retry; false if the allowance is used up. */
  readonly tryTake: (pool: string) => boolean
}

interface Part {
  readonly from: MonotonicMs
  requests: number
  taken: number
}

export function createRetryAllowance (opts: RetryBudget & { readonly getEntryCount: () => number, readonly getNow: () => MonotonicMs }): RetryAllowance {
  const { ratio, slack, windowMs, getNow } = opts
  const pools = new Map<string, Part[]>()

  /** Buckets of the window that ends now; the last one is current. */
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
