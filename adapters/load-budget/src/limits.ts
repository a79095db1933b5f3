/** Limits of the shared weights store, and the part of one zone. */
import type { DurationMs } from '@catkinferry/core.types'

/** Share of the limits that the floors add up to. */
const FLOOR_SHARE = 0.7

/** Limits of the whole deployment, from the settings. */
export interface LoadLimits {
  readonly perSecond: number
  readonly fullSpeedInFlight: number
  readonly maxInFlight: number
  readonly expectedMs: DurationMs
}

/** Computes the floor of each of `zoneCount` zones; floors add up to a share of the limit. */
export function computeFloors (limits: LoadLimits, zoneCount: number): { readonly perSecond: number, readonly inFlight: number } {
  if (zoneCount <= 1) return { perSecond: limits.perSecond, inFlight: limits.maxInFlight }
  const perSecond = limits.perSecond * FLOOR_SHARE / zoneCount
  return { perSecond, inFlight: Math.max(1, Math.floor(limits.maxInFlight * FLOOR_SHARE / zoneCount)) }
}

/** Computes the rate that is lent, the rest above all floors. */
export function computeLentPool (limits: LoadLimits, zoneCount: number): number {
  return Math.max(0, limits.perSecond - computeFloors(limits, zoneCount).perSecond * zoneCount)
}
