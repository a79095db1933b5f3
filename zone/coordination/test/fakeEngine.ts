/** A simulated engine for the zone tests: slots, loads, evictions and delayed reports. */
import type { AdapterKey, EndpointReport, OrderOutcome } from '@catkinferry/core.types'
import type { Engine } from './zoneSimulationTypes.ts'

const LOAD_MS = 250
const EVICT_MS = 10
const MAX_SNAPSHOTS = 20

type Finish = (delayMs: number, outcome: OrderOutcome) => void

/** Loads an adapter into a free slot. */
export function applyLoad (opts: { readonly engine: Engine, readonly adapterKey: AdapterKey, readonly finish: Finish, readonly plan: (delayMs: number, action: () => void) => void }): void {
  const { engine, adapterKey, finish } = opts
  if (engine.resident.has(adapterKey)) {
    finish(1, { kind: 'done', tookMs: 0 })
    return
  }
  if (engine.failLoads || engine.resident.size + engine.loading.size >= engine.slots) {
    finish(1, { kind: 'failed', reason: engine.failLoads ? 'store' : 'no slot' })
    return
  }
  engine.loading.add(adapterKey)
  const { instance } = engine
  opts.plan(LOAD_MS, () => {
    if (engine.instance !== instance) return
    engine.loading.delete(adapterKey)
    engine.resident.add(adapterKey)
  })
  finish(LOAD_MS + 1, { kind: 'done', tookMs: LOAD_MS })
}

/** Evicts an adapter; returns a violation for each request that was running on it. */
export function applyEvict (opts: { readonly engine: Engine, readonly adapterKey: AdapterKey, readonly finish: Finish, readonly now: number }): readonly string[] {
  const { engine, adapterKey } = opts
  const interrupted = [...engine.running].filter(([, run]) => run.adapterKey === adapterKey)
  engine.resident.delete(adapterKey)
  opts.finish(EVICT_MS, { kind: 'done', tookMs: EVICT_MS })
  return interrupted.map(([attemptId]) => `${opts.now}: ${adapterKey} evicted on ${engine.row.endpoint} under ${attemptId}`)
}

function buildReport (engine: Engine): EndpointReport {
  const running: Record<string, number> = {}
  for (const { adapterKey } of engine.running.values()) running[adapterKey] = (running[adapterKey] ?? 0) + 1
  return {
    instanceId: String(engine.instance),
    resident: [...engine.resident],
    loading: [...engine.loading],
    running,
    runningCount: engine.running.size,
    queuedCount: 0,
    batchLimit: engine.batchLimit,
    slots: engine.slots,
    pool: engine.row.pool,
    checksFencing: engine.checksFencing,
    highestFencing: engine.fencing,
    ageMs: 0
  }
}

/** Returns a report of the engine's state of about `ageMs` ago. */
export function takeReport (engine: Engine, now: number, ageMs: number): EndpointReport {
  const current = { at: now, report: buildReport(engine) }
  engine.snapshots.push(current)
  if (engine.snapshots.length > MAX_SNAPSHOTS) engine.snapshots.shift()
  const old = engine.snapshots.findLast(({ at }) => at <= now - ageMs) ?? current
  const sameInstance = old.report.instanceId === current.report.instanceId
  const shown = sameInstance && now - old.at <= 2 * ageMs + 1 ? old : current
  return { ...shown.report, ageMs: now - shown.at }
}
