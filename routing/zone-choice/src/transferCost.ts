/** Costs of sending a request to another zone: round trip, time on the link and price of its bytes. */
import type { DurationMs, RegionId } from '@catkinferry/core.types'
import { BYTES_PER_KILOBYTE, LINK_MS_PER_KILOBYTE, MAX_PRICE_FRACTION, OTHER_REGION_COST_MS, OTHER_ZONE_COST_MS, REGION_PRICE_MS_PER_KILOBYTE, REGION_ROUND_TRIP_MS, ZONE_PRICE_MS_PER_KILOBYTE, ZONE_ROUND_TRIP_MS } from './constants.ts'
import type { TransferBytes, ZoneLocation } from './types.ts'

export interface TransferOptions extends TransferBytes {
  readonly isSameRegion: boolean
  readonly objectiveMs: DurationMs
}

/** Cost of a request to another zone in ms. */
export function computeTransferCost ({ isSameRegion, requestBytes, responseBytes, objectiveMs }: TransferOptions): DurationMs {
  const kilobytes = (requestBytes + responseBytes) / BYTES_PER_KILOBYTE
  const priceMs = kilobytes * (isSameRegion ? ZONE_PRICE_MS_PER_KILOBYTE : REGION_PRICE_MS_PER_KILOBYTE)
  const transitMs = isSameRegion ? ZONE_ROUND_TRIP_MS : REGION_ROUND_TRIP_MS + kilobytes * LINK_MS_PER_KILOBYTE
  return transitMs + Math.min(priceMs, objectiveMs * MAX_PRICE_FRACTION)
}

/** Cost of a location where shares are not planned. */
export function getConstantCost (location: ZoneLocation, own: { readonly zone: string, readonly region: RegionId }): DurationMs {
  if (location.zone === own.zone) return 0
  return location.region === own.region ? OTHER_ZONE_COST_MS : OTHER_REGION_COST_MS
}
