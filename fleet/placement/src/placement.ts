/**
 * Placement of base models and adapters on engines. Every core host has one, but only the leader acts: on runs of its loop it
 * polls the platform's endpoint list, orders loads and evictions with its term as the fencing token, and publishes endpoints
 * and residency to entry hosts.
 */
import { createStarvedAdapters } from '@catkinferry/adapters.load-scheduler'
import { createPopularity } from '@catkinferry/adapters.popularity'
import type { EndpointId, ListedEndpoint, ModelId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext, System } from '@catkinferry/host.events'
import type { EndpointHealth, FleetMessage, HeldState } from '@catkinferry/wire.messages'
import { CONCURRENT_MODEL_LOADS_PER_RATE, HEALTH_INTERVAL_MS, LIST_INTERVAL_MS, MIN_CONCURRENT_MODEL_LOADS, MODEL_LOAD_WINDOW_MS, ORDER_RESEND_MS, REFUSED_RETRY_MS } from './constants.ts'
import { createEndpointHealthTracker } from './endpointHealth.ts'
import type { HealthPools } from './endpointHealth.ts'
import { createEndpointPublisher } from './endpointPublisher.ts'
import { applyListed, createEngineState, createRestartedEngine, formatSlotKey, getOutcomeUnknownUntil, SlotState } from './engineState.ts'
import type { EngineState, Slot } from './engineState.ts'
import { beginEvict, beginModelLoad, runJobs, resolveAbandonedSlots, processOutcomes } from './jobs.ts'
import { createSlotMirror } from './slotMirror.ts'
import { createLoadTotals } from './loadTotals.ts'
import { evictIdle } from './evictIdle.ts'
import { findPool, isOutdated, listPoolEngines, reportInfo } from './placementState.ts'
import type { PlacementOptions, PlacementState, Waiter } from './placementState.ts'
import { createLoadCounts, getCountedPriority, LoadRequestOutcome } from './loadCounts.ts'
import type { LoadCountTotals } from './loadCounts.ts'
import { createLoadHistory } from './loadHistory.ts'
import { createLoadPolls } from './loadPolls.ts'
import { addRequest, refuseAsFollower, refuseWaiter, runRequests } from './placementRequests.ts'

export type { OrderCall, PlacementOptions } from './placementState.ts'

type LoadRequestMessage = Extract<FleetMessage, { kind: 'load.ask' }>
type MirrorMessage = Extract<FleetMessage, { kind: 'fleet.slots' }>
type SlotUseReport = Extract<FleetMessage, { kind: 'fleet.slotUse' }>
type UsageReport = Extract<FleetMessage, { kind: 'fleet.use' }>

const MS_PER_SECOND = 1_000
/** Minimum interval between two log lines about adapters that are refused again and again. */
const UNLOADED_REPORT_INTERVAL_MS = 2_000

export interface Placement extends System<LoadRequestMessage | UsageReport | SlotUseReport | MirrorMessage> {
  /** Applies the platform's endpoint list; ignored unless this host leads. */
  readonly receiveList: (listed: readonly ListedEndpoint[], context: RunContext) => void
  /** Sends the endpoints to an entry host that lacks changes. */
  readonly update: (host: string, held: HeldState, context: RunContext) => void
  readonly getLeaderTerm: () => number | undefined
  /** Returns the counts of loads and their callers since the last call, and by priority how many adapters are refused again and again. */
  readonly takeLoadCounts: (now: MonotonicMs) => LoadCountTotals & { readonly unloadedByPriority: ReadonlyMap<number, number> }
}

