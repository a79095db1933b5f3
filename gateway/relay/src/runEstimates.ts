/**
 * Estimates how long requests of a route run at an endpoint, from those that have ended: a mean and a mean deviation, smoothed as TCP
 * smooths round-trip times (RFC 6298). A host that stops takes requests by these estimates.
 */
import type { DurationMs } from '@catkinferry/core.types'
import { DEFAULT_RUN_MS } from './runTimes.ts'

/** Weights of a new sample in the mean and in the deviation, and the deviation after the first sample as a fraction of it: RFC 6298, section 2. */
const MEAN_GAIN = 1 / 8
const DEVIATION_GAIN = 1 / 4
const FIRST_DEVIATION_FRACTION = 1 / 2
/** With run times that are spread exponentially, fewer than one in ten is longer than the mean and this many mean deviations. */
const SAFE_DEVIATIONS = 3

interface Estimate {
  readonly meanMs: DurationMs
  readonly deviationMs: DurationMs
}

export interface RunEstimates {
  /** How long a request of the route takes on average. */
  readonly getMean: (route: string) => DurationMs
  /** A time that hardly any request of the route exceeds. */
  readonly getSafe: (route: string) => DurationMs
  readonly record: (route: string, runMs: DurationMs) => void
  /** Records a run that was ended after this time, which says something only if others have been shorter. */
  readonly recordUnfinished: (route: string, runMs: DurationMs) => void
}

const beginEstimate = (runMs: DurationMs): Estimate => ({ meanMs: runMs, deviationMs: runMs * FIRST_DEVIATION_FRACTION })

export function createRunEstimates (): RunEstimates {
  const estimates = new Map<string, Estimate>()
  const unknown = beginEstimate(DEFAULT_RUN_MS)
  const getEstimate = (route: string): Estimate => estimates.get(route) ?? unknown

  function record (route: string, runMs: DurationMs): void {
    const former = estimates.get(route)
    if (former === undefined) {
      estimates.set(route, beginEstimate(runMs))
      return
    }
    const { meanMs, deviationMs } = former
    const differenceMs = runMs - meanMs
    estimates.set(route, { meanMs: meanMs + MEAN_GAIN * differenceMs, deviationMs: deviationMs + DEVIATION_GAIN * (Math.abs(differenceMs) - deviationMs) })
  }

  return {
    getMean: route => getEstimate(route).meanMs,
    getSafe: route => {
      const { meanMs, deviationMs } = getEstimate(route)
      return meanMs + SAFE_DEVIATIONS * deviationMs
    },
    record,
    recordUnfinished: (route, runMs) => { if (runMs > getEstimate(route).meanMs) record(route, runMs) }
  }
}
