/**
 * Chooses an endpoint, or another zone, for each request by cost in milliseconds. Rendezvous hashing
 * restricts a cold adapter to a small set of candidates, so that its requests share one load and one batch.
 * The requests system calls it whenever it tries to place, retry or hedge a request.
 */
import { computeWeight, hashText } from '@catkinferry/core.hash'
import type { EndpointId, EndpointView, HostLocation, MonotonicMs, ZoneView } from '@catkinferry/core.types'
import { computeCost, isWarm, MAX_REPORT_LAG_MS } from './cost.ts'
import { createPrefixIndex } from './prefixIndex.ts'
import { createRecentEndpoints } from './recentEndpoints.ts'
import { createRecentGrantRequests } from './recentGrantRequests.ts'
import { chooseZone, findHomeZone, ZONE_HOP_MS } from './spill.ts'
import type { Candidate, CostParts, EndpointHistory, RouteChoice, Router, RouteRequest, RouterWeights } from './types.ts'

/** Number of endpoints that are candidates for loading a cold adapter. */
const COLD_CANDIDATES = 3

export interface RouterOptions {
  readonly self: HostLocation
  readonly zone: ZoneView
  /** Returns whether the endpoint's breaker and concurrency limit allow a request now. */
  readonly isAllowed: (endpoint: EndpointView, now: MonotonicMs) => boolean
}

/** Bound on the endpoints for which this host keeps recent grant requests and prefixes. */
const MAX_KNOWN_ENDPOINTS = 4_096

interface EndpointHistories {
  readonly get: (endpoint: EndpointId) => EndpointHistory
  /** Histories of a list of endpoints, cached as long as the zone returns the same list. */
  readonly list: (endpoints: readonly EndpointView[]) => readonly EndpointHistory[]
}

function createEndpointHistories (): EndpointHistories {
  const histories = new Map<EndpointId, EndpointHistory>()
  const lists = new WeakMap<readonly EndpointView[], readonly EndpointHistory[]>()

  function get (endpoint: EndpointId): EndpointHistory {
    const known = histories.get(endpoint)
    if (known !== undefined) return known
    const history = { hash: hashText(endpoint), grantRequests: createRecentGrantRequests(), prefixes: createPrefixIndex() }
    histories.set(endpoint, history)
    const [oldest] = histories.size > MAX_KNOWN_ENDPOINTS ? histories.keys() : []
    if (oldest !== undefined) histories.delete(oldest)
    return history
  }

  function list (endpoints: readonly EndpointView[]): readonly EndpointHistory[] {
    const known = lists.get(endpoints)
    if (known?.length === endpoints.length) return known
    const listed = endpoints.map(({ endpoint }) => get(endpoint))
    lists.set(endpoints, listed)
    return listed
  }

  return { get, list }
}

/** True if the engine is unreachable or this host has no report of it yet. */
function isUnreported (endpoint: EndpointView): boolean {
  return endpoint.kind === 'engine' && endpoint.batchLimit === 0
}

/** Inserts a candidate by descending rendezvous weight and keeps the first `COLD_CANDIDATES`. */
function addColdCandidate (coldCandidates: Candidate[], candidate: Candidate): void {
  let index = coldCandidates.length
  while (index > 0 && (coldCandidates[index - 1]?.weight ?? 0) < candidate.weight) index -= 1
  coldCandidates.splice(index, 0, candidate)
  if (coldCandidates.length > COLD_CANDIDATES) coldCandidates.pop()
}

/** Selects the candidate with the lowest cost; ties go to the higher rendezvous weight. */
function selectCheapest (candidates: readonly Candidate[], getCost: (candidate: Candidate) => CostParts): { best: Candidate, cost: CostParts } | undefined {
  let found: { best: Candidate, cost: CostParts } | undefined
  for (const candidate of candidates) {
    const cost = getCost(candidate)
    const isBetter = found === undefined || cost.totalMs < found.cost.totalMs ||
      (cost.totalMs === found.cost.totalMs && candidate.weight > found.best.weight)
    if (isBetter) found = { best: candidate, cost }
  }
  return found
}

