/**
 * Requests for adapters, from entry hosts and for new versions, processed on each run of the leader's loop: each is granted an
 * engine where the adapter is resident, or the adapter is loaded.
 */
import type { AdapterName, EndpointId, EnginePool, ModelId, MonotonicMs } from '@catkinferry/core.types'
import { formatPlacedKey } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { chooseEngine } from './chooseEngine.ts'
import type { EngineChoice } from './chooseEngine.ts'
import { CONCURRENT_STORE_LOADS_PER_RATE, EVICT_IDLE_MS, MAX_EXTRA_LOADS, MIN_CONCURRENT_STORE_LOADS, MIN_REMAINING_MS, REFUSED_RETRY_MS, REPLICA_EVICT_IDLE_MS, WAITERS_PER_EXTRA_LOAD } from './constants.ts'
import { formatSlotKey, SlotState } from './engineState.ts'
import type { EngineState } from './engineState.ts'
import { beginLoad } from './jobs.ts'
import { findPool, listPoolEngines } from './placementState.ts'
import type { PlacementRequest, PlacementState, Waiter } from './placementState.ts'

/** Time after which a request without waiters is dropped. */
const REPLICA_REQUEST_TTL_MS = 2_000

export interface PlacementRequestInput {
  readonly pool: string
  readonly model: ModelId
  readonly adapter: AdapterName
  readonly zone?: string
  readonly region?: string
  readonly priority: number
  /** Given if one more replica is requested besides those on these engines. */
  readonly existingReplicas?: readonly EndpointId[]
  readonly avoid: readonly EndpointId[]
  /** Undefined if no caller waits for the adapter. */
  readonly waiter?: Waiter
}

/** Adds a request, or merges it into one for the same adapter. */
export function addRequest (state: PlacementState, input: PlacementRequestInput, now: MonotonicMs): void {
  const { pool, model, adapter, priority, waiter, avoid } = input
  const version = state.opts.getVersion(model, adapter)
  const existingReplicas = new Set(input.existingReplicas)
  const key = `${pool}|${formatPlacedKey(model, adapter, version)}|${existingReplicas.size > 0 ? 'copy' : ''}`
  const known = state.requests.get(key)
  if (known !== undefined) {
    known.priority = Math.min(known.priority, priority)
    known.avoid = new Set([...known.avoid, ...avoid])
    if (waiter !== undefined) known.waiters.push(waiter)
    return
  }
  state.requests.set(key, {
    pool,
    model,
    adapter,
    version,
    zone: input.zone,
    region: input.region,
    existingReplicas,
    createdAt: now,
    expiresAt: now + REPLICA_REQUEST_TTL_MS,
    avoid: new Set(avoid),
    priority,
    waiters: waiter === undefined ? [] : [waiter]
  })
}

function refuseLateWaiters (request: PlacementRequest, context: RunContext): void {
  const late = request.waiters.filter(({ deadlineAt }) => deadlineAt - context.now < MIN_REMAINING_MS)
  if (late.length === 0) return
  request.waiters = request.waiters.filter(waiter => !late.includes(waiter))
  for (const waiter of late) refuseWaiter(waiter, 'no engine could load the adapter in time', context)
}

export function refuseWaiter ({ host, askId }: Waiter, reason: string, context: RunContext): void {
  context.send(host, { kind: 'load.refused', askId, reason, retryAfterMs: REFUSED_RETRY_MS })
}

/** Lists the engines with the requested version that may be granted. */
function listResidentEngines (state: PlacementState, request: PlacementRequest, engines: readonly EngineState[]): EngineState[] {
  const slotKey = formatSlotKey(request.model, request.adapter)
  return engines.filter(({ listed, slots }) => {
    const slot = slots.get(slotKey)
    const isResident = slot?.state === SlotState.RESIDENT && slot.version >= request.version
    return isResident && !listed.leaving && !request.existingReplicas.has(listed.endpoint) && !request.avoid.has(listed.endpoint) && !state.health.isSuspect(listed.endpoint)
  })
}

function countLoadingFor (request: PlacementRequest, engines: readonly EngineState[]): number {
  const slotKey = formatSlotKey(request.model, request.adapter)
  return engines.filter(({ slots }) => {
    const slot = slots.get(slotKey)
    return slot?.state === SlotState.LOADING && slot.version >= request.version && !slot.isUnanswered
  }).length
}

/** Number of engines that should load the adapter at the same time: many callers within one load will soon exceed what one engine serves well. */
function computeTargetLoads ({ waiters }: PlacementRequest): number {
  return 1 + Math.min(MAX_EXTRA_LOADS, Math.floor(waiters.length / WAITERS_PER_EXTRA_LOAD))
}

function grantRequest (request: PlacementRequest, engine: EngineState, context: RunContext): void {
  const { endpoint } = engine.listed
  const slot = engine.slots.get(formatSlotKey(request.model, request.adapter))
  if (slot !== undefined) slot.usedAt = context.now
  const adapterKey = formatPlacedKey(request.model, request.adapter, slot?.version ?? request.version)
  for (const { host, askId } of request.waiters) context.send(host, { kind: 'load.given', askId, endpoint, adapterKey })
}

/** Chooses an engine on which to replace an outdated replica, for use when no other engine can load the new version. */
function chooseReplacement (state: PlacementState, request: PlacementRequest, engines: readonly EngineState[], now: MonotonicMs): EngineChoice | undefined {
  const slotKey = formatSlotKey(request.model, request.adapter)
  const engine = engines.find(({ listed, slots, ordersPausedUntil, adapterLoadsPausedUntil }) => {
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

/** Grants a request, or begins a load for it if one is possible now. Returns whether it was granted. */
function handleRequest (state: PlacementState, request: PlacementRequest, context: RunContext): boolean {
  const engines = listPoolEngines(state, request.pool)
  const [residentEngine] = listResidentEngines(state, request, engines).toSorted((a, b) => state.totals.get(a.listed.endpoint) - state.totals.get(b.listed.endpoint))
  if (residentEngine !== undefined) {
    grantRequest(request, residentEngine, context)
    return true
  }
  const pool = findPool(state, request.pool)?.engine
  if (pool === undefined || context.now < state.ordersAllowedFrom || countLoadingFor(request, engines) >= computeTargetLoads(request)) return false
  const choice = chooseEngine({
    requirements: { ...request, minIdleMs: request.waiters.length > 0 ? EVICT_IDLE_MS : REPLICA_EVICT_IDLE_MS, isAvoided: endpoint => request.avoid.has(endpoint) || request.existingReplicas.has(endpoint) || state.health.isSuspect(endpoint) },
    engines,
    pool,
    now: context.now,
    getRegion: state.opts.getRegion,
    getRunning: state.totals.get
  }) ?? chooseReplacement(state, request, engines, context.now)
  if (choice === undefined || (!choice.isCached && countStoreLoads(state) >= computeStoreLimit(pool))) return false
  beginLoad(state, request, choice, context)
  return false
}

/** Processes the requests: those with waiters first, then by priority and age. */
export function runRequests (state: PlacementState, context: RunContext): void {
  const getWaiterRank = ({ waiters }: PlacementRequest): number => waiters.length > 0 ? 0 : 1
  const sorted = [...state.requests].sort(([, a], [, b]) => getWaiterRank(a) - getWaiterRank(b) || a.priority - b.priority || a.createdAt - b.createdAt)
  for (const [key, request] of sorted) {
    refuseLateWaiters(request, context)
    const isActive = request.waiters.length > 0 || context.now < request.expiresAt
    if (!isActive || handleRequest(state, request, context)) state.requests.delete(key)
  }
}
