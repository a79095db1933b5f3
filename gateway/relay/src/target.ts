/**
 * Selects the endpoint of each attempt of a request, for the relay: an engine that has the adapter loaded, or one that the
 * leader has load it. A request without an adapter gets any endpoint of its pool.
 */
import type { DurationMs, EndpointId, MonotonicMs } from '@catkinferry/core.types'
import { formatPlacedKey } from '@catkinferry/core.types'
import type { DirectoryEndpoint, LoadAnswer } from '@catkinferry/fleet.directory'
import { chooseEndpoint } from './chooseEndpoint.ts'
import type { ChosenEndpoint } from './chooseEndpoint.ts'
import { ADAPTER_LOAD_COST_MS, ADAPTER_LOAD_WAIT_FRACTION, ADAPTER_LOAD_WAIT_OBJECTIVES, FIRST_VERSION, LOCAL_SILENCE_MS, MAX_FIRST_BYTE_FRACTION, MAX_ROOM_WAIT_FRACTION, MAX_UNREACHED_ENDPOINTS, MIN_REMAINING_MS, OLD_VERSION_GRACE_MS } from './constants.ts'
import type { EndpointInstance, EndpointNotices, RequestLimits } from '@catkinferry/routing.endpoint-notices'
import { getConstantCost } from '@catkinferry/routing.zone-choice'
import type { EndpointLink, EndpointLinks } from './endpointLinks.ts'
import { getRequestedAdapter } from './exchange.ts'
import type { Exchange, RequestedAdapter, Target } from './exchange.ts'
import type { RelayOptions } from './relayOptions.ts'
import type { LogFields } from './relayState.ts'
import { createReplicaRequests } from './replicaRequests.ts'
import type { ReplicaRequests } from './replicaRequests.ts'
import type { RunTimes } from './runTimes.ts'
import { createRelayZones } from './zoneCosts.ts'
import type { RelayZones } from './zoneCosts.ts'

/** `logFields` are added to the log entry of the attempt. `costMs` is the estimated cost, given only for an engine that already had the adapter. */
export type FoundTarget =
  | { readonly kind: 'target', readonly target: Target, readonly logFields: LogFields, readonly costMs?: DurationMs }
  | { readonly kind: 'none', readonly reason: string, readonly retryAfterMs?: number }
  /** All endpoints that could serve it have as many requests of this host as they may; it may wait this long for its turn. */
  | { readonly kind: 'full', readonly waitMs: DurationMs }
  /** This host cannot serve the request, while a peer may. */
  | { readonly kind: 'elsewhere', readonly reason: string }

const NO_PATH = 'this host reaches no endpoint of the service'

/** Assumed for an endpoint that has not reported its slots. */
const DEFAULT_SLOTS = 8

export interface TargetFinder extends Pick<RelayZones, 'recordSent' | 'recordDelivered'> {
  readonly find: (exchange: Exchange) => Promise<FoundTarget>
  /** Whether the endpoint still has room, which other requests may have taken since it was found. */
  readonly hasRoom: (exchange: Exchange, target: Target) => boolean
}

interface FinderState {
  /** Whether this host reaches no endpoint. */
  readonly isCutOff: () => boolean
  readonly notices: EndpointNotices
  readonly limits: RequestLimits
  readonly relay: RelayOptions
  readonly links: EndpointLinks
  readonly runTimes: RunTimes
  /** Average time from the send of a request to the first byte of its response, by pool. */
  readonly firstByteTimes: RunTimes
  readonly replicas: ReplicaRequests
  readonly zones: RelayZones
}

/** Whether the endpoint may go on with the stream, if it has begun. */
function isOfVersion ({ softwareVersion }: Exchange, row: DirectoryEndpoint): boolean {
  return softwareVersion === undefined || row.softwareVersion === softwareVersion
}

/** Endpoints of the pool that serve the model, are not leaving and were not used for this request yet, quiet ones included. */
function listServing ({ relay, notices }: FinderState, exchange: Exchange): DirectoryEndpoint[] {
  const { pool, tried, refusedBy, facts } = exchange
  return relay.directory.listEndpoints(pool.name).filter(row =>
    isOfVersion(exchange, row) && !row.leaving && !notices.isLeaving(row) && !tried.has(row.endpoint) && exchange.forwarded?.tried.includes(row.endpoint) !== true && !refusedBy.has(row.endpoint) && (facts.model === undefined || pool.engine === undefined || row.models.includes(facts.model)))
}

function hasEndpointOfVersion ({ relay }: FinderState, exchange: Exchange): boolean {
  return exchange.softwareVersion === undefined || relay.directory.listEndpoints(exchange.pool.name).some(row => isOfVersion(exchange, row))
}

