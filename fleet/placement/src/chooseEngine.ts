/** Chooses the engine that loads an adapter, and the adapter to evict there, by estimated cost. Called by the leader for each load. */
import { chooseEviction, computeLoadValue } from '@catkinferry/adapters.residency'
import type { AdapterName, DurationMs, EndpointId, EnginePool, ListedEndpoint, ModelId, MonotonicMs, RegionId, ZoneId } from '@catkinferry/core.types'
import { formatPlacedKey } from '@catkinferry/core.types'
import { MAX_LOADS_PER_ENDPOINT } from './constants.ts'
import { countReserved, countRunning, formatSlotKey, getOutcomeUnknownUntil, SlotState } from './engineState.ts'
import type { EngineState, Slot } from './engineState.ts'

/** Cost of a load from the weight store compared to one from the engine's own memory. */
const STORE_COST_MS = 225
/** Cost of each load already in progress on the engine. */
const QUEUED_LOAD_COST_MS = 30
/** Cost of a full batch compared to an empty one. */
const FULL_BATCH_COST_MS = 120
const OTHER_ZONE_COST_MS = 3
const OTHER_REGION_COST_MS = 25
/** Time that a load takes, by which the value of adapters in their slots is compared. */
export const EXPECTED_LOAD_MS = 300
/** Requests that wait for a load count as if they arrived within this time. */
const WAITING_HORIZON_MS = 1_000
/** An adapter is evicted for one that is worth at least as much. */
const EVICT_HYSTERESIS = 1

export interface EngineRequirements {
  readonly model: ModelId
  readonly adapter: AdapterName
  readonly version: number
  /** Zone and region of the entry host that requests the adapter; undefined if none does. */
  readonly zone?: ZoneId
  readonly region?: RegionId
  readonly isAvoided: (listed: ListedEndpoint) => boolean
  /** Number of requests that wait for the load. */
  readonly waiting: number
  /** The load may evict an adapter that is worth more. */
  readonly isStarved?: boolean
}

export interface EngineChoice {
  readonly engine: EngineState
  /** Adapter whose eviction must be confirmed before the load. */
  readonly victim?: Slot
  /** The engine loads from its own memory instead of the weight store. */
  readonly isCached: boolean
}

/** An engine chosen for a load, and what the load is estimated to cost there, in milliseconds. */
export interface EngineEstimate {
  readonly choice: EngineChoice
  readonly costMs: DurationMs
}

/** Requests per second for an adapter, recently. */
export type GetRate = (slotKey: string) => number

/** An engine that can begin a load now. */
export interface OpenEngine {
  readonly engine: EngineState
  /** The least valuable adapter that may be evicted; undefined if a slot is free. */
  readonly victim: Slot | undefined
  readonly victimRate: number
  readonly loading: number
}

export interface EngineCostOptions {
  readonly requirements: EngineRequirements
  readonly pool: EnginePool
  readonly getRate: GetRate
  readonly getRegion: (zone: ZoneId) => RegionId
  /** Requests in progress at an engine. */
  readonly getRunning: (endpoint: EndpointId) => number
}

/** Counts loads in progress, including those that wait for an eviction. */
function countLoading (engine: EngineState): number {
  let count = 0
  for (const { state } of engine.slots.values()) if (state === SlotState.LOADING) count += 1
  return count
}

/** Finds the least requested adapter that may be evicted now; among equal ones the least recently used. */
export function findVictim (engine: EngineState, opts: { readonly now: MonotonicMs, readonly minIdleMs: DurationMs, readonly getRate: GetRate }): { readonly slot: Slot, readonly rate: number } | undefined {
  const { now, minIdleMs, getRate } = opts
  let victim: { slot: Slot, rate: number } | undefined
  for (const [slotKey, slot] of engine.slots) {
    const isEvictable = slot.state === SlotState.RESIDENT && now - slot.usedAt > minIdleMs && now >= getOutcomeUnknownUntil(slot) && countRunning(slot, now) === 0
    if (!isEvictable) continue
    const rate = getRate(slotKey)
    if (victim === undefined || rate < victim.rate || (rate === victim.rate && slot.usedAt < victim.slot.usedAt)) victim = { slot, rate }
  }
  return victim
}

