/**
 * Bytes that this host sends to and gets from other regions, by which it keeps to its share of the links. The relay records
 * each request that it sends to another region.
 */
import type { MonotonicMs, RegionId } from '@catkinferry/core.types'
import { REGION_LINK_BYTES_PER_SECOND, USABLE_LINK_FRACTION } from './constants.ts'
import type { TransferBytes } from './types.ts'

/** Time constant of the mean rate. */
const WINDOW_MS = 1_000

export interface LinkMeter {
  readonly record: (region: RegionId, bytes: TransferBytes, now: MonotonicMs) => void
  /** Whether both directions have room for a request. `hostCount`: hosts of this region, which share the link equally. */
  readonly hasRoom: (region: RegionId, hostCount: number, now: MonotonicMs) => boolean
}

interface Rate extends TransferBytes {
  readonly at: MonotonicMs
}

const NO_RATE: Rate = { requestBytes: 0, responseBytes: 0, at: 0 }

/** Creates a meter that has counted nothing. */
export function createLinkMeter (): LinkMeter {
  const rates = new Map<RegionId, Rate>()

  /** Mean bytes a second. */
  function getRate (region: RegionId, now: MonotonicMs): TransferBytes {
    const { requestBytes, responseBytes, at } = rates.get(region) ?? NO_RATE
    const weight = Math.exp((at - now) / WINDOW_MS)
    return { requestBytes: requestBytes * weight, responseBytes: responseBytes * weight }
  }

  return {
    record: (region, { requestBytes, responseBytes }, now) => {
      const rate = getRate(region, now)
      rates.set(region, { requestBytes: rate.requestBytes + requestBytes, responseBytes: rate.responseBytes + responseBytes, at: now })
    },
    hasRoom: (region, hostCount, now) => {
      const limit = REGION_LINK_BYTES_PER_SECOND * USABLE_LINK_FRACTION / Math.max(1, hostCount)
      const { requestBytes, responseBytes } = getRate(region, now)
      return Math.max(requestBytes, responseBytes) < limit
    }
  }
}
