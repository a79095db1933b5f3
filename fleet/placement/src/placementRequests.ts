/**
 * Requests for adapters, from entry hosts and for new versions, processed on each run of the leader's loop: each is granted an
 * engine where the adapter is resident, or the adapter is loaded. While slots are scarce, loads are ordered and requests refused by
 * the policy of `adapters.load-scheduler`.
 */
import { compareStandings, computeRetryMs, computeStanding, createStarvedLoadShare, isOverloaded, isTooLate } from '@catkinferry/adapters.load-scheduler'
import type { LoadBacklog, LoadStanding, StarvedLoadShare } from '@catkinferry/adapters.load-scheduler'
import type { AdapterName, EndpointId, EnginePool, ListedEndpoint, ModelId, MonotonicMs } from '@catkinferry/core.types'
import { formatPlacedKey } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { createCheapestEngines, EXPECTED_LOAD_MS, listOpenEngines } from './chooseEngine.ts'
import type { CheapestEngines, EngineChoice, OpenEngine } from './chooseEngine.ts'
import { CONCURRENT_STORE_LOADS_PER_RATE, EVICT_IDLE_MS, EXTRA_LOAD_BATCH_SHARE, MAX_EXTRA_LOADS, MIN_CONCURRENT_STORE_LOADS, MIN_REMAINING_MS, MIN_WAITERS_PER_EXTRA_LOAD, REFUSED_RETRY_MS, REPLICA_EVICT_IDLE_MS } from './constants.ts'
import { formatSlotKey, recordGrant, SlotState } from './engineState.ts'
import type { EngineState } from './engineState.ts'
import { beginLoad } from './jobs.ts'
import { LoadCause, LoadRequestOutcome } from './loadCounts.ts'
import { findPool, listPoolEngines, reportInfo } from './placementState.ts'
import type { PlacementRequest, PlacementState, Waiter } from './placementState.ts'

/** Time after which a request without waiters is dropped. */
const REPLICA_REQUEST_TTL_MS = 2_000
/** Waiting loads among which the next engine chooses, so that one that has the adapter in its memory may go before its turn. */
const MATCHED_LOADS = 12
/** Pending loads for which an engine is looked for in one run. */
const MAX_TRIED_LOADS = 64
/** What it costs to load an adapter one turn early, compared with the costs of engines. */
const TURN_COST_MS = 20
/** Refused callers return spread over this many steps. */
const RETRY_STEPS = 16

export interface PlacementRequestInput {
  readonly pool: string
  readonly model: ModelId
  readonly adapter: AdapterName
  readonly zone?: string
  readonly region?: string
  /** Only engines of this version of their software serve the request; undefined if any do. */
  readonly softwareVersion?: string
  /** Given if one more replica is requested besides those on these engines. */
  readonly existingReplicas?: readonly EndpointId[]
  readonly avoid: readonly EndpointId[]
  /** Undefined if no caller waits for the adapter. */
  readonly waiter?: Waiter
}

/** Adds a request, or merges it into one for the same adapter. */
export function addRequest (state: PlacementState, input: PlacementRequestInput, now: MonotonicMs): void {
  const { pool, model, adapter, softwareVersion, waiter, avoid } = input
  const version = state.opts.getVersion(model, adapter)
  const existingReplicas = new Set(input.existingReplicas)
  const key = `${pool}|${formatPlacedKey(model, adapter, version)}|${existingReplicas.size > 0 ? 'copy' : ''}|${softwareVersion ?? ''}`
  const known = state.requests.get(key)
  if (known !== undefined) {
    known.avoid = new Set([...known.avoid, ...avoid])
    // A host sends a request again that has not been answered for a while.
    const isKnown = known.waiters.some(({ host, askId }) => host === waiter?.host && askId === waiter.askId)
    if (waiter !== undefined && !isKnown) known.waiters.push(waiter)
    return
  }
  state.requests.set(key, {
    pool,
    model,
    adapter,
    version,
    softwareVersion,
    zone: input.zone,
    region: input.region,
    existingReplicas,
    createdAt: now,
    expiresAt: now + REPLICA_REQUEST_TTL_MS,
    avoid: new Set(avoid),
    waiters: waiter === undefined ? [] : [waiter]
  })
}

export function refuseWaiter ({ host, askId }: Waiter, reason: string, retryAfterMs: number, context: RunContext): void {
  context.send(host, { kind: 'load.refused', askId, reason, retryAfterMs })
}

