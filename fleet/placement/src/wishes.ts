/** Requests for adapters, processed by the leader: each is granted an engine where the adapter is resident, or the adapter is loaded. */
import type { AdapterName, EndpointId, EnginePool, ModelId, MonotonicMs } from '@catkinferry/core.types'
import { formatPlacedKey } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { chooseEngine } from './chooseEngine.ts'
import type { EngineChoice } from './chooseEngine.ts'
import { COPY_EVICT_IDLE_MS, EVICT_IDLE_MS, MAX_EXTRA_LOADS, MIN_REMAINING_MS, MIN_STORE_LOADS, REFUSED_RETRY_MS, STORE_LOADS_PER_MODEL_RATE, WAITERS_PER_EXTRA_LOAD } from './constants.ts'
import { formatSlotKey, SlotState } from './engineState.ts'
import type { EngineState } from './engineState.ts'
import { beginLoad } from './jobs.ts'
import { findPool, listPoolEngines } from './placementState.ts'
import type { PlacementState, Waiter, Wish } from './placementState.ts'

/** Time that a request without waiters is kept. */
const COPY_WISH_MS = 2_000

export interface WishInput {
  readonly pool: string
  readonly model: ModelId
  readonly adapter: AdapterName
  readonly zone?: string
  readonly region?: string
  readonly priority: number
  readonly beyond?: readonly EndpointId[]
  readonly avoid: readonly EndpointId[]
  readonly waiter?: Waiter
}

/** Adds a request, or merges it into one for the same adapter. */
export function addWish (state: PlacementState, input: WishInput, now: MonotonicMs): void {
  const { pool, model, adapter, priority, waiter, avoid } = input
  const version = state.opts.getVersion(model, adapter)
  const beyond = new Set(input.beyond)
  const key = `${pool}|${formatPlacedKey(model, adapter, version)}|${beyond.size > 0 ? 'copy' : ''}`
  const known = state.wishes.get(key)
  if (known !== undefined) {
    known.priority = Math.min(known.priority, priority)
    known.avoid = new Set([...known.avoid, ...avoid])
    if (waiter !== undefined) known.waiters.push(waiter)
    return
  }
  state.wishes.set(key, {
    pool,
    model,
    adapter,
    version,
    zone: input.zone,
    region: input.region,
    beyond,
    since: now,
    until: now + COPY_WISH_MS,
    avoid: new Set(avoid),
    priority,
    waiters: waiter === undefined ? [] : [waiter]
  })
}

function refuseLate (wish: Wish, context: RunContext): void {
  const late = wish.waiters.filter(({ deadlineAt }) => deadlineAt - context.now < MIN_REMAINING_MS)
  if (late.length === 0) return
  wish.waiters = wish.waiters.filter(waiter => !late.includes(waiter))
  for (const waiter of late) refuseWaiter(waiter, 'no engine could load the adapter in time', context)
}

export function refuseWaiter ({ host, askId }: Waiter, reason: string, context: RunContext): void {
  context.send(host, { kind: 'load.refused', askId, reason, retryAfterMs: REFUSED_RETRY_MS })
}

/** Lists the engines with the requested version that may be granted. */
function listHolders (state: PlacementState, wish: Wish, engines: readonly EngineState[]): EngineState[] {
  const slotKey = formatSlotKey(wish.model, wish.adapter)
  return engines.filter(({ listed, slots }) => {
    const slot = slots.get(slotKey)
    const isThere = slot?.state === SlotState.RESIDENT && slot.version >= wish.version
    return isThere && !listed.leaving && !wish.beyond.has(listed.endpoint) && !wish.avoid.has(listed.endpoint) && !state.health.isSuspect(listed.endpoint)
  })
}

function countLoadingFor (wish: Wish, engines: readonly EngineState[]): number {
  const slotKey = formatSlotKey(wish.model, wish.adapter)
  return engines.filter(({ slots }) => {
    const slot = slots.get(slotKey)
    return slot?.state === SlotState.LOADING && slot.version >= wish.version && !slot.isSuspect
  }).length
}

