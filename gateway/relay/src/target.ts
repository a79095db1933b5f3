/** Selects the endpoint of an exchange: an engine that has the adapter loaded, or one that the leader has load it. */
import type { DurationMs, EndpointId, MonotonicMs } from '@catkinferry/core.types'
import { formatPlacedKey } from '@catkinferry/core.types'
import type { DirectoryEndpoint, LoadAnswer } from '@catkinferry/fleet.directory'
import { chooseEndpoint } from './chooseEndpoint.ts'
import type { ChosenEndpoint } from './chooseEndpoint.ts'
import { COPY_INTERVAL_MS, COPY_LOAD_FRACTION, FAR_REQUESTS_FOR_COPY, FIRST_VERSION, LOAD_COST_MS, LOAD_WAIT_FRACTION, LOAD_WAIT_OBJECTIVES, LONE_DOUBT_MS, OLD_VERSION_MS } from './constants.ts'
import type { EndpointLink, EndpointLinks } from './endpointLinks.ts'
import { getWantedAdapter } from './exchange.ts'
import type { Exchange, Target, WantedAdapter } from './exchange.ts'
import type { RelayOptions } from './relayOptions.ts'
import type { RunTimes } from './runTimes.ts'

export type FoundTarget =
  | { readonly kind: 'target', readonly target: Target, readonly facts: Readonly<Record<string, unknown>>, readonly costMs?: DurationMs }
  | { readonly kind: 'none', readonly reason: string, readonly retryAfterMs?: number }

/** Assumed for an endpoint that has not reported its slots. */
const USUAL_SLOTS = 8

export interface TargetFinder {
  readonly find: (exchange: Exchange) => Promise<FoundTarget>
}

interface FinderState {
  readonly relay: RelayOptions
  readonly links: EndpointLinks
  readonly runTimes: RunTimes
  /** When a replica was last requested, by pool and adapter. */
  readonly copiesAskedAt: Map<string, MonotonicMs>
  /** Requests sent to other regions, by pool and adapter; starts over at `FAR_REQUESTS_FOR_COPY`. */
  readonly farRequests: Map<string, number>
}

/** Size limit of the tables for replica requests. */
const MAX_ADAPTERS_REMEMBERED = 2_000

function listUsable ({ relay }: FinderState, exchange: Exchange): DirectoryEndpoint[] {
  const { pool, tried, refusedBy, facts } = exchange
  return relay.directory.listEndpoints(pool.name).filter(({ endpoint, leaving, models }) =>
    !leaving && !tried.has(endpoint) && !refusedBy.has(endpoint) && (facts.model === undefined || pool.engine === undefined || models.includes(facts.model)))
}

function getSlots (exchange: Exchange, link: EndpointLink): number {
  return exchange.pool.engine?.batchLimit ?? link.figures?.load.slots ?? USUAL_SLOTS
}

function getLink ({ links }: FinderState, { pool }: Exchange, { endpoint, address }: DirectoryEndpoint): EndpointLink {
  return links.get(endpoint, address, pool.maxConnections)
}

/** Whether an endpoint probably does not respond: reported as suspect by the leader, or silent or unreachable from this host. */
function isDoubtful (state: FinderState, exchange: Exchange, endpoint: DirectoryEndpoint): boolean {
  const { silent, awaitingSince, unreachableUntil } = getLink(state, exchange, endpoint)
  const now = state.relay.clock.getMonotonicMs()
  const isLoneDoubt = silent && awaitingSince !== undefined && now - awaitingSince > LONE_DOUBT_MS
  return endpoint.suspect || isLoneDoubt || now < unreachableUntil
}

function choose (state: FinderState, exchange: Exchange, endpoints: readonly DirectoryEndpoint[]): ChosenEndpoint | undefined {
  const { relay, runTimes } = state
  const candidates = endpoints.map(endpoint => ({ endpoint, link: getLink(state, exchange, endpoint), others: relay.directory.getOthersLoad(endpoint.endpoint) }))
  return chooseEndpoint({ candidates, place: relay.place, runMs: runTimes.get(exchange.pool.name), now: relay.clock.getMonotonicMs(), nextFraction: relay.random.nextFraction, getSlots: link => getSlots(exchange, link) })
}

