/**
 * Chooses an endpoint by cost in milliseconds. A cold adapter is gathered on a small candidate set by
 * rendezvous hashing, so that its requests share one load and one batch.
 */
import { computeWeight, hashText } from '@catkinferry/core.hash'
import type { EndpointId, EndpointView, HostPlace, MonotonicMs, ZoneView } from '@catkinferry/core.types'
import { computeCost, isWarm } from './cost.ts'
import { createOwnAsks } from './ownAsks.ts'
import { createPrefixIndex } from './prefixIndex.ts'
import { chooseZone, findHomeZone, ZONE_STEP_MS } from './spill.ts'
import type { Candidate, CostParts, EndpointMemory, RouteAsk, RouteChoice, Router, RouterWeights } from './types.ts'

/** Endpoints that a cold adapter may be loaded on. */
const COLD_CANDIDATES = 1

export interface RouterOptions {
  readonly self: HostPlace
  readonly zone: ZoneView
  /** Tells whether breaker and concurrency limit let a request through now. */
  readonly isAllowed: (endpoint: EndpointView, now: MonotonicMs) => boolean
}

function createMemories (): (endpoint: EndpointId) => EndpointMemory {
  const memories = new Map<EndpointId, EndpointMemory>()
  return endpoint => {
    const known = memories.get(endpoint)
    if (known !== undefined) return known
    const memory = { hash: hashText(endpoint), asks: createOwnAsks(), prefixes: createPrefixIndex() }
    memories.set(endpoint, memory)
    return memory
  }
}

/** True of an engine that is unreachable or has not reported to this host yet. */
function isUnknown (endpoint: EndpointView): boolean {
  return endpoint.kind === 'engine' && endpoint.batchLimit === 0
}

/** Adds the rendezvous candidates among the cold endpoints. */
function addHeaviest (candidates: Candidate[], cold: Candidate[]): void {
  for (let added = 0; added < COLD_CANDIDATES; added += 1) {
    let heaviest = -1
    for (let index = 0; index < cold.length; index += 1) {
      if (heaviest < 0 || (cold[index]?.weight ?? 0) > (cold[heaviest]?.weight ?? 0)) heaviest = index
    }
    const [candidate] = heaviest < 0 ? [] : cold.splice(heaviest, 1)
    if (candidate === undefined) return
    candidates.push(candidate)
  }
}

/** Picks the cheapest; the rendezvous weight decides between equals. */
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
  const getMemory = createMemories()

  /** Endpoints that have the adapter, and the rendezvous candidates among the others. */
  function listCandidates (ask: RouteAsk): { candidates: Candidate[], known: number } {
    const candidates: Candidate[] = []
    const cold: Candidate[] = []
    const adapterHash = hashText(ask.adapterKey)
    let known = 0
    for (const endpoint of opts.zone.listEndpoints(ask.pool)) {
      if (endpoint.leaving || ask.isAvoided(endpoint.endpoint)) continue
      known += 1
      if (isUnknown(endpoint) || !opts.isAllowed(endpoint, ask.now)) continue
      const memory = getMemory(endpoint.endpoint)
      const candidate = { endpoint, memory, weight: computeWeight(adapterHash, memory.hash) }
      if (isWarm(ask, candidate)) candidates.push(candidate)
      else cold.push(candidate)
    }
    addHeaviest(candidates, cold)
    return { candidates, known }
  }

  function chooseInZone (ask: RouteAsk, weights: RouterWeights): RouteChoice {
    const { candidates, known } = listCandidates(ask)
    const found = pickCheapest(candidates, candidate => computeCost(ask, candidate, weights))
    if (found === undefined) return { kind: 'none', reason: known === 0 ? 'noEndpoint' : 'allBusy' }
    return { kind: 'endpoint', endpoint: found.best.endpoint, cost: found.cost, weighed: candidates.length }
  }

  /** A load here is spared when another zone of the region gathers the adapter and has room for it. */
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
    noteAsked: (endpoint, adapterKey, now) => { getMemory(endpoint).asks.note(adapterKey, now) },
    noteAskDropped: (endpoint, adapterKey) => { getMemory(endpoint).asks.drop(adapterKey) },
    noteDispatched: (endpoint, prefixHash, now) => {
      if (prefixHash !== undefined) getMemory(endpoint).prefixes.noteDispatched(prefixHash, now)
    },
    receiveCache: (endpoint, change, prefixHashes, now) => {
      const { prefixes } = getMemory(endpoint)
      for (const prefixHash of prefixHashes) {
        if (change === 'stored') prefixes.noteStored(prefixHash, now)
        else prefixes.noteDropped(prefixHash, now)
      }
    }
  }
}
