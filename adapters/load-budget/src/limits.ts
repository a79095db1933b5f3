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
  /** Expected duration of a load. */
  readonly expectedMs: DurationMs
}

/** Computes the guaranteed minimum (floor) of each of `zoneCount` zones. A single zone gets all. */
export function computeFloors (limits: LoadLimits, zoneCount: number): { readonly perSecond: number, readonly inFlight: number } {
  if (zoneCount <= 1) return { perSecond: limits.perSecond, inFlight: limits.maxInFlight }
  const perSecond = limits.perSecond * FLOOR_SHARE / zoneCount
  return { perSecond, inFlight: Math.max(1, Math.floor(limits.maxInFlight * FLOOR_SHARE / zoneCount)) }
}

/** Computes the rate that remains above all floors and is lent, in loads per second. */
export function computeLentRate (limits: LoadLimits, zoneCount: number): number {
  return Math.max(0, limits.perSecond - computeFloors(limits, zoneCount).perSecond * zoneCount)
}
