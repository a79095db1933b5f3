/** What the holder knows of one engine: base models, adapters, and the orders under way. */
import type { AdapterName, HostId, ListedEndpoint, ListedModel, ModelId, MonotonicMs } from '@catkinferry/core.types'
import { formatPlacedKey } from '@catkinferry/core.types'
import { LIST_LAG_MS, MAX_HELD, USE_REPORT_MS } from './constants.ts'

export const SlotState = { LOADING: 'loading', RESIDENT: 'resident', EVICTING: 'evicting' } as const
export type SlotState = typeof SlotState[keyof typeof SlotState]

/** An adapter that takes up a place, or will. */
export interface Slot {
  readonly model: ModelId
  readonly adapter: AdapterName
  version: number
  state: SlotState
  /** When its state was last changed by an order of this host. */
  changedAt: MonotonicMs
  /** A load without an answer may still be carried out until then, so the place stays taken. */
  unsettledUntil: MonotonicMs
  /** Its load was not answered in time; another engine is better asked. */
  isSuspect: boolean
  usedAt: MonotonicMs
  /** Requests that entry hosts run on it. */
  readonly running: Map<HostId, { readonly count: number, readonly at: MonotonicMs }>
}

export interface EngineState {
  listed: ListedEndpoint
  /** Base models that it has. */
  readonly models: Set<ModelId>
  modelLoad: { readonly model: ModelId, readonly since: MonotonicMs } | undefined
  /** Slots by `model/adapter`. */
  readonly slots: Map<string, Slot>
  /** When slots were freed here; a list that lags may still show them. */
  readonly freedAt: Map<string, MonotonicMs>
  /** Adapters that its own memory holds, as `model/adapter@version`, least recently held first. */
  readonly held: Set<string>
  /** No orders before this: it refused the fencing token, or failed. */
  quietUntil: MonotonicMs
  /** No loads of adapters before this: orders to its former start may still reach it. */
  adaptersFrom: MonotonicMs
}

export function formatSlotKey (model: ModelId, adapter: AdapterName): string {
  return `${model}/${adapter}`
}

export function createEngineState (listed: ListedEndpoint, now: MonotonicMs): EngineState {
  const engine: EngineState = { listed, models: new Set(), modelLoad: undefined, slots: new Map(), freedAt: new Map(), held: new Set(), quietUntil: Number.NEGATIVE_INFINITY, adaptersFrom: Number.NEGATIVE_INFINITY }
  applyListed(engine, listed, now)
  return engine
}

/**
 * The state of an engine that started again under its name. What was ordered lately may have reached the new start and be
 * missing from a list that lags: those places stay taken, and no adapters are loaded until the list has caught up. Its base
 * model is loaded at once.
 */
export function createRestartedEngine (former: EngineState, listed: ListedEndpoint, now: MonotonicMs): EngineState {
  const engine = createEngineState(listed, now)
  engine.adaptersFrom = now + LIST_LAG_MS
  for (const [slotKey, slot] of former.slots) {
    const mayCome = slot.state === SlotState.LOADING || slot.unsettledUntil > now || !isListNewer(slot.changedAt, now)
    if (!mayCome || engine.slots.has(slotKey)) continue
    engine.slots.set(slotKey, { ...slot, state: SlotState.EVICTING, changedAt: now, unsettledUntil: Math.max(slot.unsettledUntil, now + LIST_LAG_MS) })
  }
  return engine
}

export function createSlot (opts: { model: ModelId, adapter: AdapterName, version: number, state: SlotState, now: MonotonicMs }): Slot {
  const { model, adapter, version, state, now } = opts
  return { model, adapter, version, state, changedAt: now, unsettledUntil: Number.NEGATIVE_INFINITY, isSuspect: false, usedAt: Number.NEGATIVE_INFINITY, running: new Map() }
}

/** The version of an adapter by the last list; undefined where it is not there. */
export function findListedVersion ({ listed }: EngineState, { model, adapter }: Pick<Slot, 'model' | 'adapter'>): number | undefined {
  return listed.models?.find(row => row.model === model)?.adapters.find(row => row.adapter === adapter)?.version
}

/** Remembers an adapter as held by the engine's own memory. */
export function noteHeld (engine: EngineState, { model, adapter, version }: Pick<Slot, 'model' | 'adapter' | 'version'>): void {
  const key = formatPlacedKey(model, adapter, version)
  engine.held.delete(key)
  engine.held.add(key)
  const [oldest] = engine.held.size > MAX_HELD ? engine.held : []
  if (oldest !== undefined) engine.held.delete(oldest)
}

/** Counts the requests that run on a slot, by the latest reports. */
export function countRunning (slot: Slot, now: MonotonicMs): number {
  let count = 0
  for (const report of slot.running.values()) if (now - report.at <= USE_REPORT_MS) count += report.count
  return count
}

function isListNewer (changedAt: MonotonicMs, now: MonotonicMs): boolean {
  return now - changedAt > LIST_LAG_MS
}

/** Frees the place of an adapter that is gone. */
export function releaseSlot (engine: EngineState, slotKey: string, now: MonotonicMs): void {
  engine.slots.delete(slotKey)
  engine.freedAt.set(slotKey, now)
}

export interface ListedChanges {
  readonly came: readonly Slot[]
  readonly went: readonly Slot[]
}

function applyModels (engine: EngineState, listed: readonly ListedModel[]): void {
  const models = new Set(listed.map(({ model }) => model))
  for (const model of models) engine.models.add(model)
  for (const model of engine.models) {
    if (!models.has(model) && engine.modelLoad?.model !== model) engine.models.delete(model)
  }
}

/** Gives the slot that a listed adapter adds or changes; undefined where it tells nothing new. */
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

/** Takes what the list says, where no newer order can contradict it. Gives the changed slots. */
export function applyListed (engine: EngineState, listed: ListedEndpoint, now: MonotonicMs): ListedChanges {
  engine.listed = listed
  const { models } = listed
  if (models === undefined) return { came: [], went: [] }
  applyModels(engine, models)
  const seen = new Set(models.flatMap(({ model, adapters }) => adapters.map(({ adapter }) => formatSlotKey(model, adapter))))
  const came = models.flatMap(({ model, adapters }) => adapters.map(adapter => applyListedAdapter(engine, model, adapter, now))).filter(slot => slot !== undefined)
  const went: Slot[] = []
  for (const [slotKey, slot] of engine.slots) {
    if (seen.has(slotKey) || slot.state !== SlotState.RESIDENT || !isListNewer(slot.changedAt, now) || now < slot.unsettledUntil) continue
    engine.slots.delete(slotKey)
    went.push(slot)
  }
  for (const [slotKey, freedAt] of engine.freedAt) if (isListNewer(freedAt, now)) engine.freedAt.delete(slotKey)
  return { came, went }
}
