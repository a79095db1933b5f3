/**
 * This host's share of the fleet's retry budget, per pool, over a sliding window. The relay counts each request in it, and
 * asks it before each retry that takes from the budget.
 */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** Fraction of the share that is used, so that hosts with uneven traffic together stay within the budget. */
const USED_FRACTION = 0.7
/** Number of buckets into which the window is divided; requests and retries expire by bucket. */
const BUCKETS = 20

export interface RetryBudget {
  /** Retries per request. */
  readonly ratio: number
  /** Retries per window, over all hosts, that are allowed in addition however few requests there are. */
  readonly slack: number
  readonly windowMs: DurationMs
}

export interface RetryAllowance {
  readonly recordRequest: (pool: string) => void
  /** Takes one retry; false if the allowance is used up. */
  readonly tryTake: (pool: string) => boolean
  /** Number of retries that `tryTake` would give now. */
  readonly getLeft: (pool: string) => number
}

interface Bucket {
  readonly startedAt: MonotonicMs
  requests: number
  taken: number
}

export function createRetryAllowance (opts: RetryBudget & { readonly getEntryCount: () => number, readonly getNow: () => MonotonicMs }): RetryAllowance {
  const { ratio, slack, windowMs, getNow } = opts
  const pools = new Map<string, Bucket[]>()

  /** Buckets of the window that ends now; the last one is current. */
  function getBuckets (pool: string): Bucket[] {
    const now = getNow()
    const bucketMs = windowMs / BUCKETS
    const kept = (pools.get(pool) ?? []).filter(({ startedAt }) => now - startedAt <= windowMs + bucketMs)
    const last = kept.at(-1)
    if (last === undefined || now - last.startedAt >= bucketMs) kept.push({ startedAt: now, requests: 0, taken: 0 })
    pools.set(pool, kept)
    return kept
  }

  function getLeft (pool: string): number {
    const buckets = getBuckets(pool)
    const requests = buckets.reduce((sum, bucket) => sum + bucket.requests, 0)
    const taken = buckets.reduce((sum, bucket) => sum + bucket.taken, 0)
    const allowed = USED_FRACTION * (ratio * requests + slack / Math.max(1, opts.getEntryCount()))
    return Math.max(0, Math.floor(Math.max(1, allowed) - taken))
  }

  return {
    getLeft,
    recordRequest: pool => {
      const current = getBuckets(pool).at(-1)
      if (current !== undefined) current.requests += 1
    },
    tryTake: pool => {
      if (getLeft(pool) < 1) return false
      const current = getBuckets(pool).at(-1)
      if (current === undefined) return false
      current.taken += 1
      return true
    }
  }
}