/** Refuses a waiter that another host may still serve: this one does not lead. */
export function refuseAsFollower ({ host, askId }: Waiter, reason: string, context: RunContext): void {
  context.send(host, { kind: 'load.refused', askId, reason, retryAfterMs: REFUSED_RETRY_MS, isLeading: false })
}

/** Refuses the waiters that `choose` selects, and remembers their work. */
function refuseWaiters (state: PlacementState, request: PlacementRequest, opts: { readonly choose: (waiter: Waiter) => boolean, readonly reason: string, readonly backlog?: LoadBacklog }, context: RunContext): void {
  const refused = request.waiters.filter(opts.choose)
  if (refused.length === 0) return
  request.waiters = request.waiters.filter(waiter => !refused.includes(waiter))
  for (const waiter of refused) {
    if (waiter.workId !== undefined) state.history.recordRefusal(waiter.workId, context.now)
    const slotKey = formatSlotKey(request.model, request.adapter)
    state.popularity.record(slotKey, context.now)
    state.starved.recordRefusal(slotKey, { now: context.now, priority: waiter.priority })
    state.loadCounts.recordOutcome(opts.backlog === undefined ? LoadRequestOutcome.OVERDUE : LoadRequestOutcome.OVERLOADED, waiter.priority)
    const fraction = waiter.askId % RETRY_STEPS / RETRY_STEPS
    refuseWaiter(waiter, opts.reason, opts.backlog === undefined ? REFUSED_RETRY_MS : computeRetryMs(opts.backlog, fraction), context)
  }
}

/** Engines by the adapters that they hold or load. */
type Holders = ReadonlyMap<string, readonly EngineState[]>

function buildHolders (engines: Iterable<EngineState>): Holders {
  const holders = new Map<string, EngineState[]>()
  for (const engine of engines) {
    for (const slotKey of engine.slots.keys()) {
      const known = holders.get(slotKey)
      if (known === undefined) holders.set(slotKey, [engine])
      else known.push(engine)
    }
  }
  return holders
}

function listHolders (holders: Holders, request: PlacementRequest): readonly EngineState[] {
  const engines = holders.get(formatSlotKey(request.model, request.adapter)) ?? []
  return engines.filter(({ listed }) => listed.pool === request.pool)
}

/** Whether the engine runs in the version of its software that the request needs. */
function isOfVersion ({ softwareVersion }: PlacementRequest, listed: ListedEndpoint): boolean {
  return softwareVersion === undefined || listed.softwareVersion === softwareVersion
}

/** Finds the least busy engine with the requested version that may be granted. */
function findResidentEngine (state: PlacementState, request: PlacementRequest, holders: Holders): EngineState | undefined {
  const slotKey = formatSlotKey(request.model, request.adapter)
  const resident = listHolders(holders, request).filter(({ listed, slots }) => {
    const slot = slots.get(slotKey)
    const isResident = slot?.state === SlotState.RESIDENT && slot.version >= request.version
    return isResident && isOfVersion(request, listed) && !listed.leaving && !request.existingReplicas.has(listed.endpoint) && !request.avoid.has(listed.endpoint) && !state.health.isSuspect(listed.endpoint)
  })
  return resident.toSorted((a, b) => state.totals.get(a.listed.endpoint) - state.totals.get(b.listed.endpoint))[0]
}

function countLoadingFor (request: PlacementRequest, holders: Holders): number {
  const slotKey = formatSlotKey(request.model, request.adapter)
  return listHolders(holders, request).filter(({ listed, slots }) => {
    const slot = slots.get(slotKey)
    return isOfVersion(request, listed) && slot?.state === SlotState.LOADING && slot.version >= request.version && !slot.isUnanswered
  }).length
}

/** Number of engines that should load the adapter at the same time: many callers within one load will soon exceed what one engine serves well. */
function computeTargetLoads ({ waiters }: PlacementRequest, { batchLimit }: EnginePool): number {
  return 1 + Math.min(MAX_EXTRA_LOADS, Math.floor(waiters.length / Math.max(MIN_WAITERS_PER_EXTRA_LOAD, batchLimit * EXTRA_LOAD_BATCH_SHARE)))
}

