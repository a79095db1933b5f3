/**
 * Keeps some slots of each engine free ahead of loads, so that callers wait for a load only and not for an eviction before
 * it. Run by the leader every `LIST_INTERVAL_MS`.
 */
import type { RunContext } from '@catkinferry/host.events'
import { findVictim } from './chooseEngine.ts'
import { MIN_FREE_SLOT_SHARE, PROACTIVE_EVICT_IDLE_MS } from './constants.ts'
import { countReserved, SlotState } from './engineState.ts'
import type { EngineState } from './engineState.ts'
import { beginEvict } from './jobs.ts'
import { findPool } from './placementState.ts'
import type { PlacementState } from './placementState.ts'

function countEvicting ({ slots }: EngineState): number {
  let count = 0
  for (const { state } of slots.values()) if (state === SlotState.EVICTING) count += 1
  return count
}

/** Evicts a long-idle adapter from each engine that is nearly full; reloading it from the engine's own memory is quick. */
export function evictIdle (state: PlacementState, context: RunContext): void {
  for (const engine of state.engines.values()) {
    const pool = findPool(state, engine.listed.pool)?.engine
    if (pool === undefined || engine.listed.leaving || context.now < engine.ordersPausedUntil || state.health.isSuspect(engine.listed.endpoint)) continue
    const free = pool.adapterPlaces - countReserved(engine, pool.adapterPlaces, context.now) - engine.slots.size + countEvicting(engine)
    if (free >= Math.floor(pool.adapterPlaces * MIN_FREE_SLOT_SHARE)) continue
    const victim = findVictim(engine, { now: context.now, minIdleMs: PROACTIVE_EVICT_IDLE_MS, getRate: slotKey => state.popularity.getFastRate(slotKey, context.now) })
    if (victim !== undefined) beginEvict(state, engine, victim.slot, 'to free a slot', context)
  }
}