/** Creates the placement of one core host; it acts only while the host leads. */
export function createPlacement (opts: PlacementOptions): Placement {
  const engines = new Map<EndpointId, EngineState>()
  const health = createEndpointHealthTracker()
  const state: PlacementState = {
    opts,
    term: undefined,
    ordersAllowedFrom: Infinity,
    termStartedAt: 0,
    listRequestedAt: undefined,
    nextListAt: 0,
    lastRunAt: 0,
    engines,
    requests: new Map(),
    popularity: createPopularity(),
    history: createLoadHistory(),
    starved: createStarvedAdapters(),
    starvedShares: new Map(),
    loadCounts: createLoadCounts(),
    nextUnloadedReportAt: 0,
    loadPolls: createLoadPolls(),
    mirror: createSlotMirror(),
    jobs: new Map(),
    lastOrderId: 0,
    modelLoadStarts: [],
    publisher: createEndpointPublisher({
      engines,
      isSuspect: health.isSuspect,
      isPublishable: ({ listed: { pool, softwareVersion } }, now) => opts.isPublishable?.(pool, softwareVersion, now) !== false,
      getRegion: opts.getRegion,
      isEngine: pool => opts.getRoutes()?.pools.find(({ name }) => name === pool)?.engine !== undefined
    }),
    totals: createLoadTotals({
      getHostRegion: host => opts.getLocation(host)?.region,
      getEndpointRegion: endpoint => {
        const engine = engines.get(endpoint)
        return engine === undefined ? undefined : opts.getRegion(engine.listed.zone)
      }
    }),
    health,
    nextHealthAt: 0,
    outcomes: []
  }
  return {
    receive: (from, message, context) => {
      if (message.kind === 'load.ask') receiveLoadRequest(state, from, message, context)
      else if (message.kind === 'fleet.slots') state.mirror.receive(message, context.now)
      else if (message.kind === 'fleet.slotUse') receiveSlotUse(state, from, message, context)
      else receiveUse(state, from, message, context)
    },
    receiveList: (listed, context) => receiveList(state, listed, context),
    update: (host, held, context) => {
      if (state.term !== undefined && state.engines.size > 0) state.publisher.update(context, host, held)
    },
    run: context => run(state, context),
    getNextAt: () => getNextAt(state),
    getLeaderTerm: () => state.term,
    takeLoadCounts: now => ({ ...state.loadCounts.take(), unloadedByPriority: countUnloaded(state, now) })
  }
}

function receiveLoadRequest (state: PlacementState, from: string, request: LoadRequestMessage, context: RunContext): void {
  const { askId, pool, model, adapter, priority, remainingMs, softwareVersion, copyBeyond, avoid } = request
  const { workId, waitMs = remainingMs, onTimeMs = remainingMs } = request
  const waiter: Waiter = { host: from, askId, askedAt: context.now, waitMs, deadlineAt: context.now + remainingMs, priority, onTimeUntil: context.now + onTimeMs, workId, isReturning: workId !== undefined && state.history.wasRefused(workId, context.now) }
  if (state.term === undefined) {
    refuseAsFollower(waiter, 'this host is not the leader', context)
    return
  }
  if (adapter === undefined) {
    refuseWaiter(waiter, 'no engine has the model', REFUSED_RETRY_MS, context)
    return
  }
  addRequest(state, { ...state.opts.getLocation(from), pool, model, adapter, softwareVersion, avoid, existingReplicas: copyBeyond, ...(copyBeyond === undefined ? { waiter } : {}) }, context.now)
}

function receiveUse (state: PlacementState, from: string, { uses, health = [] }: UsageReport, context: RunContext): void {
  const { now } = context
  state.totals.receive(from, uses, now)
  state.health.receive(from, uses, health, now)
  for (const row of health) {
    if (row.leaving === true) recordLeaving(state, row, context)
    recordLimit(state, row, context)
  }
  for (const { endpoint, adapterKey, begun, running } of uses) {
    const engine = state.engines.get(endpoint)
    const slotKey = adapterKey.slice(0, adapterKey.lastIndexOf('@'))
    const slot = engine?.slots.get(slotKey)
    if (slot === undefined) continue
    if (begun > 0) state.popularity.record(slotKey, now, begun)
    if (begun > 0 || running > 0) slot.usedAt = now
    slot.running.set(from, { count: running, at: now })
  }
}

/** Records which adapters a host has begun and ceased to use since its last report. */
function receiveSlotUse (state: PlacementState, from: string, { begun, ended }: SlotUseReport, { now }: RunContext): void {
  const findSlot = (endpoint: EndpointId, adapterKey: string): Slot | undefined => state.engines.get(endpoint)?.slots.get(adapterKey.slice(0, adapterKey.lastIndexOf('@')))
  for (const [endpoint, adapterKey] of begun) {
    const slot = findSlot(endpoint, adapterKey)
    if (slot === undefined) continue
    slot.usedAt = now
    slot.running.set(from, { count: 1, at: now })
  }
  for (const [endpoint, adapterKey] of ended) findSlot(endpoint, adapterKey)?.running.delete(from)
}

/** Takes an endpoint out of use that announced to an entry host that it is leaving. A report about an earlier instance is ignored. */
function recordLeaving (state: PlacementState, { endpoint, bornAt }: EndpointHealth, context: RunContext): void {
  const engine = state.engines.get(endpoint)
  if (engine === undefined || engine.hasAnnouncedLeaving || engine.listed.bornAt !== bornAt) return
  engine.hasAnnouncedLeaving = true
  if (engine.listed.leaving) return
  engine.listed = { ...engine.listed, leaving: true }
  state.publisher.enqueueUrgentEndpoint(endpoint)
  reportInfo(context, 'endpoint announced that it is leaving', { peer: endpoint, pool: engine.listed.pool })
}