interface UsableEndpoints {
  readonly usable: readonly DirectoryEndpoint[]
  /** Set if every endpoint that could serve the request wants no requests now. */
  readonly refusal?: Extract<FoundTarget, { kind: 'none' | 'full' }>
}

/** How long until an endpoint that is not leaving takes a request of this host, by the pause and the request limit that it announced. */
function getDelayMs (state: FinderState, exchange: Exchange, row: DirectoryEndpoint, now: MonotonicMs): DurationMs {
  const { notices, limits } = state
  if (row.limit !== undefined) limits.record(row, row.limit, now)
  if (limits.hasAny()) inheritLimit(state, exchange, row)
  return Math.max(notices.getQuietMs(row, now), limits.getDelayMs(row, now), getRoomDelayMs(state, exchange, row, getLink(state, exchange, row)))
}

/** An endpoint that has just started cannot turn away more than the others of its pool; its first response would tell too late. */
function inheritLimit ({ limits, relay }: FinderState, exchange: Exchange, row: DirectoryEndpoint): void {
  if (limits.get(row) !== undefined) return
  const known = relay.directory.listEndpoints(exchange.pool.name).map(other => limits.get(other)?.rejectionsPerSecond).find(rejectionsPerSecond => rejectionsPerSecond !== undefined)
  if (known !== undefined) limits.record(row, { rejectionsPerSecond: known, at: Number.NEGATIVE_INFINITY }, relay.clock.getMonotonicMs())
}

function getRoomDelayMs ({ limits, runTimes, relay }: FinderState, exchange: Exchange, instance: EndpointInstance, link: EndpointLink): DurationMs {
  return limits.getRoomDelayMs(instance, { slots: getSlots(exchange, link), runMs: runTimes.get(exchange.pool.name), inFlight: link.inFlight }, relay.clock.getMonotonicMs())
}

/** Whether a request may wait for its turn: it comes soon, and would leave most of the latency objective. */
function mayWait ({ relay }: FinderState, { arrivedAt, route, deadlineAt }: Exchange, waitMs: DurationMs): boolean {
  const turnAt = relay.clock.getMonotonicMs() + waitMs
  return turnAt <= arrivedAt + route.objectiveMs * MAX_ROOM_WAIT_FRACTION && turnAt < deadlineAt
}

function isOpen (state: FinderState, exchange: Exchange, row: DirectoryEndpoint): boolean {
  return !state.notices.isLeaving(row) && getDelayMs(state, exchange, row, state.relay.clock.getMonotonicMs()) === 0
}

/** Leaves out the endpoints that want no request of this host now. */
function listUsable (state: FinderState, exchange: Exchange): UsableEndpoints {
  const now = state.relay.clock.getMonotonicMs()
  const serving = listServing(state, exchange)
  const usable = serving.filter(row => isOpen(state, exchange, row))
  if (serving.length === 0 || usable.length > 0) return { usable }
  const retryAfterMs = Math.ceil(Math.min(...serving.map(row => getDelayMs(state, exchange, row, now))))
  const isFull = serving.some(row => getRoomDelayMs(state, exchange, row, getLink(state, exchange, row)) > 0)
  if (isFull && mayWait(state, exchange, retryAfterMs)) return { usable, refusal: { kind: 'full', waitMs: retryAfterMs } }
  return { usable, refusal: { kind: 'none', reason: 'every endpoint of the service asked for a pause or for fewer requests', retryAfterMs } }
}

function getInstance ({ endpoint, bornAt, softwareVersion }: DirectoryEndpoint): EndpointInstance & Pick<Target, 'softwareVersion'> {
  return { endpoint, bornAt, softwareVersion }
}

function getSlots (exchange: Exchange, link: EndpointLink): number {
  return exchange.pool.engine?.batchLimit ?? link.reportedLoad?.load.slots ?? DEFAULT_SLOTS
}

function getLink ({ links }: FinderState, { pool }: Exchange, { endpoint, address }: DirectoryEndpoint): EndpointLink {
  return links.get(endpoint, address, pool.maxConnections)
}

/** Whether an endpoint is silent at this host, or cannot be reached from it. */
function isUnresponsiveHere (state: FinderState, exchange: Exchange, endpoint: DirectoryEndpoint, link = getLink(state, exchange, endpoint)): boolean {
  const { silent, awaitingSince, unreachableUntil } = link
  const now = state.relay.clock.getMonotonicMs()
  const isSilentLocally = silent && awaitingSince !== undefined && now - awaitingSince > LOCAL_SILENCE_MS
  return isSilentLocally || now < unreachableUntil || state.isCutOff()
}