/** Lists the engines that can begin a load now: healthy, with a free slot or an adapter idle for longer than `minIdleMs`. */
export function listOpenEngines (opts: { readonly engines: Iterable<EngineState>, readonly pool: EnginePool, readonly now: MonotonicMs, readonly minIdleMs: DurationMs, readonly getRate: GetRate }): OpenEngine[] {
  const { pool, now } = opts
  const open: OpenEngine[] = []
  for (const engine of opts.engines) {
    if (engine.listed.leaving || engine.models.size === 0 || now < engine.ordersPausedUntil || now < engine.adapterLoadsPausedUntil) continue
    const loading = countLoading(engine)
    if (loading >= MAX_LOADS_PER_ENDPOINT) continue
    const hasFreeSlot = engine.slots.size < pool.adapterPlaces - countReserved(engine, pool.adapterPlaces, now)
    // More slots in use than there are: some of them are gone already, and evicting such a one frees nothing.
    const isOvercounted = engine.slots.size > pool.adapterPlaces
    const victim = hasFreeSlot || isOvercounted ? undefined : findVictim(engine, opts)
    if (hasFreeSlot || victim !== undefined) open.push({ engine, victim: victim?.slot, victimRate: victim?.rate ?? 0, loading })
  }
  return open
}

function computeDistanceCost (requirements: EngineRequirements, engine: EngineState, getRegion: EngineCostOptions['getRegion']): number {
  const { zone } = engine.listed
  if (requirements.zone === undefined || zone === requirements.zone) return 0
  return getRegion(zone) === requirements.region ? OTHER_ZONE_COST_MS : OTHER_REGION_COST_MS
}

/** Whether the load is worth more than the adapter that it would evict. */
function isWorthEvicting ({ requirements, getRate }: EngineCostOptions, slotKey: string, victim: Slot, victimRate: number): boolean {
  const loadValue = computeLoadValue({ ratePerSecond: getRate(slotKey), waiting: requirements.waiting, horizonMs: WAITING_HORIZON_MS, expectedLoadMs: EXPECTED_LOAD_MS })
  const adapterKey = formatSlotKey(victim.model, victim.adapter)
  return chooseEviction({ candidates: [{ adapterKey, ratePerSecond: victimRate }], expectedLoadMs: EXPECTED_LOAD_MS, loadValue, hysteresis: EVICT_HYSTERESIS }) !== undefined
}

/** Estimates what a load on an engine costs, in milliseconds; undefined if the engine cannot or should not load the adapter. */
function computeEngineCost ({ engine, victim, victimRate, loading }: OpenEngine, opts: EngineCostOptions): EngineEstimate | undefined {
  const { requirements, pool } = opts
  const { endpoint } = engine.listed
  const slotKey = formatSlotKey(requirements.model, requirements.adapter)
  if (requirements.isAvoided(engine.listed) || !engine.models.has(requirements.model) || engine.slots.has(slotKey)) return undefined
  if (victim !== undefined && requirements.isStarved !== true && !isWorthEvicting(opts, slotKey, victim, victimRate)) return undefined
  const isCached = engine.cachedAdapters.has(formatPlacedKey(requirements.model, requirements.adapter, requirements.version))
  const costMs = (isCached ? 0 : STORE_COST_MS) + loading * QUEUED_LOAD_COST_MS + victimRate * EXPECTED_LOAD_MS +
    FULL_BATCH_COST_MS * opts.getRunning(endpoint) / Math.max(1, pool.batchLimit) + computeDistanceCost(requirements, engine, opts.getRegion)
  return { choice: { engine, isCached, ...(victim === undefined ? {} : { victim }) }, costMs }
}

/** Chooses the cheapest of the open engines; undefined if none can load the adapter now. */
export function chooseEngine (open: readonly OpenEngine[], opts: EngineCostOptions): EngineEstimate | undefined {
  let best: EngineEstimate | undefined
  for (const candidate of open) {
    const cost = computeEngineCost(candidate, opts)
    if (cost !== undefined && (best === undefined || cost.costMs < best.costMs)) best = cost
  }
  return best
}

/** The open engines of a run, of which each begins one load at most. */
export interface CheapestEngines<Load> {
  readonly isEmpty: () => boolean
  /** Finds what `chooseEngine` chooses of the engines that are left. */
  readonly find: (load: Load) => EngineEstimate | undefined
  /** Removes an engine that begins a load. */
  readonly remove: (engine: EngineState) => void
}

/** A load that begins on one engine does not change the costs of the others, so the cheapest for a load is looked for again only once it is removed. */
export function createCheapestEngines<Load> (open: readonly OpenEngine[], getOptions: (load: Load) => EngineCostOptions): CheapestEngines<Load> {
  const found = new Map<Load, EngineEstimate | undefined>()
  let left = open
  return {
    isEmpty: () => left.length === 0,
    find: load => {
      if (!found.has(load)) found.set(load, chooseEngine(left, getOptions(load)))
      return found.get(load)
    },
    remove: engine => {
      left = left.filter(other => other.engine !== engine)
      for (const [load, chosen] of found) if (chosen?.choice.engine === engine) found.delete(load)
    }
  }
}