/** Publishes the request limit that an endpoint names, or that it names none any more. The latest response decides. */
function recordLimit (state: PlacementState, { endpoint, limit, limitBornAt }: EndpointHealth, context: RunContext): void {
  const engine = state.engines.get(endpoint)
  if (limit === undefined || engine === undefined || engine.listed.bornAt !== limitBornAt) return
  const known = engine.limit
  const at = context.now - limit.agoMs
  if (known !== undefined && known.at > at) return
  const { agoMs: _agoMs, ...named } = limit
  const { perSecond, rejectionsPerSecond } = named
  engine.limit = { ...named, at }
  if (known?.perSecond === perSecond && known?.rejectionsPerSecond === rejectionsPerSecond) return
  state.publisher.enqueueEndpoint(endpoint)
  reportInfo(context, 'request limit of endpoint changed', { peer: endpoint, pool: engine.listed.pool, perSecond, rejectionsPerSecond })
}

function receiveList (state: PlacementState, listed: readonly ListedEndpoint[], context: RunContext): void {
  if (state.term === undefined) return
  allowOrders(state, context)
  const seen = new Set<EndpointId>()
  for (const row of listed) {
    seen.add(row.endpoint)
    const engine = state.engines.get(row.endpoint)
    if (engine === undefined || isRestarted(engine.listed, row)) addEngine(state, row, context)
    else updateEngine(state, engine, row, context)
  }
  for (const endpoint of [...state.engines.keys()]) {
    if (seen.has(endpoint)) continue
    state.engines.delete(endpoint)
    state.health.drop(endpoint)
    state.publisher.enqueueRemoval(endpoint)
    reportInfo(context, 'endpoint removed: no longer in the platform list', { peer: endpoint })
  }
}

/** Allows orders once the list must show all that the former leader has ordered. */
function allowOrders (state: PlacementState, { now }: RunContext): void {
  const { listRequestedAt, termStartedAt, opts } = state
  state.listRequestedAt = undefined
  const isCurrent = listRequestedAt !== undefined && listRequestedAt >= termStartedAt + opts.listLagMs
  if (state.ordersAllowedFrom === Infinity && isCurrent) state.ordersAllowedFrom = Math.max(now, termStartedAt + opts.takeoverDelayMs)
}

/** Whether this leader may give orders now. */
function mayOrder (state: PlacementState, now: MonotonicMs): boolean {
  return now >= state.ordersAllowedFrom && state.opts.hasRecentQuorum(now)
}

function isRestarted (known: ListedEndpoint, row: ListedEndpoint): boolean {
  return known.bornAt !== row.bornAt || known.address !== row.address || known.pool !== row.pool
}

function addEngine (state: PlacementState, row: ListedEndpoint, context: RunContext): void {
  const { endpoint, pool, zone, address, leaving, bornAt, softwareVersion } = row
  const unansweredSlots = new Set<string>()
  for (const [key, job] of state.jobs) {
    if (job.endpoint !== endpoint) continue
    state.jobs.delete(key)
    const [order] = job.steps
    if (job.isAwaitingOutcome && order?.adapter !== undefined) unansweredSlots.add(formatSlotKey(order.model, order.adapter))
  }
  const previous = state.engines.get(endpoint)
  const engine = previous === undefined ? createEngineState(row, context.now) : createRestartedEngine(previous, row, unansweredSlots, context.now)
  state.mirror.restore(engine, context.now)
  state.mirror.mark(endpoint)
  state.engines.set(endpoint, engine)
  state.health.drop(endpoint)
  state.publisher.enqueueEndpoint(endpoint)
  reportInfo(context, 'endpoint added or restarted', { peer: endpoint, pool, zone, address, leaving, bornAt, softwareVersion, models: row.models?.length })
}

function updateEngine (state: PlacementState, engine: EngineState, listed: ListedEndpoint, context: RunContext): void {
  const row = engine.hasAnnouncedLeaving ? { ...listed, leaving: true } : listed
  const { listed: { leaving }, models } = engine
  const modelsBefore = [...models].join()
  const { updated, removed } = applyListed(engine, row, context.now)
  if (leaving !== row.leaving) reportInfo(context, row.leaving ? 'endpoint is leaving' : 'endpoint is no longer leaving', { peer: row.endpoint, pool: row.pool })
  if (leaving !== row.leaving || modelsBefore !== [...models].join()) state.publisher.enqueueEndpoint(row.endpoint)
  for (const slot of updated) state.publisher.enqueueResidency(row.endpoint, slot, true)
  for (const slot of removed) {
    state.publisher.enqueueResidency(row.endpoint, slot, false)
    reportInfo(context, 'adapter no longer listed on the engine', { peer: row.endpoint, adapter: formatSlotKey(slot.model, slot.adapter), version: slot.version })
  }
}

