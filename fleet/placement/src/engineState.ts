/**
 * State of one engine as the leader knows it, by which it places adapters. Updated on each of its orders and on each read of
 * the endpoint list, which lags.
 */
import type { AdapterName, HostId, ListedEndpoint, ListedModel, ModelId, MonotonicMs, RequestLimit } from '@catkinferry/core.types'
import { formatPlacedKey } from '@catkinferry/core.types'
import { MAX_CACHED_ADAPTERS, MAX_LIST_LAG_MS, MAX_ORDER_DELAY_MS, RESERVED_SLOTS, USE_REPORT_TTL_MS } from './constants.ts'

export const SlotState = { LOADING: 'loading', RESIDENT: 'resident', EVICTING: 'evicting' } as const
export type SlotState = typeof SlotState[keyof typeof SlotState]

/** Identifies an order among those of this host. */
export type OrderId = number

/** An adapter that occupies a slot of an engine, or will when its load completes. */
export interface Slot {
  readonly model: ModelId
  readonly adapter: AdapterName
  version: number
  state: SlotState
  /** When an order of this host last changed the state. */
  changedAt: MonotonicMs
  /** The endpoint list may not show what became of its orders until then, so the slot stays taken; see also `unansweredOrders`. */
  outcomeUnknownUntil: MonotonicMs
  /** Loads whose response has not come, and until when each may still be executed. */
  readonly unansweredOrders: Map<OrderId, MonotonicMs>
  /** Its load was not answered in time, so it does not count as in progress and another engine may load the adapter. */
  isUnanswered: boolean
  /** When it was last loaded, granted or reported in use by an entry host; `-Infinity` if unknown. */
  usedAt: MonotonicMs
  /** Requests running on it, by entry host. */
  readonly running: Map<HostId, { readonly count: number, readonly at: MonotonicMs }>
}

export interface EngineState {
  listed: ListedEndpoint
  /** It announced to an entry host that it is leaving, which takes precedence over the lagging list. */
  hasAnnouncedLeaving: boolean
  /** What it last said of its request limit. */
  limit?: RequestLimit
  /** Base models loaded. */
  readonly models: Set<ModelId>
  modelLoad: { readonly model: ModelId, readonly since: MonotonicMs } | undefined
  /** Slots by `model/adapter`. */
  readonly slots: Map<string, Slot>
  /** When slots were freed; the endpoint list may still show them for a while. */
  readonly freedAt: Map<string, MonotonicMs>
  /** Adapters cached in the engine's own memory, as `model/adapter@version`, least recently cached first. */
  readonly cachedAdapters: Set<string>
  /** When it first confirmed an order under this leader's fencing token; it refuses those of earlier leaders since. */
  fencedAt: MonotonicMs | undefined
  /** No orders before this: the engine refused the fencing token, or an order failed. */
  ordersPausedUntil: MonotonicMs
  /** No adapter loads before this: orders to the previous instance may still reach the engine. */
  adapterLoadsPausedUntil: MonotonicMs
}

export function formatSlotKey (model: ModelId, adapter: AdapterName): string {
  return `${model}/${adapter}`
}

export function createEngineState (listed: ListedEndpoint, now: MonotonicMs): EngineState {
  const engine: EngineState = { listed, hasAnnouncedLeaving: false, models: new Set(), modelLoad: undefined, slots: new Map(), freedAt: new Map(), cachedAdapters: new Set(), fencedAt: undefined, ordersPausedUntil: Number.NEGATIVE_INFINITY, adapterLoadsPausedUntil: Number.NEGATIVE_INFINITY }
  applyListed(engine, listed, now)
  return engine
}

/**
 * Creates the state of an engine that restarted under the same name. Recent orders may have reached the new instance and
 * be missing from the lagging list: their slots stay taken, and no adapters are loaded until the list has caught up. The
 * base model is loaded at once. `unansweredSlots`: slots with an order whose answer has not come; it may be executed late.
 */
export function createRestartedEngine (previous: EngineState, listed: ListedEndpoint, unansweredSlots: ReadonlySet<string>, now: MonotonicMs): EngineState {
  const engine = createEngineState(listed, now)
  engine.adapterLoadsPausedUntil = now + MAX_LIST_LAG_MS
  for (const [slotKey, slot] of previous.slots) {
    const unknownUntil = getOutcomeUnknownUntil(slot)
    const mayBeLoaded = slot.state === SlotState.LOADING || unknownUntil > now || !isListNewer(slot.changedAt, now)
    if (!mayBeLoaded || engine.slots.has(slotKey)) continue
    engine.slots.set(slotKey, { ...slot, state: SlotState.EVICTING, changedAt: now, unansweredOrders: new Map(), outcomeUnknownUntil: Math.max(unknownUntil, now + (unansweredSlots.has(slotKey) ? MAX_ORDER_DELAY_MS : MAX_LIST_LAG_MS)) })
  }
  return engine
}

export function createSlot (opts: { model: ModelId, adapter: AdapterName, version: number, state: SlotState, now: MonotonicMs }): Slot {
  const { model, adapter, version, state, now } = opts
  return { model, adapter, version, state, changedAt: now, outcomeUnknownUntil: Number.NEGATIVE_INFINITY, unansweredOrders: new Map(), isUnanswered: false, usedAt: Number.NEGATIVE_INFINITY, running: new Map() }
}

