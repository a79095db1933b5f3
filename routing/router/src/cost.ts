/**
 * Computes the cost of running a request at an endpoint, in milliseconds, for each candidate of a routing
 * choice; the router chooses the lowest.
 */
import type { DurationMs, EndpointView } from '@catkinferry/core.types'
import type { Candidate, CostParts, RouteRequest, RouterWeights } from './types.ts'

/** Cost reduction for a full batch over an empty one at weight 1. */
const FULL_BATCH_BONUS_MS = 60

/** Cost of each rank below the preferred endpoint of a cold adapter, so that its loads concentrate on one endpoint. */
const COLD_RANK_COST_MS = 30

/** Owners publish changes within this time, so older grant requests are included in the reported load. */
export const MAX_REPORT_LAG_MS = 400

/** Counts this host's grant requests that the endpoint's reported load cannot include yet. */
function countUnreportedRequests (request: RouteRequest, { endpoint, history }: Candidate): number {
  return history.grantRequests.countSince(request.now, Math.min(endpoint.reportAgeMs, MAX_REPORT_LAG_MS))
}

/** True if the adapter is loaded or loading at the endpoint, and for plain services. */
export function isWarm (request: RouteRequest, endpoint: EndpointView): boolean {
  return endpoint.kind === 'service' || endpoint.isResident(request.adapterKey) || endpoint.isLoading(request.adapterKey)
}

function estimateLoadStall (request: RouteRequest, { endpoint, isRequested, loadMs }: Candidate): DurationMs {
  if (endpoint.kind === 'service' || endpoint.isResident(request.adapterKey)) return 0
  if (isRequested || endpoint.isLoading(request.adapterKey)) return loadMs / 2
  const slotWaitMs = endpoint.freeSlots > 0 ? 0 : endpoint.expectedRunMs
  return loadMs + slotWaitMs
}

/** Queue wait + load stall x weight + prefix miss + rank of a cold adapter's endpoint - batch fill x weight. */
export function computeCost (request: RouteRequest, candidate: Candidate, weights: RouterWeights): CostParts {
  const { endpoint, history } = candidate
  const batchLimit = Math.max(1, endpoint.batchLimit)
  const load = endpoint.running + endpoint.waiting + countUnreportedRequests(request, candidate)
  const excess = Math.max(0, load + 1 - batchLimit)
  const queueMs = excess * endpoint.expectedRunMs / batchLimit
  const stallMs = estimateLoadStall(request, candidate)
  const isPrefixMiss = request.prefixHash !== undefined && !history.prefixes.has(request.prefixHash, request.now)
  const prefixMs = isPrefixMiss ? weights.prefixMissMs : 0
  const fillMs = excess > 0 ? 0 : FULL_BATCH_BONUS_MS * load / batchLimit
  const coldRankMs = candidate.coldRank * COLD_RANK_COST_MS
  const totalMs = queueMs + stallMs * weights.loadStallWeight + prefixMs + coldRankMs - fillMs * weights.batchFillWeight
  return { totalMs, queueMs, stallMs, prefixMs, fillMs }
}
