/** Simulated engines on virtual time, driven by the placement of a core host that leads. Used by the placement tests. */
import type { EngineOrder, EngineOrderOutcome, ListedEndpoint, RouteTable } from '@catkinferry/core.types'
import { createPlacement } from '@catkinferry/fleet.placement'
import type { OrderCall, Placement } from '@catkinferry/fleet.placement'
import type { HostOutput, RunContext } from '@catkinferry/host.events'
import type { FleetMessage, PeerMessage } from '@catkinferry/wire.messages'

export const MODEL = 'm'
export const POOL = 'llm'
const LOAD_MS = 250
const ORDER_MS = 2
/** When an order counts as unanswered, and when the response of one that is answered late arrives by default. */
const ORDER_TIMEOUT_MS = 120
const LATE_ANSWER_MS = 300
/** How long an entry host uses an adapter that it was granted. */
const USE_MS = 40

interface Engine {
  readonly id: string
  born: number
  highestFencing: number
  hasModel: boolean
  /** When the load of the base model ends. */
  modelLoadUntil: number | undefined
  /** Versions by adapter. */
  readonly resident: Map<string, number>
  /** Loads by adapter, with the time when they end. */
  readonly loading: Map<string, { readonly until: number, readonly version: number }>
  readonly busyWith: Set<string>
  /** Adapters whose evictions wait for their requests; meanwhile the engine refuses loads as busy. */
  readonly evicting: Set<string>
}

/** Executed, lost, executed late without a response, not sent, refused as busy, or executed with a response that comes after the time limit. */
type OrderHandling = 'now' | 'lost' | 'late' | 'unreachable' | 'busy' | 'answeredLate'

interface ScheduledAction {
  readonly at: number
  readonly run: () => void
}

export interface FakeEngines {
  readonly placement: Placement
  readonly sent: Array<{ readonly to: string, readonly message: FleetMessage }>
  /** Log lines. */
  readonly logs: Array<Extract<HostOutput, { kind: 'log' }>>
  readonly orders: Array<{ readonly at: number, readonly endpoint: string, readonly order: EngineOrder, readonly fencing: number }>
  /** Engines that were ordered to load more adapters than they have slots. */
  readonly overfilled: string[]
  /** Of each order, whether it may still be sent. */
  readonly orderChecks: ReadonlyArray<OrderCall['isAllowed']>
  readonly engines: Map<string, Engine>
  readonly receive: (message: FleetMessage, from?: string) => void
  readonly runFor: (ms: number) => void
  readonly setTerm: (term: number | undefined) => void
  /** Sets whether a majority of the voters has answered the leader recently. */
  readonly setQuorum: (hasQuorum: boolean) => void
  readonly setVersion: (adapter: string, version: number) => void
  /** Sets what happens to each order. */
  setOrderHandling: (chooseHandling: (order: EngineOrder, endpoint: string) => OrderHandling) => void
  readonly restart: (id: string) => void
  readonly getNow: () => number
}

export interface FakeEnginesOptions {
  readonly ids: readonly string[]
  readonly slots: number
  /** Lag of the endpoint list. */
  readonly lagMs?: number
  readonly lateMs?: number
  /** When the response of an order that is answered late arrives. */
  readonly lateAnswerMs?: number
  readonly takeoverDelayMs?: number
  /** Software versions of engines; `v1` by default. */
  readonly softwareVersions?: Readonly<Record<string, string>>
  /** Rate limit of base model loads of the weight store. */
  readonly modelLoadsPerSecond?: number
  /** Time an engine takes to load the base model. */
  readonly modelLoadMs?: number
  /** Time an engine takes to load an adapter. */
  readonly loadMs?: number
  /** Share of the loads that go to starved adapters. */
  readonly starvedLoadShare?: number
  /** Receives the messages to entry hosts, in place of a host that uses each granted adapter for a moment. */
  readonly onMessage?: (message: FleetMessage) => void
}