function refuseForNewLeader (state: PlacementState, waiters: readonly Waiter[], context: RunContext): void {
  for (const waiter of waiters) {
    state.loadCounts.recordOutcome(LoadRequestOutcome.LEADER_CHANGED, waiter.priority)
    refuseAsFollower(waiter, 'leadership has changed', context)
  }
}

function countUnloaded (state: PlacementState, now: MonotonicMs): ReadonlyMap<number, number> {
  const counts = new Map<number, number>()
  for (const adapter of state.starved.listUnloaded(now)) {
    const priority = getCountedPriority(adapter.priority)
    counts.set(priority, (counts.get(priority) ?? 0) + 1)
  }
  return counts
}

/** Logs how many adapters are refused again and again, and the one that has been for the longest time. */
function reportUnloaded (state: PlacementState, context: RunContext): void {
  if (context.now < state.nextUnloadedReportAt) return
  state.nextUnloadedReportAt = context.now + UNLOADED_REPORT_INTERVAL_MS
  const unloaded = state.starved.listUnloaded(context.now)
  const [longest] = unloaded.toSorted((a, b) => a.since - b.since)
  if (longest === undefined) return
  const { adapterKey, since, refusals, priority } = longest
  reportInfo(context, 'adapters are asked for again and again and not loaded', { adapters: unloaded.length, adapter: adapterKey, refusals, refusedForMs: Math.round(context.now - since), priority, term: state.term })
}

function updateLeadership (state: PlacementState, context: RunContext): void {
  const term = state.opts.getLeaderTerm()
  if (term === state.term) return
  for (const { waiters } of state.requests.values()) refuseForNewLeader(state, waiters, context)
  state.requests.clear()
  state.history.clear()
  state.starved.clear()
  state.starvedShares.clear()
  state.jobs.clear()
  state.mirror.clearMarks()
  state.outcomes.length = 0
  state.engines.clear()
  state.totals.clear()
  state.health.clear()
  state.term = term
  if (term === undefined) {
    reportInfo(context, 'placement stopped on this host', {})
    return
  }
  state.ordersAllowedFrom = Infinity
  state.termStartedAt = context.now
  state.listRequestedAt = undefined
  state.nextListAt = context.now
  state.publisher.begin(term)
  reportInfo(context, 'placement started on this host', { term, ordersInMs: Math.max(state.opts.takeoverDelayMs, state.opts.listLagMs) })
}

/** Publishes without delay which endpoints have become suspect, and which no longer are. */
function updateHealth (state: PlacementState, context: RunContext): void {
  const pools: HealthPools = {
    getPool: endpoint => {
      const listed = state.engines.get(endpoint)?.listed
      return listed === undefined || listed.leaving ? undefined : listed.pool
    },
    countUsingHosts: state.totals.countUsingHosts,
    listEndpoints: pool => listPoolEngines(state, pool).filter(({ listed }) => !listed.leaving).map(({ listed }) => listed.endpoint)
  }
  for (const { endpoint, suspect, ...counts } of state.health.update(pools, context.now)) {
    state.publisher.enqueueUrgentEndpoint(endpoint)
    reportInfo(context, suspect ? 'endpoint is suspect' : 'endpoint is no longer suspect', { peer: endpoint, ...counts, term: state.term })
  }
}

/** Loads the new version of outdated adapters on another engine first, then evicts the outdated replicas. */
function dropOutdated (state: PlacementState, context: RunContext): void {
  for (const engine of state.engines.values()) {
    for (const slot of engine.slots.values()) {
      if (slot.state !== SlotState.RESIDENT || !isOutdated(state, slot) || context.now < getOutcomeUnknownUntil(slot)) continue
      if (hasNewVersion(state, engine.listed.pool, slot.model, slot.adapter)) beginEvict(state, engine, slot, 'outdated', context)
      else addRequest(state, { pool: engine.listed.pool, model: slot.model, adapter: slot.adapter, avoid: [] }, context.now)
    }
  }
}

