/**
 * Baseline policies of the policy experiment: a router with exact, current state of the engines in its region, and
 * least-recently-used eviction at each engine.
 */
import { createRandom } from '@catkinferry/core.random'
import type { Random } from '@catkinferry/core.random'
import type { Deployment } from './deployments.ts'
import type { Engine } from './engine.ts'
import type { PolicyResults } from './results.ts'
import { computeStall, createSimFleet } from './fleet.ts'
import type { SimFleet } from './fleet.ts'
import type { Arrival, Workload } from './workload.ts'
import { RUN_END_MS } from './workload.ts'

const RETRY_DELAY_MS = 100
const MAX_RETRIES = 3

interface QueuedRequest {
  readonly arrival: Arrival
  readonly retries: number
}

/** An engine with a queue in order of arrival and least-recently-used eviction. */
interface LruEngine {
  readonly engine: Engine
  readonly submit: (queued: QueuedRequest) => void
  /** Waiting and running requests. */
  readonly getLoad: () => number
}

export type ChooseEngine = (engines: readonly LruEngine[], adapter: string, random: Random) => LruEngine | undefined

function pickLeastLoaded (engines: readonly LruEngine[], random: Random): LruEngine | undefined {
  let least: LruEngine[] = []
  for (const engine of engines) {
    const load = engine.getLoad()
    const best = least[0]?.getLoad() ?? Infinity
    if (load < best) least = [engine]
    else if (load === best) least.push(engine)
  }
  return least.length === 0 ? undefined : random.pick(least)
}

export const BASELINE_POLICIES: Readonly<Record<'random' | 'leastLoaded' | 'residentFirst', ChooseEngine>> = {
  random: (engines, _adapter, random) => engines.length === 0 ? undefined : random.pick(engines),
  leastLoaded: (engines, _adapter, random) => pickLeastLoaded(engines, random),
  residentFirst: (engines, adapter, random) => {
    const preferred = engines.filter(({ engine, getLoad }) => (engine.isResident(adapter) || engine.isLoading(adapter)) && getLoad() < engine.batchLimit)
    return pickLeastLoaded(preferred.length > 0 ? preferred : engines, random)
  }
}

function createLruEngine (fleet: SimFleet, engine: Engine, onInterrupted: (queued: QueuedRequest) => void): LruEngine {
  const { time, recorder } = fleet
  const usedAt = new Map<string, number>()
  let queue: QueuedRequest[] = []
  let instance = engine.getInstance()

  function startResident (): void {
    const remaining: QueuedRequest[] = []
    for (const queued of queue) {
      const { arrival } = queued
      const startedAt = time.getNow()
      const stallMs = computeStall({ arrivedAt: arrival.at, startedAt, residentSince: engine.getResidentSince(arrival.adapter) })
      const started = engine.start(arrival.requestId, arrival, completed => {
        usedAt.set(arrival.adapter, time.getNow())
        if (completed) recorder.recordOutcome(arrival, { kind: 'done', at: time.getNow(), stallMs })
        else onInterrupted(queued)
        processQueue()
      })
      if (!started) remaining.push(queued)
    }
    queue = remaining
  }

  function findVictim (): string | undefined {
    const queuedAdapters = new Set(queue.map(({ arrival }) => arrival.adapter))
    let victim: string | undefined
    for (const adapter of engine.listResident()) {
      if (queuedAdapters.has(adapter) || engine.countRunning(adapter) > 0) continue
      if (victim === undefined || (usedAt.get(adapter) ?? 0) < (usedAt.get(victim) ?? 0)) victim = adapter
    }
    return victim
  }

  function loadQueuedAdapters (): void {
    for (const { arrival: { adapter } } of queue) {
      if (engine.isResident(adapter) || engine.isLoading(adapter)) continue
      if (!engine.hasFreeSlot()) {
        const victim = findVictim()
        if (victim === undefined) return
        engine.evict(victim)
      }
      engine.load(adapter, () => processQueue())
    }
  }

  function refuseExpired (): void {
    const now = time.getNow()
    queue = queue.filter(({ arrival }) => {
      const isExpired = now >= arrival.at + arrival.deadlineMs
      if (isExpired) recorder.recordOutcome(arrival, { kind: 'refused', at: now, stallMs: now - arrival.at })
      return !isExpired
    })
  }

  function processQueue (): void {
    if (instance !== engine.getInstance()) {
      instance = engine.getInstance()
      const interrupted = queue
      queue = []
      for (const queued of interrupted) onInterrupted(queued)
      return
    }
    refuseExpired()
    startResident()
    loadQueuedAdapters()
  }

  return {
    engine,
    submit: queued => {
      usedAt.set(queued.arrival.adapter, time.getNow())
      queue.push(queued)
      time.scheduleAt(queued.arrival.at + queued.arrival.deadlineMs, processQueue)
      processQueue()
    },
    getLoad: () => queue.length + engine.countRunning()
  }
}

/** Baselines use all engines of the region; a partitioned zone reaches only its own. */
function isReachable (fleet: SimFleet, engine: Engine, zone: string): boolean {
  if (!engine.isUp()) return false
  if (engine.zone === zone) return true
  const region = fleet.engines.find(other => other.zone === zone)?.region
  return engine.region === region && !fleet.isPartitioned(zone) && !fleet.isPartitioned(engine.zone)
}

export function runBaseline (opts: { readonly deployment: Deployment, readonly workload: Workload, readonly choose: ChooseEngine, readonly seed: number }): PolicyResults {
  const { deployment, workload, choose } = opts
  const fleet = createSimFleet(deployment, workload)
  const { time, recorder } = fleet
  const random = createRandom(opts.seed)
  const engines = fleet.engines.map(engine => createLruEngine(fleet, engine, retry))

  function route (queued: QueuedRequest): void {
    const { arrival } = queued
    const reachable = engines.filter(({ engine }) => isReachable(fleet, engine, arrival.zone))
    const chosen = choose(reachable, arrival.adapter, random)
    if (chosen === undefined) retry(queued)
    else chosen.submit(queued)
  }

  function retry (queued: QueuedRequest): void {
    const { arrival, retries } = queued
    if (retries >= MAX_RETRIES) recorder.recordOutcome(arrival, { kind: 'failed', at: time.getNow(), stallMs: 0 })
    else time.scheduleAfter(RETRY_DELAY_MS, () => route({ arrival, retries: retries + 1 }))
  }

  for (const arrival of workload.arrivals) time.scheduleAt(arrival.at, () => route({ arrival, retries: 0 }))
  time.runUntil(RUN_END_MS)
  return recorder.summarise(workload.arrivals, fleet.engines)
}
