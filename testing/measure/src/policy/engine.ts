/** Simulated model engine of the policy experiment: adapter slots, continuous batching, loads from the weight store, restarts. */
import type { RegionId, ZoneId } from '@catkinferry/core.types'
import { createBatch } from './batch.ts'
import type { BatchWork } from './batch.ts'
import type { Store } from './store.ts'
import type { VirtualTime } from './virtualTime.ts'

const RESTART_MS = 5_000

export interface EngineStats {
  loads: number
  evictions: number
  /** Time with at least one running request. */
  busyMs: number
  /** Integral of the number of running requests over time. */
  runningMs: number
  /** Refused orders to evict an adapter with running requests; a correct policy gives none. */
  evictedRunning: number
}

export interface EngineOptions {
  readonly id: string
  readonly zone: ZoneId
  readonly region: RegionId
  readonly slots: number
  readonly batchLimit: number
  readonly time: VirtualTime
  readonly store: Store
  /** True in the measured part of the run, after the warm-up. */
  readonly isCounted: () => boolean
}

export interface Engine extends Pick<EngineOptions, 'id' | 'zone' | 'region' | 'slots' | 'batchLimit'> {
  readonly stats: EngineStats
  readonly isUp: () => boolean
  /** Instance number, incremented by each restart. */
  readonly getInstance: () => number
  readonly isResident: (adapter: string) => boolean
  readonly isLoading: (adapter: string) => boolean
  /** When the adapter became resident. */
  readonly getResidentSince: (adapter: string) => number | undefined
  readonly listResident: () => string[]
  readonly listLoading: () => string[]
  readonly countRunning: (adapter?: string) => number
  readonly hasFreeSlot: () => boolean
  /** False when no slot is free. */
  readonly load: (adapter: string, onDone: (ok: boolean) => void) => boolean
  /** False when the adapter is running or not resident. */
  readonly evict: (adapter: string) => boolean
  /** False when the adapter is not resident or the batch is full. */
  readonly start: (id: string, work: BatchWork, onEnd: (completed: boolean) => void) => boolean
  readonly cancel: (id: string) => void
  readonly restart: () => void
}

export function createEngine (opts: EngineOptions): Engine {
  const { id, zone, region, slots, batchLimit, time, store, isCounted } = opts
  const resident = new Map<string, number>()
  const loading = new Map<string, ((ok: boolean) => void)[]>()
  const stats: EngineStats = { loads: 0, evictions: 0, busyMs: 0, runningMs: 0, evictedRunning: 0 }
  const batch = createBatch({ time, stats, isCounted })
  let instance = 1
  let upAt = 0

  const hasFreeSlot = (): boolean => resident.size + loading.size < slots

  function fetchAdapter (adapter: string, onDone: (ok: boolean) => void): void {
    const waiters = [onDone]
    const startedInstance = instance
    loading.set(adapter, waiters)
    if (isCounted()) stats.loads += 1
    store.fetch(() => {
      if (startedInstance !== instance) return
      loading.delete(adapter)
      resident.set(adapter, time.getNow())
      for (const waiter of waiters) waiter(true)
    })
  }

  function load (adapter: string, onDone: (ok: boolean) => void): boolean {
    if (time.getNow() < upAt) return false
    const waiting = loading.get(adapter)
    if (resident.has(adapter)) onDone(true)
    else if (waiting !== undefined) waiting.push(onDone)
    else if (hasFreeSlot()) fetchAdapter(adapter, onDone)
    else return false
    return true
  }

  function evict (adapter: string): boolean {
    if (!resident.has(adapter)) return false
    if (batch.countRunning(adapter) > 0) {
      stats.evictedRunning += 1
      return false
    }
    if (isCounted()) stats.evictions += 1
    return resident.delete(adapter)
  }

  function restart (): void {
    const waiters = [...loading.values()].flat()
    loading.clear()
    resident.clear()
    instance += 1
    upAt = time.getNow() + RESTART_MS
    batch.interruptAll()
    for (const waiter of waiters) waiter(false)
  }

  return {
    id,
    zone,
    region,
    slots,
    batchLimit,
    stats,
    isUp: () => time.getNow() >= upAt,
    getInstance: () => instance,
    isResident: adapter => resident.has(adapter),
    isLoading: adapter => loading.has(adapter),
    getResidentSince: adapter => resident.get(adapter),
    listResident: () => [...resident.keys()],
    listLoading: () => [...loading.keys()],
    countRunning: batch.countRunning,
    hasFreeSlot,
    load,
    evict,
    start: (attempt, work, onEnd) => {
      if (!resident.has(work.adapter) || batch.countRunning() >= batchLimit) return false
      batch.add(attempt, work, onEnd)
      return true
    },
    cancel: batch.cancel,
    restart
  }
}