function grantRequest (state: PlacementState, request: PlacementRequest, engine: EngineState, context: RunContext): void {
  const { endpoint } = engine.listed
  const slot = engine.slots.get(formatSlotKey(request.model, request.adapter))
  const adapterKey = formatPlacedKey(request.model, request.adapter, slot?.version ?? request.version)
  for (const { host, askId, priority } of request.waiters) {
    state.loadCounts.recordOutcome(LoadRequestOutcome.GRANTED, priority)
    if (slot !== undefined) recordGrant(slot, host, context.now)
    context.send(host, { kind: 'load.given', askId, endpoint, adapterKey })
  }
}

/** Chooses an engine on which to replace an outdated replica, for use when no other engine can load the new version. */
function chooseReplacement (state: PlacementState, request: PlacementRequest, holders: Holders, now: MonotonicMs): EngineChoice | undefined {
  const slotKey = formatSlotKey(request.model, request.adapter)
  const engine = listHolders(holders, request).find(({ listed, slots, ordersPausedUntil, adapterLoadsPausedUntil }) => {
    const slot = slots.get(slotKey)
    return slot?.state === SlotState.RESIDENT && slot.version < request.version && !listed.leaving && now >= Math.max(ordersPausedUntil, adapterLoadsPausedUntil) && !state.jobs.has(`${listed.endpoint}|${slotKey}`)
  })
  return engine === undefined ? undefined : { engine, isCached: false }
}

function countStoreLoads (state: PlacementState): number {
  let count = 0
  for (const { steps, isCached } of state.jobs.values()) if (!isCached && steps.at(-1)?.adapter !== undefined) count += 1
  return count
}

/** Maximum adapter loads in progress from the weight store. */
function computeStoreLimit ({ modelLoadsPerSecond }: EnginePool): number {
  return Math.max(MIN_CONCURRENT_STORE_LOADS, Math.ceil(modelLoadsPerSecond * CONCURRENT_STORE_LOADS_PER_RATE))
}

/** A request for which no engine is loading yet, in the order in which loads begin. */
interface PendingLoad {
  readonly request: PlacementRequest
  readonly standing: LoadStanding
  /** When its adapter was first refused since its last load, if a load of the share of starved adapters may be for it. */
  readonly starvedSince: MonotonicMs | undefined
}

function comparePending (a: PendingLoad, b: PendingLoad): number {
  const rank = ({ request }: PendingLoad): number => request.waiters.length > 0 ? 0 : 1
  return rank(a) - rank(b) || compareStandings(a.standing, b.standing)
}

/** Whether a caller waits no longer. A load that has begun is waited for, and the time until this leader may order one does not count. */
function isOverdue ({ ordersAllowedFrom }: PlacementState, { askedAt, waitMs, deadlineAt }: Waiter, isLoadBegun: boolean, now: MonotonicMs): boolean {
  const waitUntil = isLoadBegun ? Infinity : Math.max(askedAt, ordersAllowedFrom) + waitMs
  return Math.min(waitUntil, deadlineAt) - now < MIN_REMAINING_MS
}

/** Grants what is resident, drops what nobody waits for, and returns the requests that need a load, in their order. */
function settleRequests (state: PlacementState, holders: Holders, context: RunContext): PendingLoad[] {
  const pending: PendingLoad[] = []
  for (const [key, request] of state.requests) {
    const resident = request.waiters.length > 0 || context.now < request.expiresAt ? findResidentEngine(state, request, holders) : undefined
    const isLoadBegun = resident !== undefined || countLoadingFor(request, holders) > 0
    refuseWaiters(state, request, { choose: waiter => isOverdue(state, waiter, isLoadBegun, context.now), reason: 'no engine could load the adapter in time' }, context)
    if (resident !== undefined) grantRequest(state, request, resident, context)
    const isDone = resident !== undefined || (request.waiters.length === 0 && context.now >= request.expiresAt)
    if (isDone) state.requests.delete(key)
    const pool = findPool(state, request.pool)?.engine
    const loading = isDone ? 0 : countLoadingFor(request, holders)
    if (isDone || pool === undefined || loading >= computeTargetLoads(request, pool)) continue
    const standing = computeStanding({ waiting: request.waiters, since: request.createdAt, now: context.now, loadMs: EXPECTED_LOAD_MS })
    const starvedSince = loading > 0 ? undefined : state.starved.getStarvedSince(formatSlotKey(request.model, request.adapter), { now: context.now, isOnTime: standing.onTime > 0 })
    pending.push({ request, standing, starvedSince })
  }
  return pending.sort(comparePending)
}

interface LoadOptions {
  readonly open: readonly OpenEngine[]
  readonly pool: EnginePool
  readonly holders: Holders
  /** The loads may evict adapters that are worth more. */
  readonly isStarved: boolean
}