/** Until when an order for the slot may be executed without this host knowing of it; `-Infinity` if all are known. */
export function getOutcomeUnknownUntil ({ outcomeUnknownUntil, unansweredOrders }: Slot): MonotonicMs {
  return unansweredOrders.size === 0 ? outcomeUnknownUntil : Math.max(outcomeUnknownUntil, ...unansweredOrders.values())
}

/** The version of an adapter in the last list; undefined if it is not listed. */
export function findListedVersion ({ listed }: EngineState, { model, adapter }: Pick<Slot, 'model' | 'adapter'>): number | undefined {
  return listed.models?.find(row => row.model === model)?.adapters.find(row => row.adapter === adapter)?.version
}

/** Records an adapter as cached in the engine's own memory. */
export function recordCached (engine: EngineState, { model, adapter, version }: Pick<Slot, 'model' | 'adapter' | 'version'>): void {
  const key = formatPlacedKey(model, adapter, version)
  engine.cachedAdapters.delete(key)
  engine.cachedAdapters.add(key)
  const [oldest] = engine.cachedAdapters.size > MAX_CACHED_ADAPTERS ? engine.cachedAdapters : []
  if (oldest !== undefined) engine.cachedAdapters.delete(oldest)
}

/** Counts the requests running on a slot, by the latest reports. */
export function countRunning (slot: Slot, now: MonotonicMs): number {
  let count = 0
  for (const report of slot.running.values()) if (now - report.at <= USE_REPORT_TTL_MS) count += report.count
  return count
}

/** Counts the slots that must stay empty, of all that the engine has; one at least is used. */
export function countReserved ({ fencedAt }: EngineState, slotCount: number, now: MonotonicMs): number {
  return fencedAt !== undefined && isListNewer(fencedAt, now) ? 0 : Math.min(RESERVED_SLOTS, slotCount - 1)
}

/** Counts a request as running from its grant on, until the host's reports say what became of it. */
export function recordGrant (slot: Slot, host: HostId, now: MonotonicMs): void {
  slot.usedAt = now
  slot.running.set(host, { count: (slot.running.get(host)?.count ?? 0) + 1, at: now })
}

function isListNewer (changedAt: MonotonicMs, now: MonotonicMs): boolean {
  return now - changedAt > MAX_LIST_LAG_MS
}

/** Frees the slot of an evicted adapter. */
export function releaseSlot (engine: EngineState, slotKey: string, now: MonotonicMs): void {
  engine.slots.delete(slotKey)
  engine.freedAt.set(slotKey, now)
}

export interface ListedChanges {
  readonly updated: readonly Slot[]
  readonly removed: readonly Slot[]
}

function applyModels (engine: EngineState, listed: readonly ListedModel[]): void {
  const models = new Set(listed.map(({ model }) => model))
  for (const model of models) engine.models.add(model)
  for (const model of engine.models) {
    if (!models.has(model) && engine.modelLoad?.model !== model) engine.models.delete(model)
  }
}

/** Returns the slot that a listed adapter adds or changes; undefined if it brings nothing new. */
function applyListedAdapter (engine: EngineState, model: ModelId, { adapter, version }: ListedModel['adapters'][number], now: MonotonicMs): Slot | undefined {
  const slotKey = formatSlotKey(model, adapter)
  const slot = engine.slots.get(slotKey)
  if (slot === undefined) {
    if (!isListNewer(engine.freedAt.get(slotKey) ?? Number.NEGATIVE_INFINITY, now)) return undefined
    const added = createSlot({ model, adapter, version, state: SlotState.RESIDENT, now: Number.NEGATIVE_INFINITY })
    engine.slots.set(slotKey, added)
    return added
  }
  if (slot.state !== SlotState.RESIDENT || slot.version === version || !isListNewer(slot.changedAt, now)) return undefined
  slot.version = version
  return slot
}

/** Applies an entry of the endpoint list where no recent order takes precedence. Returns the changed slots. */
export function applyListed (engine: EngineState, listed: ListedEndpoint, now: MonotonicMs): ListedChanges {
  engine.listed = listed
  const { models } = listed
  if (models === undefined) return { updated: [], removed: [] }
  applyModels(engine, models)
  const seen = new Set(models.flatMap(({ model, adapters }) => adapters.map(({ adapter }) => formatSlotKey(model, adapter))))
  const updated = models.flatMap(({ model, adapters }) => adapters.map(adapter => applyListedAdapter(engine, model, adapter, now))).filter(slot => slot !== undefined)
  const removed: Slot[] = []
  for (const [slotKey, slot] of engine.slots) {
    if (seen.has(slotKey) || slot.state !== SlotState.RESIDENT || !isListNewer(slot.changedAt, now) || now < getOutcomeUnknownUntil(slot)) continue
    engine.slots.delete(slotKey)
    removed.push(slot)
  }
  for (const [slotKey, freedAt] of engine.freedAt) if (isListNewer(freedAt, now)) engine.freedAt.delete(slotKey)
  return { updated, removed }
}