export function createFakeEngines (opts: FakeEnginesOptions): FakeEngines {
  const { slots, lagMs = 800, lateMs = 3_000, lateAnswerMs = LATE_ANSWER_MS, takeoverDelayMs = 0, modelLoadsPerSecond = 2, modelLoadMs = 0, loadMs = LOAD_MS } = opts
  const engines = new Map<string, Engine>(opts.ids.map(id => [id, { id, born: 1, highestFencing: 0, hasModel: true, modelLoadUntil: undefined, resident: new Map(), loading: new Map(), busyWith: new Set(), evicting: new Set() }]))
  const versions = new Map<string, number>()
  const lists: { at: number, listed: ListedEndpoint[] }[] = []
  const sent: FakeEngines['sent'] = []
  const orders: FakeEngines['orders'] = []
  const logs: FakeEngines['logs'] = []
  const orderChecks: Array<OrderCall['isAllowed']> = []
  const overfilled: string[] = []
  let scheduled: ScheduledAction[] = []
  let now = 0
  let term: number | undefined = 1
  let hasQuorum = true
  let chooseHandling: (order: EngineOrder, endpoint: string) => OrderHandling = () => 'now'

  const table: RouteTable = {
    version: 1,
    routes: [],
    pools: [{ name: POOL, healthPath: '/', maxConnections: 10, engine: { batchLimit: 8, weightsMb: 100, adapterPlaces: slots, modelLoadsPerSecond, models: [{ model: MODEL, weightsMb: 50, loadMs: 500, adapterMb: 1 }] } }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  }

  function finishLoads (engine: Engine): void {
    for (const [adapter, { until, version }] of engine.loading) {
      if (until > now) continue
      engine.loading.delete(adapter)
      engine.resident.set(adapter, version)
    }
  }

  function executeModelLoad (engine: Engine): EngineOrderOutcome {
    if (!engine.hasModel) engine.modelLoadUntil ??= now + modelLoadMs
    engine.hasModel ||= now >= (engine.modelLoadUntil ?? 0)
    return engine.hasModel ? 'holds' : 'accepted'
  }

  function executeEvict (engine: Engine, adapter: string): EngineOrderOutcome {
    if (engine.busyWith.has(adapter)) {
      engine.evicting.add(adapter)
      return 'accepted'
    }
    engine.evicting.delete(adapter)
    engine.resident.delete(adapter)
    return 'holds'
  }

  function isEvicting ({ evicting, busyWith }: Engine): boolean {
    for (const adapter of evicting) if (!busyWith.has(adapter)) evicting.delete(adapter)
    return evicting.size > 0
  }

  function executeOrder (engine: Engine, { kind, adapter, version = 1 }: EngineOrder, fencing: number): EngineOrderOutcome {
    if (fencing < engine.highestFencing) return 'fenced'
    engine.highestFencing = fencing
    finishLoads(engine)
    if (adapter === undefined) return executeModelLoad(engine)
    if (kind === 'evict') return executeEvict(engine, adapter)
    if (!engine.hasModel) return 'misdirected'
    if (isEvicting(engine)) return 'busy'
    if (engine.resident.get(adapter) === version) return 'holds'
    if (engine.loading.has(adapter)) return 'accepted'
    if (engine.loading.size >= 4) return 'busy'
    engine.resident.delete(adapter)
    engine.loading.set(adapter, { until: now + loadMs, version })
    if (engine.resident.size + engine.loading.size > slots) overfilled.push(engine.id)
    return 'accepted'
  }

  function sendOrder ({ endpoint, order, fencing, isAllowed, onOutcome }: OrderCall): void {
    orderChecks.push(isAllowed)
    orders.push({ at: now, endpoint, order, fencing })
    const engine = engines.get(endpoint)
    const handling = chooseHandling(order, endpoint)
    const answer = (outcome: EngineOrderOutcome): void => { scheduled.push({ at: now + ORDER_MS, run: () => onOutcome(outcome) }) }
    if (engine === undefined || handling === 'unreachable') answer('notSent')
    else if (handling === 'busy') answer('busy')
    else if (handling === 'now') answer(executeOrder(engine, order, fencing))
    else if (handling === 'answeredLate') {
      const outcome = executeOrder(engine, order, fencing)
      scheduled.push({ at: now + ORDER_TIMEOUT_MS, run: () => onOutcome('unanswered') })
      scheduled.push({ at: now + lateAnswerMs, run: () => onOutcome(outcome) })
    } else {
      const { born } = engine
      if (handling === 'late') scheduled.push({ at: now + lateMs, run: () => { if (engine.born === born) executeOrder(engine, order, fencing) } })
      scheduled.push({ at: now + 700, run: () => onOutcome('unanswered') })
    }
  }

  function buildListedEndpoint (engine: Engine): ListedEndpoint {
    finishLoads(engine)
    const adapters = [...engine.resident].map(([adapter, version]) => ({ adapter, version }))
    return { endpoint: engine.id, bornAt: engine.born, softwareVersion: opts.softwareVersions?.[engine.id] ?? 'v1', pool: POOL, zone: 'z', address: `10.0.0.1:${engine.id.length}`, leaving: false, models: engine.hasModel ? [{ model: MODEL, adapters }] : [] }
  }

  /** Two core hosts; the one that leads changes with the term. Each copies its slots to the other. */
  const placements = [0, 1].map(index => createPlacement({
    self: `core${index}`,
    getLeaderTerm: () => term !== undefined && term % 2 !== index ? term : undefined,
    takeoverDelayMs,
    enginesCheckFencing: true,
    getRoutes: () => table,
    getVersion: (_model, adapter) => versions.get(adapter) ?? 1,
    getRegion: () => 'r',
    listEntryHosts: () => ['entry'],
    listOtherCoreHosts: () => [`core${1 - index}`],
    listLagMs: lagMs,
    hasRecentQuorum: () => hasQuorum,
    getLocation: () => ({ zone: 'z', region: 'r' }),
    sendOrder,
    ...(opts.starvedLoadShare === undefined ? {} : { starvedLoadShare: opts.starvedLoadShare }),
    pollList: () => {
      const seen = lists.findLast(({ at }) => at <= now - lagMs) ?? lists[0]
      if (seen !== undefined) scheduled.push({ at: now + 1, run: () => placements[index]?.receiveList(seen.listed, createContext()) })
    }
  }))
  const getPlacement = (): Placement => placements[term === undefined || term % 2 === 1 ? 0 : 1] as Placement

  /** Uses each granted adapter for a moment, unless a test receives the messages. */
  function receiveAsEntryHost (host: string, message: FleetMessage): void {
    if (opts.onMessage !== undefined) {
      opts.onMessage(message)
      return
    }
    sent.push({ to: host, message })
    if (message.kind !== 'load.given' || message.adapterKey === undefined) return
    const use = [message.endpoint, message.adapterKey] as const
    scheduled.push({ at: now + USE_MS, run: () => getPlacement().receive(host, { kind: 'fleet.slotUse', begun: [], ended: [use] }, createContext()) })
  }

  function createContext (): RunContext {
    return {
      now,
      wallNow: now,
      send: (to: string, message: PeerMessage) => {
        const other = placements[['core0', 'core1'].indexOf(to)]
        if (other === undefined) receiveAsEntryHost(to, message as FleetMessage)
        else scheduled.push({ at: now + 2, run: () => other.receive('core', message as never, createContext()) })
      },
      emit: (output: HostOutput) => { if (output.kind === 'log') logs.push(output) }
    }
  }

  function runFor (ms: number): void {
    const end = now + ms
    for (; now < end; now += 1) {
      if (now % 50 === 0) {
        lists.push({ at: now, listed: [...engines.values()].map(buildListedEndpoint) })
        if (lists.length > 100) lists.shift()
      }
      const due = scheduled.filter(({ at }) => at <= now)
      scheduled = scheduled.filter(({ at }) => at > now)
      for (const { run } of due) run()
      for (const placement of placements) if ((placement.getNextAt() ?? Infinity) <= now || due.length > 0 || now % 100 === 0) placement.run(createContext())
    }
  }

  return {
    get placement () { return getPlacement() },
    sent,
    logs,
    orders,
    overfilled,
    orderChecks,
    engines,
    receive: (message, from = 'entry') => { getPlacement().receive(from, message as never, createContext()) },
    runFor,
    setTerm: next => { term = next },
    setQuorum: next => { hasQuorum = next },
    setVersion: (adapter, version) => { versions.set(adapter, version) },
    setOrderHandling: next => { chooseHandling = next },
    restart: id => {
      const engine = engines.get(id)
      if (engine === undefined) return
      engine.born += 1
      engine.highestFencing = 0
      engine.resident.clear()
      engine.loading.clear()
      engine.hasModel = false
      engine.modelLoadUntil = undefined
    },
    getNow: () => now
  }
}

let nextAskId = 1

export function buildLoadRequest (adapter: string, changes: Partial<Extract<FleetMessage, { kind: 'load.ask' }>> = {}): Extract<FleetMessage, { kind: 'load.ask' }> {
  return { kind: 'load.ask', askId: nextAskId++, pool: POOL, model: MODEL, adapter, priority: 1, remainingMs: 2_000, avoid: [], ...changes }
}