function createOpenEngines (state: PlacementState, { open, pool, isStarved }: LoadOptions, now: MonotonicMs): CheapestEngines<PendingLoad> {
  const shared = { pool, getRate: (slotKey: string) => state.popularity.getFastRate(slotKey, now), getRegion: state.opts.getRegion, getRunning: state.totals.get }
  return createCheapestEngines(open, ({ request }: PendingLoad) => {
    const isAvoided = (listed: ListedEndpoint): boolean => !isOfVersion(request, listed) || request.avoid.has(listed.endpoint) || request.existingReplicas.has(listed.endpoint) || state.health.isSuspect(listed.endpoint)
    return { ...shared, requirements: { ...request, waiting: request.waiters.length, isAvoided, isStarved } }
  })
}

/** Chooses the next load among the first pending ones: the cheapest, with turns counting as costs. */
function chooseNextLoad (pending: readonly PendingLoad[], open: CheapestEngines<PendingLoad>): { readonly load: PendingLoad, readonly choice: EngineChoice } | undefined {
  let best: { load: PendingLoad, choice: EngineChoice, costMs: number } | undefined
  const [first] = pending
  for (const [turn, load] of pending.slice(0, MATCHED_LOADS).entries()) {
    if (first === undefined || load.standing.priority !== first.standing.priority) break
    const found = open.find(load)
    const costMs = (found?.costMs ?? Infinity) + turn * TURN_COST_MS
    if (found !== undefined && (best === undefined || costMs < best.costMs)) best = { load, choice: found.choice, costMs }
  }
  return best
}

/** Chooses the next load and its engine. Without an open engine, the first pending request may replace an outdated version. */
function chooseLoad (state: PlacementState, pending: readonly [PendingLoad, ...PendingLoad[]], open: CheapestEngines<PendingLoad>, holders: Holders, now: MonotonicMs): { readonly load: PendingLoad, readonly choice: EngineChoice | undefined } {
  const next = open.isEmpty() ? undefined : chooseNextLoad(pending, open)
  return next ?? { load: pending[0], choice: chooseReplacement(state, pending[0].request, holders, now) }
}

function getLoadCause ({ request }: PendingLoad, isStarved: boolean): LoadCause {
  if (isStarved) return LoadCause.STARVED
  return request.waiters.length > 0 ? LoadCause.CALLERS : LoadCause.AHEAD
}

function getStarvedShare (state: PlacementState, pool: string): StarvedLoadShare {
  const known = state.starvedShares.get(pool)
  if (known !== undefined) return known
  const share = createStarvedLoadShare(state.opts.starvedLoadShare)
  state.starvedShares.set(pool, share)
  return share
}

/** Begins loads for pending requests of one pool, one on each engine that is open for them, and returns these. */
function beginLoads (state: PlacementState, requests: readonly PendingLoad[], opts: LoadOptions, context: RunContext): readonly PendingLoad[] {
  const { pool } = opts
  const { now } = context
  const begun: PendingLoad[] = []
  let [first, ...rest] = requests.slice(0, MAX_TRIED_LOADS)
  const open = createOpenEngines(state, opts, now)
  while (first !== undefined) {
    const { load, choice } = chooseLoad(state, [first, ...rest], open, opts.holders, now)
    const isStoreFull = countStoreLoads(state) >= computeStoreLimit(pool)
    if (choice !== undefined && (choice.isCached || !isStoreFull)) {
      beginLoad(state, load.request, { ...choice, standing: load.standing, starvedSince: load.starvedSince }, context)
      state.history.recordLoad(now)
      getStarvedShare(state, load.request.pool).recordLoad(opts.isStarved, now)
      state.loadCounts.recordLoadBegun(getLoadCause(load, opts.isStarved))
      begun.push(load)
      open.remove(choice.engine)
    }
    ;[first, ...rest] = [first, ...rest].filter(other => other !== load)
  }
  return begun
}

interface StarvedLoadOptions extends Pick<LoadOptions, 'pool' | 'holders'> {
  readonly engines: readonly EngineState[]
  /** Whether the next load may be one for a starved adapter. */
  readonly isDue: () => boolean
}