/** Whether an endpoint probably does not respond: reported as suspect by the leader, or unresponsive at this host. */
function isLikelyUnresponsive (state: FinderState, exchange: Exchange, endpoint: DirectoryEndpoint): boolean {
  return endpoint.suspect || isUnresponsiveHere(state, exchange, endpoint)
}

/** Whether only this host finds an endpoint unresponsive, so that others may be served by it. */
function isLostHere (state: FinderState, exchange: Exchange, endpoint: DirectoryEndpoint): boolean {
  return !endpoint.suspect && isUnresponsiveHere(state, exchange, endpoint)
}

/** Finds out, before any endpoint is chosen, whether to leave the request to another host: this one reaches no endpoint of the pool, or has failed to reach several for it. */
function findElsewhere (state: FinderState, exchange: Exchange): Exclude<FoundTarget, { kind: 'target' }> | undefined {
  if (!exchange.mayForward) return state.isCutOff() ? { kind: 'none', reason: NO_PATH } : undefined
  const rows = state.relay.directory.listEndpoints(exchange.pool.name).filter(row => !row.leaving)
  const isLost = rows.length > 0 && rows.every(row => row.suspect || isLostHere(state, exchange, row)) && rows.some(row => isLostHere(state, exchange, row))
  const hasFailed = exchange.hasUnreached && exchange.refusedBy.size >= MAX_UNREACHED_ENDPOINTS
  return isLost || hasFailed ? { kind: 'elsewhere', reason: NO_PATH } : undefined
}

/** Whether an engine has the adapter that only this host does not reach. */
function isResidentElsewhere (state: FinderState, exchange: Exchange, requested: RequestedAdapter): boolean {
  const lost = state.relay.directory.listEndpoints(exchange.pool.name).filter(row => !row.leaving && isOfVersion(exchange, row) && !exchange.tried.has(row.endpoint) && isLostHere(state, exchange, row))
  return listResidentEngines(state, requested, lost).length > 0
}

interface ChosenByCost extends ChosenEndpoint {
  readonly logFields: LogFields
}

function chooseByCost (state: FinderState, exchange: Exchange, endpoints: readonly DirectoryEndpoint[]): ChosenByCost | undefined {
  const { relay, runTimes, zones } = state
  const zoneCosts = zones.getCosts(exchange)
  const candidates = endpoints.map(endpoint => ({ endpoint, link: getLink(state, exchange, endpoint), othersLoad: relay.directory.getOthersLoad(endpoint.endpoint) }))
  const chosen = chooseEndpoint({ candidates, location: relay.location, zoneCosts, runMs: runTimes.get(exchange.pool.name), now: relay.clock.getMonotonicMs(), nextFraction: relay.random.nextFraction, getSlots: link => getSlots(exchange, link) })
  return chosen === undefined ? undefined : { ...chosen, logFields: { ...describeChoice(state, chosen, endpoints.length), ...zones.describe(exchange, chosen) } }
}

function describeChoice ({ relay }: FinderState, { costMs, load, link, othersLoad }: ChosenEndpoint, weighed: number): LogFields {
  const now = relay.clock.getMonotonicMs()
  const figuresAgeMs = link.reportedLoad === undefined ? undefined : Math.round(now - link.reportedLoad.at)
  const totalsAgeMs = othersLoad === undefined ? undefined : Math.round(now - othersLoad.at)
  return { weighed, costMs: Math.round(costMs), load: Math.round(load), figuresAgeMs, totalsAgeMs }
}

/** Adapter versions that may be served now, the preferred one first. */
function listVersions ({ relay }: FinderState, { model, adapter }: RequestedAdapter): readonly number[] {
  const announced = relay.directory.getAnnounced(model, adapter)
  if (announced === undefined) return [FIRST_VERSION]
  const mayUseOld = relay.clock.getMonotonicMs() - announced.at < OLD_VERSION_GRACE_MS
  return mayUseOld && announced.version > FIRST_VERSION ? [announced.version, announced.version - 1] : [announced.version]
}

/** Cost of an engine compared with a load elsewhere. A high cost of its zone is no reason for a copy: the load would take the slot of another adapter. */
function computeStayCost ({ relay }: FinderState, { costMs, zoneCostMs, endpoint }: ChosenEndpoint): DurationMs {
  return costMs - zoneCostMs + Math.min(zoneCostMs, getConstantCost(endpoint, relay.location))
}

