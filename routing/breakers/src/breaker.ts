/**
 * A circuit breaker for one endpoint. It opens when the fraction of failures is too high; once the open
 * time is over it is half open, and the result of a single probe closes or reopens it.
 * The requests system and the relay consult it on each choice of an endpoint and record each result.
 */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** Length of the window over which failures are counted. */
const WINDOW_MS = 10_000

/** The open time doubles after each failed probe, up to this multiple. */
const MAX_OPEN_FACTOR = 8

export const BreakerState = { CLOSED: 'closed', OPEN: 'open', HALF_OPEN: 'halfOpen' } as const
export type BreakerState = typeof BreakerState[keyof typeof BreakerState]

export interface BreakerLimits {
  readonly failureFraction: number
  readonly minimumRequests: number
  readonly openMs: DurationMs
}

export interface Breaker {
  /** True if a request may be sent now: closed, or half open with no probe in flight. */
  readonly isAllowed: (now: MonotonicMs) => boolean
  /** Records that a request was sent. True if it is the probe: the first one in the half-open state. */
  readonly recordSent: (now: MonotonicMs) => boolean
  readonly recordSuccess: (now: MonotonicMs, limits: BreakerLimits) => void
  readonly recordFailure: (now: MonotonicMs, limits: BreakerLimits) => void
  /** Records that a request ended without a result that says anything about the endpoint. `wasProbe`: `recordSent` returned true for it. */
  readonly recordCancelled: (wasProbe: boolean) => void
  readonly getState: (now: MonotonicMs) => BreakerState
}

/** Creates a closed breaker. */
export function createBreaker (): Breaker {
  let openUntil: MonotonicMs | undefined
  let openFactor = 1
  let probing = false
  let windowStartedAt = 0
  let succeeded = 0
  let failed = 0

  function getState (now: MonotonicMs): BreakerState {
    if (openUntil === undefined) return BreakerState.CLOSED
    return now < openUntil ? BreakerState.OPEN : BreakerState.HALF_OPEN
  }

  function rollWindow (now: MonotonicMs): void {
    if (now - windowStartedAt < WINDOW_MS) return
    windowStartedAt = now
    succeeded = 0
    failed = 0
  }

  function open (now: MonotonicMs, openMs: DurationMs): void {
    openUntil = now + openMs * openFactor
    openFactor = Math.min(MAX_OPEN_FACTOR, openFactor * 2)
    probing = false
    succeeded = 0
    failed = 0
  }

  return {
    isAllowed: now => {
      const state = getState(now)
      return state === BreakerState.CLOSED || (state === BreakerState.HALF_OPEN && !probing)
    },
    recordSent: now => {
      if (probing || getState(now) !== BreakerState.HALF_OPEN) return false
      probing = true
      return true
    },
    recordSuccess: now => {
      rollWindow(now)
      succeeded += 1
      if (getState(now) !== BreakerState.HALF_OPEN) return
      openUntil = undefined
      openFactor = 1
      probing = false
    },
    recordFailure: (now, limits) => {
      rollWindow(now)
      failed += 1
      const state = getState(now)
      if (state === BreakerState.OPEN) return
      const isOverFraction = failed / (failed + succeeded) >= limits.failureFraction
      if (state === BreakerState.HALF_OPEN || (failed + succeeded >= limits.minimumRequests && isOverFraction)) open(now, limits.openMs)
    },
    recordCancelled: wasProbe => { if (wasProbe) probing = false },
    getState
  }
}
