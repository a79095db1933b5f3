/** Computes the cost of running a request at an endpoint, in milliseconds; the router chooses the lowest. */
import type { DurationMs, EndpointView } from '@catkinferry/core.types'
import type { Candidate, CostParts, RouteAsk, RouterWeights } from './types.ts'

/** Cost reduction for a full batch over an empty one at weight 1. */
const FULL_BATCH_VALUE_MS = 60

/** Cost of each rank below the preferred endpoint of a cold adapter, so that its loads concentrate on one endpoint. */
const GATHER_STEP_MS = 30

/** Owners publish changes within this time, so older grant requests are included in the reported load. */
export const LONGEST_FIGURES_AGE_MS = 400

/** Counts this host's grant requests that the endpoint's reported load cannot include yet. */
function countOwnAsks (ask: RouteAsk, { endpoint, memory }: Candidate): number {
  return memory.asks.countSince(ask.now, Math.min(endpoint.reportAgeMs, LONGEST_FIGURES_AGE_MS))
}

/** True if the adapter is loaded or loading at the endpoint, and for plain services. */
export function isWarm (ask: RouteAsk, endpoint: EndpointView): boolean {
  return endpoint.kind === 'service' || endpoint.isResident(ask.adapterKey) || endpoint.isLoading(ask.adapterKey)
}

function estimateStall (ask: RouteAsk, { endpoint, isAsked, loadMs }: Candidate): DurationMs {
  if (endpoint.kind === 'service' || endpoint.isResident(ask.adapterKey)) return 0
  if (isAsked || endpoint.isLoading(ask.adapterKey)) return loadMs / 2
  const slotWaitMs = endpoint.freeSlots > 0 ? 0 : endpoint.expectedRunMs
  return loadMs + slotWaitMs
}

/** Queue wait + load stall x weight + prefix miss + rank of a cold adapter's endpoint - batch fill x weight. */
export function computeCost (ask: RouteAsk, candidate: Candidate, weights: RouterWeights): CostParts {
  const { endpoint, memory } = candidate
  const batchLimit = Math.max(1, endpoint.batchLimit)
  const load = endpoint.running + endpoint.waiting + countOwnAsks(ask, candidate)
  const excess = Math.max(0, load + 1 - batchLimit)
  const queueMs = excess * endpoint.expectedRunMs / batchLimit
  const stallMs = estimateStall(ask, candidate)
  const misses = ask.prefixHash !== undefined && !memory.prefixes.has(ask.prefixHash, ask.now)
  const prefixMs = misses ? weights.prefixMissMs : 0
  const fillMs = excess > 0 ? 0 : FULL_BATCH_VALUE_MS * load / batchLimit
  const gatherMs = candidate.coldRank * GATHER_STEP_MS
  const totalMs = queueMs + stallMs * weights.loadStallWeight + prefixMs + gatherMs - fillMs * weights.batchFillWeight
  return { totalMs, queueMs, stallMs, prefixMs, fillMs }
}
