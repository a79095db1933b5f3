/** The baselines: a router with exact and fresh figures of its own region, and least-recently-used eviction at each engine. */
import { createRandom } from '@catkinferry/core.random'
import type { Random } from '@catkinferry/core.random'
import type { Deployment } from './deployments.ts'
import type { Engine } from './engine.ts'
import type { RowFigures } from './figures.ts'
import { computeStall, createFleet } from './fleet.ts'
import type { Fleet } from './fleet.ts'
import type { Arrival, Workload } from './workload.ts'
import { RUN_END_MS } from './workload.ts'

const RETRY_MS = 100
const MAX_TRIES = 3

interface Waiting {
  readonly arrival: Arrival
  readonly tries: number
}

/** An engine with a queue in order of arrival and least-recently-used eviction. */
interface LruEngine {
  readonly engine: Engine
  readonly submit: (waiting: Waiting) => void
  /** Waiting and running requests. */
  readonly getLoad: () => number
}

export type Choose = (engines: readonly LruEngine[], adapter: string, random: Random) => LruEngine | undefined

function pickLeast (engines: readonly LruEngine[], random: Random): LruEngine | undefined {
  let least: LruEngine[] = []
  for (const engine of engines) {
    const load = engine.getLoad()
    const best = least[0]?.getLoad() ?? Infinity
    if (load < best) least = [engine]
    else if (load === best) least.push(engine)
  }
  return least.length === 0 ? undefined : random.pick(least)
}

export const CHOICES: Readonly<Record<'random' | 'leastLoaded' | 'residentFirst', Choose>> = {
  random: (engines, _adapter, random) => engines.length === 0 ? undefined : random.pick(engines),
  leastLoaded: (engines, _adapter, random) => pickLeast(engines, random),
  residentFirst: (engines, adapter, random) => {
    const warm = engines.filter(({ engine, getLoad }) => (engine.isResident(adapter) || engine.isLoading(adapter)) && getLoad() < engine.batchLimit)
    return pickLeast(warm.length > 0 ? warm : engines, random)
  }
}

function createLruEngine (fleet: Fleet, engine: Engine, onCut: (waiting: Waiting) => void): LruEngine {
  const { time, recorder } = fleet
  const usedAt = new Map<string, number>()
  let queue: Waiting[] = []
  let instance = engine.getInstance()

  function startReady (): void {
    const left: Waiting[] = []
    for (const waiting of queue) {
      const { arrival } = waiting
      const startedAt = time.getNow()
      const stallMs = computeStall({ arrivedAt: arrival.at, startedAt, residentSince: engine.getResidentSince(arrival.adapter) })
      const started = engine.start(arrival.requestId, arrival, whole => {
        usedAt.set(arrival.adapter, time.getNow())
        if (whole) recorder.end(arrival, { kind: 'done', at: time.getNow(), stallMs })
        else onCut(waiting)
        serve()
      })
      if (!started) left.push(waiting)
    }
    queue = left
  }

  function findVictim (): string | undefined {
    const wanted = new Set(queue.map(({ arrival }) => arrival.adapter))
    let victim: string | undefined
    for (const adapter of engine.listResident()) {
      if (wanted.has(adapter) || engine.countRunning(adapter) > 0) continue
      if (victim === undefined || (usedAt.get(adapter) ?? 0) < (usedAt.get(victim) ?? 0)) victim = adapter
    }
    return victim
  }

  function loadWanted (): void {
    for (const { arrival: { adapter } } of queue) {
      if (engine.isResident(adapter) || engine.isLoading(adapter)) continue
      if (!engine.hasFreeSlot()) {
        const victim = findVictim()
        if (victim === undefined) return
        engine.evict(victim)
      }
      engine.load(adapter, () => serve())
    }
  }

  function dropLate (): void {
    const now = time.getNow()
    queue = queue.filter(({ arrival }) => {
      const isLate = now >= arrival.at + arrival.deadlineMs
      if (isLate) recorder.end(arrival, { kind: 'refused', at: now, stallMs: now - arrival.at })
      return !isLate
    })
  }

  function serve (): void {
    if (instance !== engine.getInstance()) {
      instance = engine.getInstance()
      const moved = queue
      queue = []
      for (const waiting of moved) onCut(waiting)
      return
    }
    dropLate()
    startReady()
    loadWanted()
  }

  return {
    engine,
    submit: waiting => {
      usedAt.set(waiting.arrival.adapter, time.getNow())
      queue.push(waiting)
      time.at(waiting.arrival.at + waiting.arrival.deadlineMs, serve)
      serve()
    },
    getLoad: () => queue.length + engine.countRunning()
  }
}

/** Baselines use the engines of the region, and in a zone that is cut off its own. */
function isReachable (fleet: Fleet, engine: Engine, zone: string): boolean {
  if (!engine.isUp()) return false
  if (engine.zone === zone) return true
  const region = fleet.engines.find(other => other.zone === zone)?.region
  return engine.region === region && !fleet.isCut(zone) && !fleet.isCut(engine.zone)
}

/** Runs one baseline. */
export function runBaseline (opts: { readonly deployment: Deployment, readonly workload: Workload, readonly choose: Choose, readonly seed: number }): RowFigures {
  const { deployment, workload, choose } = opts
  const fleet = createFleet(deployment, workload)
  const { time, recorder } = fleet
  const random = createRandom(opts.seed)
  const engines = fleet.engines.map(engine => createLruEngine(fleet, engine, retry))

  function route (waiting: Waiting): void {
    const { arrival } = waiting
    const near = engines.filter(({ engine }) => isReachable(fleet, engine, arrival.zone))
    const chosen = choose(near, arrival.adapter, random)
    if (chosen === undefined) retry(waiting)
    else chosen.submit(waiting)
  }

  function retry (waiting: Waiting): void {
    const { arrival, tries } = waiting
    if (tries >= MAX_TRIES) recorder.end(arrival, { kind: 'failed', at: time.getNow(), stallMs: 0 })
    else time.after(RETRY_MS, () => route({ arrival, tries: tries + 1 }))
  }

  for (const arrival of workload.arrivals) time.at(arrival.at, () => route({ arrival, tries: 0 }))
  time.runUntil(RUN_END_MS)
  return recorder.summarise(workload.arrivals, fleet.engines)
}