/** Selects an engine that has the adapter, in the preferred version that any of them has. */
function findResidentEngine (state: FinderState, exchange: Exchange, requested: RequestedAdapter, usable: readonly DirectoryEndpoint[]): Extract<FoundTarget, { kind: 'target' }> | undefined {
  for (const version of listVersions(state, requested)) {
    const adapterKey = formatPlacedKey(requested.model, requested.adapter, version)
    const engines = usable.filter(({ resident }) => resident.has(adapterKey))
    const chosen = chooseByCost(state, exchange, engines)
    if (chosen === undefined) continue
    const slots = getSlots(exchange, chosen.link)
    state.replicas.requestIfNeeded(exchange, requested, { ...chosen, slots, engines })
    const hasFreeSlot = chosen.load < slots
    return { kind: 'target', target: { ...getInstance(chosen.endpoint), link: chosen.link, adapterKey, version, hasFreeSlot }, logFields: chosen.logFields, costMs: computeStayCost(state, chosen) }
  }
  return undefined
}

interface LoadWait {
  /** Engines that the leader must not choose. */
  readonly avoided: readonly EndpointId[]
  /** Waiting longer than this costs more than using an engine that has the adapter. */
  readonly maxWaitMs: DurationMs
}

/** Estimates the part of the objective that the engine needs once the adapter is loaded. */
function estimateFirstByte ({ firstByteTimes }: FinderState, { pool, route }: Exchange): DurationMs {
  return Math.min(firstByteTimes.get(pool.name), route.objectiveMs * MAX_FIRST_BYTE_FRACTION)
}

function requestLoad (state: FinderState, exchange: Exchange, requested: RequestedAdapter, { avoided, maxWaitMs }: LoadWait): Promise<LoadAnswer> {
  const now = state.relay.clock.getMonotonicMs()
  const longestWaitMs = Math.min(maxWaitMs, (exchange.deadlineAt - now) * ADAPTER_LOAD_WAIT_FRACTION)
  const waitMs = Math.min(longestWaitMs, exchange.route.objectiveMs * ADAPTER_LOAD_WAIT_OBJECTIVES)
  return new Promise(resolve => {
    let isWaiting = true
    exchange.interrupt = () => {
      isWaiting = false
      resolve({ kind: 'refused', reason: 'request ended while waiting for an adapter load', retryAfterMs: 0 })
    }
    const onAnswer = (answer: LoadAnswer): void => {
      if (!isWaiting && answer.kind === 'given') state.relay.directory.recordUnused(answer.endpoint, answer.adapterKey)
      resolve(answer)
    }
    const avoid: EndpointId[] = [...exchange.tried, ...exchange.refusedBy, ...avoided]
    state.relay.logger.info('requesting adapter load: no engine with the adapter has capacity', { step: 'load', requestId: exchange.facts.requestId, adapter: `${requested.model}/${requested.adapter}`, versions: listVersions(state, requested), avoid, waitMs: Math.round(waitMs) })
    state.relay.directory.requestLoad({ pool: exchange.pool.name, ...requested, priority: exchange.route.priority, avoid, askedAt: now, waitMs, deadlineAt: now + longestWaitMs, onTimeUntil: exchange.arrivedAt + exchange.route.objectiveMs - estimateFirstByte(state, exchange), workId: exchange.facts.workId, softwareVersion: exchange.softwareVersion }, onAnswer)
  })
}

async function findByLoading (state: FinderState, exchange: Exchange, requested: RequestedAdapter, wait: LoadWait): Promise<FoundTarget> {
  const requestedAt = state.relay.clock.getMonotonicMs()
  if (exchange.deadlineAt - requestedAt < MIN_REMAINING_MS) return { kind: 'none', reason: 'not enough time left to load the adapter' }
  const answer = await requestLoad(state, exchange, requested, wait)
  exchange.interrupt = undefined
  const waitedMs = Math.round(state.relay.clock.getMonotonicMs() - requestedAt)
  if (answer.kind === 'refused' && answer.isLocal === true && exchange.mayForward) return { kind: 'elsewhere', reason: answer.reason }
  if (answer.kind === 'refused') return { kind: 'none', reason: answer.reason, retryAfterMs: answer.retryAfterMs }
  const endpoint = state.relay.directory.getEndpoint(answer.endpoint)
  // The engine left, or announced its departure, a pause or a limit, while the request waited.
  if (endpoint === undefined || !isOfVersion(exchange, endpoint) || !isOpen(state, exchange, endpoint)) {
    state.relay.directory.recordUnused(answer.endpoint, answer.adapterKey)
    return await findByLoading(state, exchange, requested, { ...wait, avoided: [...wait.avoided, answer.endpoint] })
  }
  const link = state.links.get(endpoint.endpoint, endpoint.address, exchange.pool.maxConnections)
  const version = Number(answer.adapterKey.slice(answer.adapterKey.lastIndexOf('@') + 1))
  state.relay.observer.time('load_wait_ms', waitedMs)
  return { kind: 'target', target: { ...getInstance(endpoint), link, adapterKey: answer.adapterKey, version }, logFields: { loadWaitMs: waitedMs } }
}

