/**
 * Simulated callers of many adapters in front of the placement of a core host that leads, on virtual time. A caller whose adapter is
 * resident is served at once; others wait for a load, and return once if they are refused. Used by the tests of overload.
 */
import { createRandom } from '@catkinferry/core.random'
import type { FleetMessage } from '@catkinferry/wire.messages'
import { buildLoadRequest, createFakeEngines, MODEL } from './fakeEngines.ts'

/** Callers are served on time within this, and wait for this long. */
const OBJECTIVE_MS = 1_000
const DEADLINE_MS = 2_000
const HOST = 'entry'
const USE_REPORT_INTERVAL_MS = 400
const SLOT_USE_INTERVAL_MS = 40
const WARM_UP_MS = 1_000
const MS_PER_SECOND = 1_000

export interface AdapterDemand {
  readonly seed: number
  readonly durationMs: number
  readonly engines: number
  readonly slots: number
  /** Base model loads per second of the weight store, which limit the adapter loads in progress. */
  readonly modelLoadsPerSecond: number
  /** How long a request uses its adapter. */
  readonly useMs: number
  /** Share of the loads that go to starved adapters; the one of the product if absent. */
  readonly starvedLoadShare?: number
  /** Request rates per second of the adapters, and the priority of their callers. */
  readonly adapters: ReadonlyArray<{ readonly perSecond: number, readonly priority: number }>
}

/** What became of the requests for one adapter. */
export interface AdapterOutcome {
  readonly priority: number
  /** Attempts of callers, those of returning ones too. */
  readonly askedAt: number[]
  served: number
}

export interface DemandOutcome {
  readonly adapters: readonly AdapterOutcome[]
  readonly callers: number
  readonly served: number
  /** Served within the objective, counted from the first attempt. */
  readonly onTime: number
}

interface Caller {
  readonly adapter: number
  readonly firstAt: number
  readonly workId: string
  readonly isReturning: boolean
}

/** Builds the rates of adapters by a power law with this exponent. */
export function buildRates (opts: { readonly count: number, readonly perSecond: number, readonly exponent: number }): number[] {
  const weights = Array.from({ length: opts.count }, (_, index) => (index + 1) ** -opts.exponent)
  const sum = weights.reduce((total, weight) => total + weight, 0)
  return weights.map(weight => opts.perSecond * weight / sum)
}

