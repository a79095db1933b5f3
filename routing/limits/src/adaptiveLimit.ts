/**
 * An adaptive limit on this host's concurrent requests at one endpoint (AIMD): additive increase while
 * answers start in time, multiplicative decrease when they start late or the endpoint is overloaded.
 * The requests system updates it on each answer and checks it on each choice of an endpoint.
 */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** A time to first byte above this multiple of the average is a sign of overload. */
const LATE_FACTOR = 3
const DECREASE_FACTOR = 0.7
/** Minimum time between decreases, so that a burst of late answers counts once. */
const DECREASE_INTERVAL_MS = 1_000
/** Weight of a new sample in the moving average of the time to first byte. */
const SMOOTHING_FACTOR = 0.05
/** Added to the threshold for a late answer, so that small differences never count as late. */
const LATE_MARGIN_MS = 100
const MINIMUM_LIMIT = 1

export interface AdaptiveLimit {
  readonly getLimit: () => number
  /** Sets the upper bound of the limit; a limit at its old ceiling follows the new one. */
  readonly setCeiling: (ceiling: number) => void
  readonly recordFirstByte: (opts: { now: MonotonicMs, firstByteMs: DurationMs, inFlight: number }) => void
  readonly recordOverload: (now: MonotonicMs) => void
}

/** Creates a limit that starts at its ceiling. */
export function createAdaptiveLimit (startCeiling: number): AdaptiveLimit {
  let ceiling = Math.max(MINIMUM_LIMIT, startCeiling)
  let limit = ceiling
  let averageMs: DurationMs | undefined
  let decreasedAt = Number.NEGATIVE_INFINITY

  function decrease (now: MonotonicMs): void {
    if (now - decreasedAt < DECREASE_INTERVAL_MS) return
    decreasedAt = now
    limit = Math.max(MINIMUM_LIMIT, limit * DECREASE_FACTOR)
  }

  return {
    getLimit: () => Math.floor(limit),
    setCeiling: next => {
      if (next === ceiling) return
      const wasAtCeiling = limit >= ceiling
      ceiling = Math.max(MINIMUM_LIMIT, next)
      limit = wasAtCeiling ? ceiling : Math.min(limit, ceiling)
    },
    recordFirstByte: ({ now, firstByteMs, inFlight }) => {
      const average = averageMs ?? firstByteMs
      averageMs = average + (firstByteMs - average) * SMOOTHING_FACTOR
      if (firstByteMs > average * LATE_FACTOR + LATE_MARGIN_MS) {
        decrease(now)
        return
      }
      if (inFlight >= limit - 1) limit = Math.min(ceiling, limit + 1 / limit)
    },
    recordOverload: decrease
  }
}
