/**
 * Chooses the adapter to evict from an engine, or to drain for a later eviction, when another one must be loaded and no slot
 * is free. Used by the host that owns the endpoint.
 */
import type { AdapterKey, DurationMs } from '@catkinferry/core.types'

const MS_PER_SECOND = 1_000

/** A resident adapter. The caller omits those that are pinned or in use, except to choose one to drain. */
export interface EvictionCandidate {
  readonly adapterKey: AdapterKey
  /** Expected requests per second at this endpoint. */
  readonly ratePerSecond: number
}

/** Computes the value of keeping an adapter in its slot: the load stall that evicting it would cause, in milliseconds per second. */
export function computeSlotValue (ratePerSecond: number, expectedLoadMs: DurationMs): number {
  return ratePerSecond * expectedLoadMs
}

/** Computes the value of loading an adapter, in the same unit. Waiting requests count as if spread over the horizon. */
export function computeLoadValue (opts: { readonly ratePerSecond: number, readonly waiting: number, readonly horizonMs: DurationMs, readonly expectedLoadMs: DurationMs }): number {
  return computeSlotValue(opts.ratePerSecond + opts.waiting * MS_PER_SECOND / opts.horizonMs, opts.expectedLoadMs)
}

/**
 * Chooses the candidate with the lowest value, if `loadValue` exceeds that value by the factor `hysteresis`.
 * Returns undefined if nothing may or should be evicted.
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
  const requiredValue = computeSlotValue(lowest.ratePerSecond, opts.expectedLoadMs) * opts.hysteresis
  return opts.loadValue > requiredValue ? lowest.adapterKey : undefined
}
