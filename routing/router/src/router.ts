/**
 * Chooses an endpoint, or another zone, for each request by cost in milliseconds. Rendezvous hashing
 * restricts a cold adapter to a small set of candidates, so that its requests share one load and one batch.
 */
import { computeWeight, hashText } from '@catkinferry/core.hash'
import type { EndpointId, EndpointView, HostPlace, MonotonicMs, ZoneView } from '@catkinferry/core.types'
import { computeCost, isWarm, LONGEST_FIGURES_AGE_MS } from './cost.ts'
import { createOwnAsks } from './ownAsks.ts'
import { createPrefixIndex } from './prefixIndex.ts'
import { createRecentPlaces } from './recentPlaces.ts'
import { chooseZone, findHomeZone, ZONE_STEP_MS } from './spill.ts'
import type { Candidate, CostParts, EndpointMemory, RouteAsk, RouteChoice, Router, RouterWeights } from './types.ts'

/** Number of endpoints that are candidates for loading a cold adapter. */
const COLD_CANDIDATES = 3

export interface RouterOptions {
  readonly self: HostPlace
  readonly zone: ZoneView
  /** Returns whether the endpoint's breaker and concurrency limit allow a request now. */
  readonly isAllowed: (endpoint: EndpointView, now: MonotonicMs) => boolean
}

/** Bound on the endpoints for which this host keeps recent grant requests and prefixes. */
const MAX_KNOWN_ENDPOINTS = 4_096

interface Memories {
  readonly get: (endpoint: EndpointId) => EndpointMemory
  /** Histories of a list of endpoints, cached as long as the zone returns the same list. */
  readonly list: (endpoints: readonly EndpointView[]) => readonly EndpointMemory[]
}

function createMemories (): Memories {
  const memories = new Map<EndpointId, EndpointMemory>()
  const lists = new WeakMap<readonly EndpointView[], readonly EndpointMemory[]>()

  function get (endpoint: EndpointId): EndpointMemory {
    const known = memories.get(endpoint)
    if (known !== undefined) return known
    const memory = { hash: hashText(endpoint), asks: createOwnAsks(), prefixes: createPrefixIndex() }
    memories.set(endpoint, memory)
    const [oldest] = memories.size > MAX_KNOWN_ENDPOINTS ? memories.keys() : []
    if (oldest !== undefined) memories.delete(oldest)
    return memory
  }

  function list (endpoints: readonly EndpointView[]): readonly EndpointMemory[] {
    const known = lists.get(endpoints)
    if (known?.length === endpoints.length) return known
    const listed = endpoints.map(({ endpoint }) => get(endpoint))
    lists.set(endpoints, listed)
    return listed
  }

  return { get, list }
}

/** True if the engine is unreachable or this host has no report of it yet. */
function isUnknown (endpoint: EndpointView): boolean {
  return endpoint.kind === 'engine' && endpoint.batchLimit === 0
}

/** Inserts a candidate by descending rendezvous weight and keeps the first `COLD_CANDIDATES`. */
function addGathering (gathering: Candidate[], candidate: Candidate): void {
  let place = gathering.length
  while (place > 0 && (gathering[place - 1]?.weight ?? 0) < candidate.weight) place -= 1
  gathering.splice(place, 0, candidate)
  if (gathering.length > COLD_CANDIDATES) gathering.pop()
}

