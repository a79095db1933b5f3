/**
 * Bounds retries to a fraction of the successful requests by a token bucket, so that retries do not
 * multiply the load during an outage, and computes the delay before each retry. The requests system
 * records each success in it and takes a token for each retry and hedge.
 */
import type { Random } from '@catkinferry/core.random'
import type { DurationMs } from '@catkinferry/core.types'

/** Capacity of the token bucket: retries available at once when it is full. */
const MAX_TOKENS = 20
/** Upper bound of the delay before the first retry; doubles with each retry, up to `MAX_DELAY_MS`. */
const BASE_DELAY_MS = 20
const MAX_DELAY_MS = 1_000

export interface RetryBudget {
  /** Adds `budgetFraction` of a token. */
  readonly recordSuccess: (budgetFraction: number) => void
  /** Takes the token for one retry; false if the budget is exhausted. */
  readonly tryTake: () => boolean
}

/** Creates a full budget. */
export function createRetryBudget (): RetryBudget {
  let tokens = MAX_TOKENS
  return {
    recordSuccess: budgetFraction => { tokens = Math.min(MAX_TOKENS, tokens + budgetFraction) },
    tryTake: () => {
      if (tokens < 1) return false
      tokens -= 1
      return true
    }
  }
}

/** Computes the delay in ms before retry number `retry` (from 1): uniform from 0 to an exponentially growing bound (full jitter). */
export function computeRetryDelay (opts: { readonly retry: number, readonly random: Random }): DurationMs {
  const bound = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (opts.retry - 1))
  return opts.random.nextInt(0, bound)
}
