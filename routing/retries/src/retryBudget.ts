/** A retry budget: a share of successes, kept in a token bucket, and the delay before a retry. */
import type { Random } from '@catkinferry/core.random'
import type { DurationMs } from '@catkinferry/core.types'

/** Retries that may be made after a long quiet time. */
const MAX_SAVED_RETRIES = 20
const BASE_DELAY_MS = 20
const MAX_DELAY_MS = 1_000

export interface RetryBudget {
  readonly noteSuccess: (budgetFraction: number) => void
  /** Takes one retry; false when the budget is spent. */
  readonly tryTake: () => boolean
  readonly getSaved: () => number
}

/** Creates a full budget. */
export function createRetryBudget (): RetryBudget {
  let saved = MAX_SAVED_RETRIES
  return {
    noteSuccess: budgetFraction => { saved = Math.min(MAX_SAVED_RETRIES, saved + budgetFraction) },
    tryTake: () => {
      if (saved < 1) return false
      saved -= 1
      return true
    },
    getSaved: () => saved
  }
}

/** Delay before retry number `retry` (from 1): uniform from 0 to an exponential bound. */
export function computeRetryDelay (opts: { readonly retry: number, readonly random: Random }): DurationMs {
  const bound = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (opts.retry - 1))
  return opts.random.nextInt(0, bound)
}