/** Begins loads for starved adapters while they are due, the longest refused first and whatever the priority of their callers. */
function beginStarvedLoads (state: PlacementState, pending: readonly PendingLoad[], opts: StarvedLoadOptions, context: RunContext): readonly PendingLoad[] {
  const { engines, pool, holders, isDue } = opts
  const { now } = context
  const canLoad = ({ model }: PlacementRequest): boolean => engines.some(({ models }) => models.has(model))
  const starved = pending.filter(({ request, starvedSince }) => starvedSince !== undefined && canLoad(request)).toSorted((a, b) => (a.starvedSince ?? 0) - (b.starvedSince ?? 0)).slice(0, MAX_TRIED_LOADS)
  if (starved.length === 0 || !isDue()) return []
  const listOpen = (): OpenEngine[] => listOpenEngines({ engines, pool, now, minIdleMs: EVICT_IDLE_MS, getRate: slotKey => state.popularity.getFastRate(slotKey, now) })
  const begun: PendingLoad[] = []
  let open = listOpen()
  for (const load of starved) {
    if (open.length === 0 || !isDue()) break
    const loads = beginLoads(state, [load], { open, pool, holders, isStarved: true }, context)
    if (loads.length > 0) open = listOpen()
    begun.push(...loads)
  }
  return begun
}

/**
 * Begins the loads of one pool: the share of starved adapters, those that callers wait for, then the others, for which only long
 * idle adapters are evicted; if none of these can begin, further ones for starved adapters. Returns them.
 */
function beginPoolLoads (state: PlacementState, poolName: string, pending: readonly PendingLoad[], holders: Holders, context: RunContext): readonly PendingLoad[] {
  const pool = findPool(state, poolName)?.engine
  if (pool === undefined) return []
  const { now } = context
  const engines = listPoolEngines(state, poolName)
  const [waitedFor = [], others = []] = [true, false].map(hasWaiters => pending.filter(({ request }) => request.pool === poolName && (request.waiters.length > 0) === hasWaiters))
  const share = getStarvedShare(state, poolName)
  const begun = new Set(beginStarvedLoads(state, waitedFor, { engines, pool, holders, isDue: share.isDue }, context))
  for (const [requests, minIdleMs] of [[waitedFor, EVICT_IDLE_MS], [others, REPLICA_EVICT_IDLE_MS]] as const) {
    for (let hasBegun = requests.length > 0; hasBegun;) {
      const open = listOpenEngines({ engines, pool, now, minIdleMs, getRate: slotKey => state.popularity.getFastRate(slotKey, now) })
      const loads = beginLoads(state, requests.filter(load => !begun.has(load)), { open, pool, holders, isStarved: false }, context)
      for (const load of loads) begun.add(load)
      hasBegun = loads.length > 0
    }
  }
  if (begun.size > 0) return [...begun]
  return beginStarvedLoads(state, waitedFor, { engines, pool, holders, isDue: () => share.isDueUnused(engines.length, now) }, context)
}

/** Refuses waiters that can no longer be on time, while others can be and already have to wait. */
function shedLateWaiters (state: PlacementState, poolName: string, allPending: readonly PendingLoad[], context: RunContext): void {
  const { now } = context
  const loadsPerSecond = state.history.getLoadsPerSecond(now, state.ordersAllowedFrom)
  if (loadsPerSecond === undefined) return
  const pending = allPending.filter(({ request }) => request.pool === poolName && request.waiters.length > 0)
  const backlog: LoadBacklog = { onTimeLoads: pending.filter(({ standing }) => standing.onTime > 0).length, loads: pending.length, loadsPerSecond }
  if (!isOverloaded(backlog)) return
  const countWaiters = (): number => pending.reduce((sum, { request }) => sum + request.waiters.length, 0)
  const before = countWaiters()
  for (const { request } of pending) refuseWaiters(state, request, { choose: waiter => isTooLate(waiter, now, EXPECTED_LOAD_MS), reason: 'more adapters are asked for than engines can load in time', backlog }, context)
  if (countWaiters() < before) reportInfo(context, 'refused callers that can no longer be served on time', { pool: poolName, refused: before - countWaiters(), ...backlog, term: state.term })
}

/** Processes the requests. `isOrdering`: whether this leader may give orders now. */
export function runRequests (state: PlacementState, isOrdering: boolean, context: RunContext): void {
  if (state.requests.size === 0) return
  const holders = buildHolders(state.engines.values())
  const pending = settleRequests(state, holders, context)
  if (!isOrdering) return
  for (const pool of new Set(pending.map(({ request }) => request.pool))) {
    const begun = beginPoolLoads(state, pool, pending, holders, context)
    shedLateWaiters(state, pool, pending.filter(load => !begun.includes(load)), context)
  }
}