/** Simulates the demand; the same one gives the same outcome. */
export function simulateDemand (demand: AdapterDemand): DemandOutcome {
  const random = createRandom(demand.seed)
  const adapters: AdapterOutcome[] = demand.adapters.map(({ priority }) => ({ priority, askedAt: [], served: 0 }))
  const waiting = new Map<number, Caller>()
  const running = new Map<string, number>()
  const changed = new Set<string>()
  const begun = new Map<string, number>()
  const due = new Map<number, Array<() => void>>()
  let asked = 0
  const result = { callers: 0, served: 0, onTime: 0 }

  const fleet = createFakeEngines({
    ids: Array.from({ length: demand.engines }, (_, index) => `e${index}`),
    slots: demand.slots,
    modelLoadsPerSecond: demand.modelLoadsPerSecond,
    ...(demand.starvedLoadShare === undefined ? {} : { starvedLoadShare: demand.starvedLoadShare }),
    onMessage
  })

  function schedule (delayMs: number, action: () => void): void {
    const at = fleet.getNow() + Math.max(1, Math.ceil(delayMs))
    due.set(at, [...due.get(at) ?? [], action])
  }

  function serve (caller: Caller, endpoint: string): void {
    const key = `${endpoint}|${MODEL}/a${caller.adapter}@1`
    const outcome = adapters[caller.adapter] as AdapterOutcome
    outcome.served += 1
    result.served += 1
    if (fleet.getNow() - caller.firstAt <= OBJECTIVE_MS) result.onTime += 1
    running.set(key, (running.get(key) ?? 0) + 1)
    begun.set(key, (begun.get(key) ?? 0) + 1)
    changed.add(key)
    schedule(demand.useMs, () => {
      running.set(key, (running.get(key) ?? 1) - 1)
      changed.add(key)
    })
  }

  function onMessage (message: FleetMessage): void {
    if (message.kind !== 'load.given' && message.kind !== 'load.refused') return
    const caller = waiting.get(message.askId)
    if (caller === undefined) return
    waiting.delete(message.askId)
    if (message.kind === 'load.given') serve(caller, message.endpoint)
    else if (!caller.isReturning) schedule(message.retryAfterMs, () => { ask({ ...caller, isReturning: true }) })
  }

  function ask (caller: Caller): void {
    const name = `a${caller.adapter}`
    const { priority, askedAt } = adapters[caller.adapter] as AdapterOutcome
    askedAt.push(fleet.getNow())
    const holder = [...fleet.engines.values()].find(({ resident }) => resident.has(name))
    if (holder !== undefined) {
      serve(caller, holder.id)
      return
    }
    asked += 1
    const request = buildLoadRequest(name, { askId: asked, priority, remainingMs: DEADLINE_MS, onTimeMs: OBJECTIVE_MS, workId: caller.workId })
    waiting.set(request.askId, caller)
    fleet.receive(request, HOST)
  }

  function reportUse (): void {
    const now = fleet.getNow()
    if (now % SLOT_USE_INTERVAL_MS === 0 && changed.size > 0) {
      const split = (key: string): [string, string] => key.split('|') as [string, string]
      const [used, unused] = [true, false].map(isUsed => [...changed].filter(key => ((running.get(key) ?? 0) > 0) === isUsed).map(split))
      fleet.receive({ kind: 'fleet.slotUse', begun: used ?? [], ended: unused ?? [] }, HOST)
      changed.clear()
    }
    if (now % USE_REPORT_INTERVAL_MS !== 0) return
    const uses = [...running].map(([key, count]) => ({ endpoint: key.split('|')[0] ?? '', adapterKey: key.split('|')[1] ?? '', begun: begun.get(key) ?? 0, running: count }))
    fleet.receive({ kind: 'fleet.use', uses: uses.filter(use => use.begun > 0 || use.running > 0) }, HOST)
    begun.clear()
    for (const [key, count] of running) if (count === 0) running.delete(key)
  }

  fleet.runFor(WARM_UP_MS)
  const total = demand.adapters.reduce((sum, { perSecond }) => sum + perSecond, 0)
  const cumulative: number[] = []
  for (const { perSecond } of demand.adapters) cumulative.push((cumulative.at(-1) ?? 0) + perSecond)
  for (let elapsed = 0; elapsed < demand.durationMs; elapsed += 1) {
    const now = fleet.getNow()
    for (const action of due.get(now) ?? []) action()
    due.delete(now)
    if (random.nextFraction() < total / MS_PER_SECOND) {
      const point = random.nextFraction() * total
      const adapter = cumulative.findIndex(bound => point < bound)
      result.callers += 1
      ask({ adapter, firstAt: now, workId: `w${result.callers}`, isReturning: false })
    }
    reportUse()
    fleet.runFor(1)
  }
  return { ...result, adapters }
}

/** Adapters that were asked for this often over this time are expected to be loaded. */
const MIN_ATTEMPTS = 4
const MIN_SPAN_MS = 8_000

/** Lists the adapters that were asked for again and again. */
export function listWanted ({ adapters }: DemandOutcome): AdapterOutcome[] {
  return adapters.filter(({ askedAt }) => askedAt.length >= MIN_ATTEMPTS && (askedAt.at(-1) ?? 0) - (askedAt[0] ?? 0) > MIN_SPAN_MS)
}

/** Most adapters of those that may be left without a load: one, and one of ten. */
export function computeMaxNeverLoaded (wanted: number): number {
  return 1 + wanted / 10
}
