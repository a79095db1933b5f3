/** Chooses the engine that loads an adapter, and the adapter to evict there, by estimated cost. Called by the leader for each load. */
import type { AdapterName, DurationMs, EndpointId, EnginePool, ModelId, MonotonicMs, RegionId, ZoneId } from '@catkinferry/core.types'
import { formatPlacedKey } from '@catkinferry/core.types'
import { MAX_LOADS_PER_ENDPOINT, RESERVED_SLOTS } from './constants.ts'
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

export interface EngineRequirements {
  readonly model: ModelId
  readonly adapter: AdapterName
  readonly version: number
  /** Zone and region of the entry host that requests the adapter; undefined if none does. */
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
  readonly isCached: boolean
}

export interface ChooseEngineOptions {
  readonly requirements: EngineRequirements
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
    const isEvictable = slot.state === SlotState.RESIDENT && now - slot.usedAt > minIdleMs && now >= slot.outcomeUnknownUntil && countRunning(slot, now) === 0
    if (isEvictable && (victim === undefined || slot.usedAt < victim.usedAt)) victim = slot
  }
  return victim
}

function computeDistanceCost (requirements: EngineRequirements, engine: EngineState, opts: ChooseEngineOptions): number {
  const { zone } = engine.listed
  if (requirements.zone === undefined || zone === requirements.zone) return 0
  return opts.getRegion(zone) === requirements.region ? OTHER_ZONE_COST_MS : OTHER_REGION_COST_MS
}

function computeEngineCost (engine: EngineState, opts: ChooseEngineOptions): { choice: EngineChoice, costMs: number } | undefined {
  const { requirements, pool, now } = opts
  const { listed, slots } = engine
  const usable = !listed.leaving && engine.models.has(requirements.model) && now >= engine.ordersPausedUntil && now >= engine.adapterLoadsPausedUntil && !requirements.isAvoided(listed.endpoint)
  if (!usable || slots.has(formatSlotKey(requirements.model, requirements.adapter))) return undefined
  const loading = countLoading(engine)
  if (loading >= MAX_LOADS_PER_ENDPOINT) return undefined
  const hasFreeSlot = slots.size < pool.adapterPlaces - RESERVED_SLOTS
  const victim = hasFreeSlot ? undefined : findVictim(engine, now, requirements.minIdleMs)
  if (!hasFreeSlot && victim === undefined) return undefined
  const isCached = engine.cachedAdapters.has(formatPlacedKey(requirements.model, requirements.adapter, requirements.version))
  const idleSeconds = victim === undefined ? Infinity : (now - victim.usedAt) / MS_PER_SECOND
  const costMs = (isCached ? 0 : STORE_COST_MS) + loading * QUEUED_LOAD_COST_MS + EVICT_COST_MS / Math.max(1, idleSeconds) +
    FULL_BATCH_COST_MS * opts.getRunning(listed.endpoint) / Math.max(1, pool.batchLimit) + computeDistanceCost(requirements, engine, opts)
  return { choice: { engine, isCached, ...(victim === undefined ? {} : { victim }) }, costMs }
}

/** Chooses the cheapest engine; undefined if none can load the adapter now. */
export function chooseEngine (opts: ChooseEngineOptions): EngineChoice | undefined {
  let best: { choice: EngineChoice, costMs: number } | undefined
  for (const engine of opts.engines) {
    const candidate = computeEngineCost(engine, opts)
    if (candidate !== undefined && (best === undefined || candidate.costMs < best.costMs)) best = candidate
  }
  return best?.choice
}