function hasNewVersion (state: PlacementState, pool: string, model: ModelId, adapter: string): boolean {
  return listPoolEngines(state, pool).some(({ slots, listed }) => {
    const slot = slots.get(formatSlotKey(model, adapter))
    return slot?.state === SlotState.RESIDENT && !isOutdated(state, slot) && !listed.leaving
  })
}

/** Loads the base model with the fewest replicas on each empty engine, within the rate limit of the weight store. */
function loadModels (state: PlacementState, context: RunContext): void {
  const { now } = context
  state.modelLoadStarts = state.modelLoadStarts.filter(at => now - at < MODEL_LOAD_WINDOW_MS)
  for (const engine of state.engines.values()) {
    const pool = findPool(state, engine.listed.pool)?.engine
    const isEmpty = engine.models.size === 0 && engine.modelLoad === undefined && engine.listed.models !== undefined
    if (pool === undefined || !isEmpty || engine.listed.leaving || now < engine.ordersPausedUntil) continue
    const underWay = [...state.engines.values()].filter(({ modelLoad }) => modelLoad !== undefined).length
    const allowed = pool.modelLoadsPerSecond * MODEL_LOAD_WINDOW_MS / MS_PER_SECOND
    if (underWay >= Math.max(MIN_CONCURRENT_MODEL_LOADS, Math.ceil(pool.modelLoadsPerSecond * CONCURRENT_MODEL_LOADS_PER_RATE)) || state.modelLoadStarts.length + 1 > Math.max(1, allowed)) return
    const model = chooseModel(state, engine)
    if (model === undefined) continue
    state.modelLoadStarts.push(now)
    beginModelLoad(state, engine, model, context)
  }
}

function chooseModel (state: PlacementState, { listed }: EngineState): ModelId | undefined {
  const pool = findPool(state, listed.pool)?.engine
  if (pool === undefined) return undefined
  const engines = listPoolEngines(state, listed.pool)
  const countReplicas = (model: ModelId): number => engines.filter(({ models, modelLoad }) => models.has(model) || modelLoad?.model === model).length
  const fitting = pool.models.filter(({ weightsMb }) => weightsMb <= pool.weightsMb)
  return fitting.toSorted((a, b) => countReplicas(a.model) - countReplicas(b.model))[0]?.model
}

/** The list that allows a new leader to give orders is read as soon as it must show those of the former leader. */
function computeNextListAt ({ ordersAllowedFrom, termStartedAt, opts }: PlacementState, now: MonotonicMs): MonotonicMs {
  const currentAt = termStartedAt + opts.listLagMs
  const isAwaited = ordersAllowedFrom === Infinity && now < currentAt
  return Math.min(now + LIST_INTERVAL_MS, isAwaited ? currentAt : Infinity)
}

function run (state: PlacementState, context: RunContext): void {
  state.lastRunAt = context.now
  updateLeadership(state, context)
  if (state.term === undefined) return
  if (context.now >= state.nextListAt) {
    state.nextListAt = computeNextListAt(state, context.now)
    state.listRequestedAt ??= context.now
    state.opts.pollList()
    for (const engine of state.engines.values()) resolveAbandonedSlots(state, engine, context.now)
    if (mayOrder(state, context.now)) evictIdle(state, context)
  }
  processOutcomes(state, context)
  if (context.now >= state.nextHealthAt) {
    state.nextHealthAt = context.now + HEALTH_INTERVAL_MS
    updateHealth(state, context)
  }
  const isOrdering = mayOrder(state, context.now)
  runRequests(state, isOrdering, context)
  reportUnloaded(state, context)
  if (isOrdering) {
    dropOutdated(state, context)
    loadModels(state, context)
    runJobs(state, context)
  }
  const entries = state.opts.listEntryHosts(context.now)
  state.mirror.flush(context, { term: state.term, engines: state.engines, coreHosts: state.opts.listOtherCoreHosts(context.now) })
  state.publisher.flush(context, entries)
  state.totals.flush(context, entries)
}

function getNextAt (state: PlacementState): number {
  if (state.term === undefined) return Infinity
  if (state.outcomes.length > 0) return Number.NEGATIVE_INFINITY
  let nextAt = Math.min(state.nextListAt, state.nextHealthAt, state.publisher.getNextAt(), state.totals.getNextAt())
  for (const { isAwaitingOutcome, nextAt: jobAt } of state.jobs.values()) if (!isAwaitingOutcome) nextAt = Math.min(nextAt, Math.max(jobAt, state.ordersAllowedFrom, state.lastRunAt + 1))
  if (state.requests.size > 0) nextAt = Math.min(nextAt, state.lastRunAt + ORDER_RESEND_MS)
  return nextAt
}