function describeChoice ({ relay }: FinderState, { costMs, load, link, others }: ChosenEndpoint, weighed: number): Readonly<Record<string, unknown>> {
  const now = relay.clock.getMonotonicMs()
  const figuresAgeMs = link.figures === undefined ? undefined : Math.round(now - link.figures.at)
  const totalsAgeMs = others === undefined ? undefined : Math.round(now - others.at)
  return { weighed, costMs: Math.round(costMs), load: Math.round(load), figuresAgeMs, totalsAgeMs }
}

/** Adapter versions that may be served now, the preferred one first. */
function listVersions ({ relay }: FinderState, { model, adapter }: WantedAdapter): readonly number[] {
  const announced = relay.directory.getAnnounced(model, adapter)
  if (announced === undefined) return [FIRST_VERSION]
  const mayUseOld = relay.clock.getMonotonicMs() - announced.at < OLD_VERSION_MS
  return mayUseOld && announced.version > FIRST_VERSION ? [announced.version, announced.version - 1] : [announced.version]
}

/** Selects an engine that has the adapter, in the preferred version that any of them has. */
function findHolder (state: FinderState, exchange: Exchange, wanted: WantedAdapter, usable: readonly DirectoryEndpoint[]): Extract<FoundTarget, { kind: 'target' }> | undefined {
  for (const version of listVersions(state, wanted)) {
    const adapterKey = formatPlacedKey(wanted.model, wanted.adapter, version)
    const holders = usable.filter(({ resident }) => resident.has(adapterKey))
    const chosen = choose(state, exchange, holders)
    if (chosen === undefined) continue
    askCopyIfWorth(state, exchange, wanted, chosen, holders)
    const hasFreeSlot = chosen.load < getSlots(exchange, chosen.link)
    return { kind: 'target', target: { endpoint: chosen.endpoint.endpoint, link: chosen.link, adapterKey, version, hasFreeSlot }, facts: describeChoice(state, chosen, holders.length), costMs: chosen.costMs }
  }
  return undefined
}

/** Whether to request another replica: even the least expensive engine is busy, or it is in another region and used often. */
function isCopyWorth (state: FinderState, exchange: Exchange, key: string, { endpoint, link, load }: ChosenEndpoint): boolean {
  if (load >= COPY_LOAD_FRACTION * getSlots(exchange, link)) return true
  if (endpoint.region === state.relay.place.region) return false
  const count = (state.farRequests.get(key) ?? 0) + 1
  state.farRequests.set(key, count % FAR_REQUESTS_FOR_COPY)
  return count >= FAR_REQUESTS_FOR_COPY
}

/** Removes the oldest row of a table that exceeds its size limit. */
function dropOldest (rows: Map<string, unknown>): void {
  const [oldest] = rows.size > MAX_ADAPTERS_REMEMBERED ? rows.keys() : []
  if (oldest !== undefined) rows.delete(oldest)
}

function askCopyIfWorth (state: FinderState, exchange: Exchange, wanted: WantedAdapter, chosen: ChosenEndpoint, holders: readonly DirectoryEndpoint[]): void {
  const key = `${exchange.pool.name}|${wanted.model}/${wanted.adapter}`
  const isWorth = isCopyWorth(state, exchange, key, chosen)
  dropOldest(state.farRequests)
  if (!isWorth) return
  const now = state.relay.clock.getMonotonicMs()
  if (now - (state.copiesAskedAt.get(key) ?? Number.NEGATIVE_INFINITY) < COPY_INTERVAL_MS) return
  state.copiesAskedAt.delete(key)
  state.copiesAskedAt.set(key, now)
  dropOldest(state.copiesAskedAt)
  state.relay.directory.askCopy({ pool: exchange.pool.name, ...wanted, priority: exchange.route.priority, beyond: holders.map(({ endpoint }) => endpoint) })
}

interface LoadWait {
  /** Engines that the leader must not choose. */
  readonly others: readonly DirectoryEndpoint[]
  /** Waiting longer than this costs more than using an engine that has the adapter. */
  readonly maxWaitMs: DurationMs
}