function findPoolEndpoint (state: FinderState, exchange: Exchange): FoundTarget {
  const { usable, refusal } = listUsable(state, exchange)
  if (refusal !== undefined) return refusal
  const healthy = usable.filter(endpoint => !isLikelyUnresponsive(state, exchange, endpoint))
  const candidates = healthy.length > 0 ? healthy : usable
  const chosen = chooseByCost(state, exchange, candidates)
  if (chosen === undefined) return exchange.mayForward && exchange.hasUnreached ? { kind: 'elsewhere', reason: NO_PATH } : { kind: 'none', reason: 'no endpoint of the service is available' }
  const hasFreeSlot = chosen.load < getSlots(exchange, chosen.link)
  return { kind: 'target', target: { ...getInstance(chosen.endpoint), link: chosen.link, hasFreeSlot }, logFields: chosen.logFields }
}

/** Engines that have the adapter in a version that may be served. */
function listResidentEngines (state: FinderState, requested: RequestedAdapter, usable: readonly DirectoryEndpoint[]): DirectoryEndpoint[] {
  const keys = listVersions(state, requested).map(version => formatPlacedKey(requested.model, requested.adapter, version))
  return usable.filter(({ resident }) => keys.some(key => resident.has(key)))
}

/**
 * Selects, in this order: a healthy engine that has the adapter and costs no more than a load, an engine that loads it,
 * any healthy engine that has it, and any other engine that has it.
 */
async function findEngine (state: FinderState, exchange: Exchange, requested: RequestedAdapter): Promise<FoundTarget> {
  const { usable, refusal } = listUsable(state, exchange)
  if (refusal !== undefined) return refusal
  if (!hasEndpointOfVersion(state, exchange)) return { kind: 'none', reason: 'no endpoint of the software version that began the stream is left' }
  const unresponsive = usable.filter(endpoint => isLikelyUnresponsive(state, exchange, endpoint))
  const healthy = usable.filter(endpoint => !unresponsive.includes(endpoint))
  const resident = findResidentEngine(state, exchange, requested, healthy)
  if (resident !== undefined && (resident.costMs ?? 0) <= ADAPTER_LOAD_COST_MS) return resident
  if (resident === undefined && exchange.mayForward && isResidentElsewhere(state, exchange, requested)) return { kind: 'elsewhere', reason: 'this host reaches no engine that has the adapter' }
  const withheld = state.relay.directory.listEndpoints(exchange.pool.name).filter(row => !isOpen(state, exchange, row))
  const avoided = [...unresponsive, ...withheld, ...listResidentEngines(state, requested, healthy)].map(({ endpoint }) => endpoint)
  const loadResult = await findByLoading(state, exchange, requested, { avoided, maxWaitMs: resident?.costMs ?? Infinity })
  if (loadResult.kind !== 'none' || exchange.ended !== undefined) return loadResult
  return findResidentEngine(state, exchange, requested, healthy) ?? findResidentEngine(state, exchange, requested, unresponsive) ?? loadResult
}

export function createTargetFinder (opts: Pick<FinderState, 'isCutOff' | 'relay' | 'links' | 'runTimes' | 'firstByteTimes' | 'notices' | 'limits'>): TargetFinder {
  const { relay, runTimes } = opts
  const zones = createRelayZones({ relay, runTimes, getSlots, getLink: (exchange, row) => getLink(state, exchange, row), isServing: (exchange, row, link) => !row.leaving && !row.suspect && !opts.notices.isLeaving(row) && !isUnresponsiveHere(state, exchange, row, link) })
  const state: FinderState = { ...opts, replicas: createReplicaRequests(relay), zones }
  return {
    recordSent: zones.recordSent,
    recordDelivered: zones.recordDelivered,
    hasRoom: (exchange, target) => getRoomDelayMs(state, exchange, target, target.link) === 0,
    find: async exchange => {
      const elsewhere = findElsewhere(state, exchange)
      if (elsewhere !== undefined) return elsewhere
      const requested = exchange.pool.engine === undefined ? undefined : getRequestedAdapter(exchange)
      if (requested === undefined) return findPoolEndpoint(state, exchange)
      return await findEngine(state, exchange, requested)
    }
  }
}