/** Creates the router of one host. */
export function createRouter (opts: RouterOptions): Router {
  const histories = createEndpointHistories()
  const recentEndpoints = createRecentEndpoints()

  /** Lists the endpoints that have the adapter or where this host has just requested a grant for it, and the cold candidates among the others. */
  function listCandidates (request: RouteRequest): { candidates: Candidate[], eligibleCount: number } {
    const endpoints = opts.zone.listEndpoints(request.pool)
    const listed = histories.list(endpoints)
    const adapterHash = hashText(request.adapterKey)
    const recentEndpoint = recentEndpoints.find(request.adapterKey, request.now, MAX_REPORT_LAG_MS)
    const candidates: Candidate[] = []
    const coldCandidates: Candidate[] = []
    let eligibleCount = 0
    for (let index = 0; index < endpoints.length; index += 1) {
      const endpoint = endpoints[index] as EndpointView
      const history = listed[index] as EndpointHistory
      if (endpoint.leaving || request.isAvoided(endpoint.endpoint)) continue
      eligibleCount += 1
      const weight = computeWeight(adapterHash, history.hash)
      const isRequested = recentEndpoint === endpoint.endpoint
      const isPreferred = isRequested || isWarm(request, endpoint)
      if (!isPreferred && coldCandidates.length === COLD_CANDIDATES && weight <= (coldCandidates.at(-1)?.weight ?? 0)) continue
      if (isUnreported(endpoint) || !opts.isAllowed(endpoint, request.now)) continue
      const candidate = { endpoint, history, weight, isRequested, coldRank: 0, loadMs: endpoint.expectedLoadMs }
      if (isPreferred) candidates.push(candidate)
      else addColdCandidate(coldCandidates, candidate)
    }
    const loadMs = coldCandidates[0]?.loadMs ?? 0
    coldCandidates.forEach((candidate, coldRank) => candidates.push({ ...candidate, coldRank, loadMs }))
    return { candidates, eligibleCount }
  }

  function chooseInZone (request: RouteRequest, weights: RouterWeights): RouteChoice {
    const { candidates, eligibleCount } = listCandidates(request)
    const found = selectCheapest(candidates, candidate => computeCost(request, candidate, weights))
    if (found === undefined) return { kind: 'none', reason: eligibleCount === 0 ? 'noEndpoint' : 'allBusy' }
    return { kind: 'endpoint', endpoint: found.best.endpoint, cost: found.cost, weighed: candidates.length }
  }

  /** Chooses the adapter's home zone in the region if that avoids a load here, has capacity, and costs no more than the load. */
  function chooseHomeZone (request: RouteRequest, weights: RouterWeights, inZone: RouteChoice): RouteChoice | undefined {
    if (inZone.kind !== 'endpoint' || inZone.cost.stallMs === 0) return undefined
    const summary = findHomeZone({ adapterKey: request.adapterKey, self: opts.self, zones: opts.zone.listOtherZones(request.pool) })
    if (summary === undefined || summary.freeCapacity <= 0) return undefined
    const costMs = summary.queueMs + ZONE_HOP_MS
    if (costMs > inZone.cost.stallMs * weights.loadStallWeight) return undefined
    return { kind: 'zone', summary, costMs, queueMs: summary.queueMs }
  }

  return {
    choose: (request, weights) => {
      const inZone = chooseInZone(request, weights)
      const home = request.mayLeaveZone ? chooseHomeZone(request, weights, inZone) : undefined
      if (home !== undefined) return home
      const isQueueShort = inZone.kind === 'endpoint' && inZone.cost.queueMs <= weights.spillQueueMs
      if (isQueueShort || !request.mayLeaveZone) return inZone
      const spill = chooseZone({ request, weights, self: opts.self, zones: opts.zone.listOtherZones(request.pool) })
      if (spill === undefined) return inZone
      return inZone.kind === 'endpoint' && inZone.cost.queueMs <= spill.costMs ? inZone : spill
    },
    recordGrantRequest: (endpoint, adapterKey, now) => {
      histories.get(endpoint).grantRequests.record(now)
      recentEndpoints.record(adapterKey, endpoint, now)
    },
    recordGrantRequestDropped: (endpoint, adapterKey) => {
      histories.get(endpoint).grantRequests.removeNewest()
      recentEndpoints.remove(adapterKey)
    },
    recordDispatch: (endpoint, prefixHash, now) => {
      if (prefixHash !== undefined) histories.get(endpoint).prefixes.recordDispatch(prefixHash, now)
    },
    receiveCacheEvent: (endpoint, change, prefixHashes, now) => {
      const { prefixes } = histories.get(endpoint)
      for (const prefixHash of prefixHashes) {
        if (change === 'stored') prefixes.recordStored(prefixHash, now)
        else prefixes.recordDropped(prefixHash, now)
      }
    }
  }
}