function waitForLoad (state: FinderState, exchange: Exchange, wanted: WantedAdapter, { others, maxWaitMs }: LoadWait): Promise<LoadAnswer> {
  const now = state.relay.clock.getMonotonicMs()
  const waitMs = Math.min(maxWaitMs, exchange.route.objectiveMs * LOAD_WAIT_OBJECTIVES, (exchange.endAt - now) * LOAD_WAIT_FRACTION)
  return new Promise(resolve => {
    exchange.interrupt = () => resolve({ kind: 'refused', reason: 'request ended while waiting for an adapter load', retryAfterMs: 0 })
    const avoid: EndpointId[] = [...exchange.tried, ...exchange.refusedBy, ...others.map(({ endpoint }) => endpoint)]
    state.relay.logger.info('requesting adapter load: no engine with the adapter has capacity', { step: 'load', requestId: exchange.facts.requestId, adapter: `${wanted.model}/${wanted.adapter}`, versions: listVersions(state, wanted), avoid, waitMs: Math.round(waitMs) })
    state.relay.directory.askLoad({ pool: exchange.pool.name, ...wanted, priority: exchange.route.priority, avoid, deadlineAt: now + waitMs }, resolve)
  })
}

async function findByLoad (state: FinderState, exchange: Exchange, wanted: WantedAdapter, wait: LoadWait): Promise<FoundTarget> {
  const askedAt = state.relay.clock.getMonotonicMs()
  const answer = await waitForLoad(state, exchange, wanted, wait)
  exchange.interrupt = undefined
  const waitedMs = Math.round(state.relay.clock.getMonotonicMs() - askedAt)
  if (answer.kind === 'refused') return { kind: 'none', reason: answer.reason, retryAfterMs: answer.retryAfterMs }
  const endpoint = state.relay.directory.getEndpoint(answer.endpoint)
  if (endpoint === undefined) return { kind: 'none', reason: 'the engine that loaded the adapter is no longer listed' }
  const link = state.links.get(endpoint.endpoint, endpoint.address, exchange.pool.maxConnections)
  const version = Number(answer.adapterKey.slice(answer.adapterKey.lastIndexOf('@') + 1))
  state.relay.observer.time('load_wait_ms', waitedMs)
  return { kind: 'target', target: { endpoint: endpoint.endpoint, link, adapterKey: answer.adapterKey, version }, facts: { loadWaitMs: waitedMs } }
}

function findAny (state: FinderState, exchange: Exchange): FoundTarget {
  const usable = listUsable(state, exchange)
  const sound = usable.filter(endpoint => !isDoubtful(state, exchange, endpoint))
  const candidates = sound.length > 0 ? sound : usable
  const chosen = choose(state, exchange, candidates)
  if (chosen === undefined) return { kind: 'none', reason: 'no endpoint of the service is available' }
  const hasFreeSlot = chosen.load < getSlots(exchange, chosen.link)
  return { kind: 'target', target: { endpoint: chosen.endpoint.endpoint, link: chosen.link, hasFreeSlot }, facts: describeChoice(state, chosen, candidates.length) }
}

/** Engines that have the adapter in a version that may be served. */
function listHolders (state: FinderState, wanted: WantedAdapter, usable: readonly DirectoryEndpoint[]): DirectoryEndpoint[] {
  const keys = listVersions(state, wanted).map(version => formatPlacedKey(wanted.model, wanted.adapter, version))
  return usable.filter(({ resident }) => keys.some(key => resident.has(key)))
}

/**
 * Selects, in this order: a healthy engine that has the adapter and costs no more than a load, an engine that loads it,
 * any healthy engine that has it, and any other engine that has it.
 */
async function findEngine (state: FinderState, exchange: Exchange, wanted: WantedAdapter): Promise<FoundTarget> {
  const usable = listUsable(state, exchange)
  const doubtful = usable.filter(endpoint => isDoubtful(state, exchange, endpoint))
  const sound = usable.filter(endpoint => !doubtful.includes(endpoint))
  const held = findHolder(state, exchange, wanted, sound)
  if (held !== undefined && (held.costMs ?? 0) <= LOAD_COST_MS) return held
  const others = [...doubtful, ...listHolders(state, wanted, sound)]
  const loaded = await findByLoad(state, exchange, wanted, { others, maxWaitMs: held?.costMs ?? Infinity })
  if (loaded.kind === 'target' || exchange.ended !== undefined) return loaded
  return findHolder(state, exchange, wanted, sound) ?? findHolder(state, exchange, wanted, doubtful) ?? loaded
}

export function createTargetFinder (opts: Pick<FinderState, 'relay' | 'links' | 'runTimes'>): TargetFinder {
  const state: FinderState = { ...opts, copiesAskedAt: new Map(), farRequests: new Map() }
  return {
    find: async exchange => {
      const wanted = exchange.pool.engine === undefined ? undefined : getWantedAdapter(exchange)
      if (wanted === undefined) return findAny(state, exchange)
      return await findEngine(state, exchange, wanted)
    }
  }
}
