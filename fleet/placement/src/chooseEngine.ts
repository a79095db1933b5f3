/** Chooses the engine that loads an adapter, and the adapter to evict there, by estimated cost. Called by the leader for each load. */
import type { AdapterName, DurationMs, EndpointId, EnginePool, ModelId, MonotonicMs, RegionId, ZoneId } from '@catkinferry/core.types'
import { formatPlacedKey } from '@catkinferry/core.types'
import { MAX_LOADS_PER_ENDPOINT, SPARE_PLACES } from './constants.ts'
import { countRunning, formatSlotKey, SlotState } from './engineState.ts'
import type { EngineState, Slot } from './engineState.ts'

/** Cost of a load from the weight store compared to one from the engine's own memory. */
const STORE_COST_MS = 225
/** Cost of each load already in progress on the engine. */
const QUEUED_LOAD_COST_MS = 30
/** Cost of a full batch compared to an empty one. */
const FULL_BATCH_COST_MS = 120
const OTHER_ZONE_COST_MS = 3
const OTHER_REGION_COST_MS = 25
/** Cost of evicting an adapter that was used within the last second; inversely proportional to its idle time beyond that. */
const EVICT_COST_MS = 60
const MS_PER_SECOND = 1_000

export interface EngineAsk {
  readonly model: ModelId
  readonly adapter: AdapterName
  readonly version: number
  readonly zone?: ZoneId
  readonly region?: RegionId
  readonly isAvoided: (endpoint: EndpointId) => boolean
  /** Only an adapter idle for longer than this may be evicted for the load. */
  readonly minIdleMs: DurationMs
}

export interface EngineChoice {
  readonly engine: EngineState
  /** Adapter whose eviction must be confirmed before the load. */
  readonly victim?: Slot
  /** The engine loads from its own memory instead of the weight store. */
  readonly isHeld: boolean
}

export interface ChooseEngineOptions {
  readonly ask: EngineAsk
  readonly engines: Iterable<EngineState>
  readonly pool: EnginePool
  readonly now: MonotonicMs
  readonly getRegion: (zone: ZoneId) => RegionId
  /** Requests in progress at an engine. */
  readonly getRunning: (endpoint: EndpointId) => number
}

/** Counts loads in progress, including those that wait for an eviction. */
export function countLoading (engine: EngineState): number {
  let count = 0
  for (const { state } of engine.slots.values()) if (state === SlotState.LOADING) count += 1
  return count
}

/** Finds the least recently used adapter that may be evicted now. */
export function findVictim (engine: EngineState, now: MonotonicMs, minIdleMs: DurationMs): Slot | undefined {
  let victim: Slot | undefined
  for (const slot of engine.slots.values()) {
    const isFree = slot.state === SlotState.RESIDENT && now - slot.usedAt > minIdleMs && now >= slot.unsettledUntil && countRunning(slot, now) === 0
    if (isFree && (victim === undefined || slot.usedAt < victim.usedAt)) victim = slot
  }
  return victim
}

function computePlaceCost (ask: EngineAsk, engine: EngineState, opts: ChooseEngineOptions): number {
  const { zone } = engine.listed
  if (ask.zone === undefined || zone === ask.zone) return 0
  return opts.getRegion(zone) === ask.region ? OTHER_ZONE_COST_MS : OTHER_REGION_COST_MS
}

function computeEngineCost (engine: EngineState, opts: ChooseEngineOptions): { choice: EngineChoice, costMs: number } | undefined {
  const { ask, pool, now } = opts
  const { listed, slots } = engine
  const usable = !listed.leaving && engine.models.has(ask.model) && now >= engine.quietUntil && now >= engine.adaptersFrom && !ask.isAvoided(listed.endpoint)
  if (!usable || slots.has(formatSlotKey(ask.model, ask.adapter))) return undefined
  const loading = countLoading(engine)
  if (loading >= MAX_LOADS_PER_ENDPOINT) return undefined
  const hasPlace = slots.size < pool.adapterPlaces - SPARE_PLACES
  const victim = hasPlace ? undefined : findVictim(engine, now, ask.minIdleMs)
  if (!hasPlace && victim === undefined) return undefined
  const isHeld = engine.held.has(formatPlacedKey(ask.model, ask.adapter, ask.version))
  const idleSeconds = victim === undefined ? Infinity : (now - victim.usedAt) / MS_PER_SECOND
  const costMs = (isHeld ? 0 : STORE_COST_MS) + loading * QUEUED_LOAD_COST_MS + EVICT_COST_MS / Math.max(1, idleSeconds) +
    FULL_BATCH_COST_MS * opts.getRunning(listed.endpoint) / Math.max(1, pool.batchLimit) + computePlaceCost(ask, engine, opts)
  return { choice: { engine, isHeld, ...(victim === undefined ? {} : { victim }) }, costMs }
}

/** Chooses the cheapest engine; undefined if none can load the adapter now. */
export function chooseEngine (opts: ChooseEngineOptions): EngineChoice | undefined {
  let best: { choice: EngineChoice, costMs: number } | undefined
  for (const engine of opts.engines) {
    const weighed = computeEngineCost(engine, opts)
    if (weighed !== undefined && (best === undefined || weighed.costMs < best.costMs)) best = weighed
  }
  return best?.choice
}
