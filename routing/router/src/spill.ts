/**
 * Chooses another zone for a request, when the router finds the own zone overloaded, or as the home zone of
 * an adapter that would have to be loaded here.
 */
import { computeWeight, hashText } from '@catkinferry/core.hash'
import type { AdapterKey, HostLocation, ZoneSummary } from '@catkinferry/core.types'
import type { RouteRequest, RouterWeights, ZoneChoice } from './types.ts'

/** Cost of the network hop to another zone of the same region. */
export const ZONE_HOP_MS = 2

/** Cost of the network hop to another region. */
const REGION_HOP_MS = 12

/** Summaries of other zones older than this are ignored. */
const MAX_SUMMARY_AGE_MS = 12_000

/** Larger payloads are not sent to other regions. */
const MAX_CROSS_REGION_BYTES = 16 * 1024
const BYTES_PER_KILOBYTE = 1_024

function computeSpillCost (summary: ZoneSummary, request: RouteRequest, weights: RouterWeights, self: HostLocation): number {
  if (summary.region === self.region) return summary.queueMs + ZONE_HOP_MS
  const kilobytes = request.getPayloadBytes() / BYTES_PER_KILOBYTE
  return summary.queueMs + REGION_HOP_MS + kilobytes * weights.spillCostPerKilobyteMs
}

/** Chooses the cheapest other zone with spare capacity. Payload size adds cost only across regions. */
export function chooseZone (opts: {
  readonly request: RouteRequest
  readonly weights: RouterWeights
  readonly self: HostLocation
  readonly zones: readonly ZoneSummary[]
}): ZoneChoice | undefined {
  const { request, weights, self, zones } = opts
  let best: ZoneChoice | undefined
  for (const summary of zones) {
    if (summary.ageMs > MAX_SUMMARY_AGE_MS || summary.freeCapacity <= 0) continue
    if (summary.region !== self.region && request.getPayloadBytes() > MAX_CROSS_REGION_BYTES) continue
    const costMs = computeSpillCost(summary, request, weights, self)
    if (best === undefined || costMs < best.costMs) best = { kind: 'zone', summary, costMs, queueMs: summary.queueMs }
  }
  return best
}

/**
 * Finds the home zone of an adapter in this region by rendezvous hashing: all hosts of the region with
 * summaries of the same zones find the same one. Returns undefined if it is this zone.
 */
export function findHomeZone (opts: { readonly adapterKey: AdapterKey, readonly self: HostLocation, readonly zones: readonly ZoneSummary[] }): ZoneSummary | undefined {
  const { adapterKey, self, zones } = opts
  const adapterHash = hashText(adapterKey)
  let home: ZoneSummary | undefined
  let heaviest = computeWeight(adapterHash, hashText(self.zone))
  for (const summary of zones) {
    if (summary.region !== self.region || summary.ageMs > MAX_SUMMARY_AGE_MS) continue
    const weight = computeWeight(adapterHash, hashText(summary.zone))
    if (weight <= heaviest) continue
    heaviest = weight
    home = summary
  }
  return home
}
