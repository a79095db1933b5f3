/** Choice of the adapter that gives up its slot. */
import type { AdapterKey, DurationMs } from '@catkinferry/core.types'

const MS_PER_SECOND = 1_000

/** A resident adapter without pins, running requests or waiting asks. */
export interface EvictionCandidate {
  readonly adapterKey: AdapterKey
  /** Expected requests per second for it at this endpoint. */
  readonly ratePerSecond: number
}

/** Computes the expected load stall per second that giving up a slot costs, in milliseconds. */
export function computeSlotValue (ratePerSecond: number, expectedLoadMs: DurationMs): number {
  return ratePerSecond * expectedLoadMs
}

/** Computes the value of loading an adapter that has asks waiting: these count as if spread over the horizon. */
export function computeLoadValue (opts: { readonly ratePerSecond: number, readonly waiting: number, readonly horizonMs: DurationMs, readonly expectedLoadMs: DurationMs }): number {
  return computeSlotValue(opts.ratePerSecond + opts.waiting * MS_PER_SECOND / opts.horizonMs, opts.expectedLoadMs)
}

/**
 * Chooses the candidate with the lowest value, if `loadValue` is worth more than it by the factor `hysteresis`.
 * Undefined: nothing may or should be evicted.
 */
export function chooseEviction (opts: {
  readonly candidates: readonly EvictionCandidate[]
  readonly expectedLoadMs: DurationMs
  readonly loadValue: number
  readonly hysteresis: number
}): AdapterKey | undefined {
  let lowest: EvictionCandidate | undefined
  for (const candidate of opts.candidates) {
    if (lowest === undefined || candidate.ratePerSecond < lowest.ratePerSecond) lowest = candidate
  }
  if (lowest === undefined) return undefined
  const worth = computeSlotValue(lowest.ratePerSecond, opts.expectedLoadMs) * opts.hysteresis
  return opts.loadValue > worth ? lowest.adapterKey : undefined
}