/** Number of engines that should load the adapter at the same time: many callers within one load will soon exceed what one engine serves well. */
function computeWantedLoads ({ waiters }: Wish): number {
  return 1 + Math.min(MAX_EXTRA_LOADS, Math.floor(waiters.length / WAITERS_PER_EXTRA_LOAD))
}

function giveWish (wish: Wish, holder: EngineState, context: RunContext): void {
  const { endpoint } = holder.listed
  const slot = holder.slots.get(formatSlotKey(wish.model, wish.adapter))
  if (slot !== undefined) slot.usedAt = context.now
  const adapterKey = formatPlacedKey(wish.model, wish.adapter, slot?.version ?? wish.version)
  for (const { host, askId } of wish.waiters) context.send(host, { kind: 'load.given', askId, endpoint, adapterKey })
}

/** Chooses an engine to replace an outdated replica in place, for when no other engine can load the new version. */
function chooseReplacement (state: PlacementState, wish: Wish, engines: readonly EngineState[], now: MonotonicMs): EngineChoice | undefined {
  const slotKey = formatSlotKey(wish.model, wish.adapter)
  const engine = engines.find(({ listed, slots, quietUntil, adaptersFrom }) => {
    const slot = slots.get(slotKey)
    return slot?.state === SlotState.RESIDENT && slot.version < wish.version && !listed.leaving && now >= Math.max(quietUntil, adaptersFrom) && !state.jobs.has(`${listed.endpoint}|${slotKey}`)
  })
  return engine === undefined ? undefined : { engine, isHeld: false }
}

function countStoreLoads (state: PlacementState): number {
  let count = 0
  for (const { steps, isHeld } of state.jobs.values()) if (!isHeld && steps.at(-1)?.adapter !== undefined) count += 1
  return count
}

/** Maximum adapter loads in progress from the weight store. */
function computeStoreLimit ({ modelLoadsPerSecond }: EnginePool): number {
  return Math.max(MIN_STORE_LOADS, Math.ceil(modelLoadsPerSecond * STORE_LOADS_PER_MODEL_RATE))
}

function tryWish (state: PlacementState, wish: Wish, context: RunContext): boolean {
  const engines = listPoolEngines(state, wish.pool)
  const [holder] = listHolders(state, wish, engines).toSorted((a, b) => state.totals.get(a.listed.endpoint) - state.totals.get(b.listed.endpoint))
  if (holder !== undefined) {
    giveWish(wish, holder, context)
    return true
  }
  const pool = findPool(state, wish.pool)?.engine
  if (pool === undefined || context.now < state.ordersFrom || countLoadingFor(wish, engines) >= computeWantedLoads(wish)) return false
  const choice = chooseEngine({
    ask: { ...wish, minIdleMs: wish.waiters.length > 0 ? EVICT_IDLE_MS : COPY_EVICT_IDLE_MS, isAvoided: endpoint => wish.avoid.has(endpoint) || wish.beyond.has(endpoint) || state.health.isSuspect(endpoint) },
    engines,
    pool,
    now: context.now,
    getRegion: state.opts.getRegion,
    getRunning: state.totals.get
  }) ?? chooseReplacement(state, wish, engines, context.now)
  if (choice === undefined || (!choice.isHeld && countStoreLoads(state) >= computeStoreLimit(pool))) return false
  beginLoad(state, wish, choice, context)
  return false
}

/** Processes the requests: those with waiters first, then by priority and age. */
export function runWishes (state: PlacementState, context: RunContext): void {
  const isWaited = ({ waiters }: Wish): number => waiters.length > 0 ? 0 : 1
  const sorted = [...state.wishes].sort(([, a], [, b]) => isWaited(a) - isWaited(b) || a.priority - b.priority || a.since - b.since)
  for (const [key, wish] of sorted) {
    refuseLate(wish, context)
    const isWanted = wish.waiters.length > 0 || context.now < wish.until
    if (!isWanted || tryWish(state, wish, context)) state.wishes.delete(key)
  }
}
