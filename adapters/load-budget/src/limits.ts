/** Limits of the shared weight store, and their division between zones. Each zone's load budget computes its share from them. */
import type { DurationMs } from '@catkinferry/core.types'

/** Share of the limits that is guaranteed to zones; the floors of all zones add up to it. */
const FLOOR_SHARE = 0.7

/** Limits of the whole deployment, from the settings `loads.*`. */
export interface LoadLimits {
  readonly perSecond: number
  /** Loads in flight that the store serves at full speed; prefetches stay within this. */
  readonly fullSpeedInFlight: number
  readonly maxInFlight: number
  /** Share of a zone's loads in flight that may be prefetches. */
  readonly prefetchShare: number
  /** Expected duration of a load. */
  readonly expectedMs: DurationMs
}

/**
 * Computes the guaranteed minimum (floor) of one of `zoneCount` zones. A single zone gets all. Loads in flight are whole
 * numbers: the first zones get one more each, so that the floors of all zones never add up to more than the maximum.
 */
export function computeFloors (limits: LoadLimits, zoneCount: number, zoneIndex: number): { readonly perSecond: number, readonly inFlight: number } {
  if (zoneCount <= 1) return { perSecond: limits.perSecond, inFlight: limits.maxInFlight }
  const perSecond = limits.perSecond * FLOOR_SHARE / zoneCount
  const guaranteed = Math.min(limits.maxInFlight, Math.max(zoneCount, Math.floor(limits.maxInFlight * FLOOR_SHARE)))
  return { perSecond, inFlight: Math.floor(guaranteed / zoneCount) + (zoneIndex < guaranteed % zoneCount ? 1 : 0) }
}

/** Computes the rate that remains above all floors and is lent, in loads per second. */
export function computeLentRate (limits: LoadLimits, zoneCount: number): number {
  return Math.max(0, limits.perSecond - computeFloors(limits, zoneCount, 0).perSecond * zoneCount)
}