/** Selects the candidate with the lowest cost; ties go to the higher rendezvous weight. */
function pickCheapest (candidates: readonly Candidate[], getCost: (candidate: Candidate) => CostParts): { best: Candidate, cost: CostParts } | undefined {
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
  const memories = createMemories()
  const places = createRecentPlaces()

  /** Lists the endpoints that have the adapter or were just asked for it, and the cold candidates among the others. */
  function listCandidates (ask: RouteAsk): { candidates: Candidate[], known: number } {
    const endpoints = opts.zone.listEndpoints(ask.pool)
    const listed = memories.list(endpoints)
    const adapterHash = hashText(ask.adapterKey)
    const askedAt = places.find(ask.adapterKey, ask.now, LONGEST_FIGURES_AGE_MS)
    const candidates: Candidate[] = []
    const gathering: Candidate[] = []
    let known = 0
    for (let index = 0; index < endpoints.length; index += 1) {
      const endpoint = endpoints[index] as EndpointView
      const memory = listed[index] as EndpointMemory
      if (endpoint.leaving || ask.isAvoided(endpoint.endpoint)) continue
      known += 1
      const weight = computeWeight(adapterHash, memory.hash)
      const isAsked = askedAt === endpoint.endpoint
      const isWeighed = isAsked || isWarm(ask, endpoint)
      if (!isWeighed && gathering.length === COLD_CANDIDATES && weight <= (gathering.at(-1)?.weight ?? 0)) continue
      if (isUnknown(endpoint) || !opts.isAllowed(endpoint, ask.now)) continue
      const candidate = { endpoint, memory, weight, isAsked, coldRank: 0, loadMs: endpoint.expectedLoadMs }
      if (isWeighed) candidates.push(candidate)
      else addGathering(gathering, candidate)
    }
    const loadMs = gathering[0]?.loadMs ?? 0
    gathering.forEach((candidate, coldRank) => candidates.push({ ...candidate, coldRank, loadMs }))
    return { candidates, known }
  }

  function chooseInZone (ask: RouteAsk, weights: RouterWeights): RouteChoice {
    const { candidates, known } = listCandidates(ask)
    const found = pickCheapest(candidates, candidate => computeCost(ask, candidate, weights))
    if (found === undefined) return { kind: 'none', reason: known === 0 ? 'noEndpoint' : 'allBusy' }
    return { kind: 'endpoint', endpoint: found.best.endpoint, cost: found.cost, weighed: candidates.length }
  }

  /** Chooses the adapter's home zone in the region if that avoids a load here, has capacity, and costs no more than the load. */
  function chooseHome (ask: RouteAsk, weights: RouterWeights, inZone: RouteChoice): RouteChoice | undefined {
    if (inZone.kind !== 'endpoint' || inZone.cost.stallMs === 0) return undefined
    const summary = findHomeZone({ adapterKey: ask.adapterKey, self: opts.self, zones: opts.zone.listOtherZones(ask.pool) })
    if (summary === undefined || summary.freeCapacity <= 0) return undefined
    const costMs = summary.queueMs + ZONE_STEP_MS
    if (costMs > inZone.cost.stallMs * weights.loadStallWeight) return undefined
    return { kind: 'zone', summary, costMs, queueMs: summary.queueMs }
  }

  return {
    choose: (ask, weights) => {
      const inZone = chooseInZone(ask, weights)
      const home = ask.mayLeaveZone ? chooseHome(ask, weights, inZone) : undefined
      if (home !== undefined) return home
      const isGoodEnough = inZone.kind === 'endpoint' && inZone.cost.queueMs <= weights.spillQueueMs
      if (isGoodEnough || !ask.mayLeaveZone) return inZone
      const spill = chooseZone({ ask, weights, self: opts.self, zones: opts.zone.listOtherZones(ask.pool) })
      if (spill === undefined) return inZone
      return inZone.kind === 'endpoint' && inZone.cost.queueMs <= spill.costMs ? inZone : spill
    },
    noteAsked: (endpoint, adapterKey, now) => {
      memories.get(endpoint).asks.note(now)
      places.note(adapterKey, endpoint, now)
    },
    noteAskDropped: (endpoint, adapterKey) => {
      memories.get(endpoint).asks.drop()
      places.drop(adapterKey)
    },
    noteDispatched: (endpoint, prefixHash, now) => {
      if (prefixHash !== undefined) memories.get(endpoint).prefixes.noteDispatched(prefixHash, now)
    },
    receiveCache: (endpoint, change, prefixHashes, now) => {
      const { prefixes } = memories.get(endpoint)
      for (const prefixHash of prefixHashes) {
        if (change === 'stored') prefixes.noteStored(prefixHash, now)
        else prefixes.noteDropped(prefixHash, now)
      }
    }
  }
}
