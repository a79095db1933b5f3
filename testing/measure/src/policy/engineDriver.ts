/** What the shells do for the real systems: attempts, orders and reports, over a network with delays. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { EndpointReport, OrderOutcome } from '@catkinferry/core.types'
import { parseAdapterKey } from '@catkinferry/core.types'
import type { AttemptEvent, AttemptStart, OrderSend } from '@catkinferry/host.events'
import type { Engine } from './engine.ts'
import { computeStall } from './fleet.ts'
import type { Fleet } from './fleet.ts'
import type { SimHost } from './simHost.ts'
import { POOL, VERSION } from './simSettings.ts'
import type { Arrival } from './workload.ts'

const NEAR_MS = 0.5
const ZONE_MS = 1
const REGION_MS = 5
const POLL_MS = 2
/** How old an engine's figures are when it answers. */
const REPORT_LAG_MS = 200
const BYTES_PER_TOKEN = 5

export interface EngineDriver {
  readonly start: (host: SimHost, start: AttemptStart) => void
  readonly cancel: (attemptId: string) => void
  readonly order: (host: SimHost, order: OrderSend) => void
  readonly poll: (host: SimHost, endpoint: string) => void
  /** Stall of a request that was dispatched, by what the engine knows. */
  readonly getStall: (requestId: string) => number | undefined
}

function buildReport (engine: Engine): EndpointReport {
  const resident = engine.listResident()
  const running: Record<string, number> = {}
  for (const adapter of resident) {
    const count = engine.countRunning(adapter)
    if (count > 0) running[`${adapter}@${VERSION}`] = count
  }
  return {
    instanceId: String(engine.getInstance()),
    resident: resident.map(adapter => `${adapter}@${VERSION}`),
    loading: engine.listLoading().map(adapter => `${adapter}@${VERSION}`),
    running,
    runningCount: engine.countRunning(),
    queuedCount: 0,
    batchLimit: engine.batchLimit,
    slots: engine.slots,
    pool: POOL,
    checksFencing: false,
    highestFencing: 0,
    ageMs: REPORT_LAG_MS
  }
}

function carryOut (fleet: Fleet, engine: Engine, order: OrderSend, onDone: (outcome: OrderOutcome) => void): void {
  const sentAt = fleet.time.getNow()
  const finish = (ok: boolean): void => onDone(ok ? { kind: 'done', tookMs: fleet.time.getNow() - sentAt } : { kind: 'failed', reason: 'refused by the engine' })
  if (order.order.kind === 'setRole') finish(true)
  else if (order.order.kind === 'evict') finish(engine.evict(parseAdapterKey(order.order.adapterKey).adapter))
  else if (!engine.load(parseAdapterKey(order.order.adapterKey).adapter, finish)) finish(false)
}

/** Creates the driver of all engines. */
export function createEngineDriver (fleet: Fleet, arrivals: ReadonlyMap<string, Arrival>): EngineDriver {
  const { time, recorder } = fleet
  const engines = new Map(fleet.engines.map(engine => [engine.id, engine]))
  const stalls = new Map<string, number>()
  const cancelled = new Set<string>()

  function getDelay (host: SimHost, engine: Engine): number {
    if (host.place.zone === engine.zone) return NEAR_MS
    return host.place.region === engine.region ? ZONE_MS : REGION_MS
  }

  function isReachable (host: SimHost, engine: Engine): boolean {
    if (host.place.zone === engine.zone) return true
    return !fleet.isCut(host.place.zone) && !fleet.isCut(engine.zone)
  }

  function fail (host: SimHost, start: AttemptStart, opts: { sent: boolean, refused?: 'notResident' }): void {
    const failure = { code: ErrorCode.ENDPOINT_FAILED, message: 'the engine failed', step: 'attempt', peer: start.endpoint }
    host.receive({ kind: 'attempt.failed', attemptId: start.attemptId, failure, ...opts })
  }

  function end (host: SimHost, engine: Engine, start: AttemptStart, arrival: Arrival, whole: boolean): void {
    if (host.place.region !== engine.region) recorder.addRegionBytes(arrival.promptBytes + arrival.tokens * BYTES_PER_TOKEN)
    time.after(getDelay(host, engine), () => {
      if (!whole) {
        fail(host, start, { sent: true })
        return
      }
      const { attemptId } = start
      const echo = { attemptId, adapter: arrival.adapter, version: VERSION }
      const events: AttemptEvent[] = [
        { kind: 'attempt.started', attemptId, echo, status: 200 },
        { kind: 'attempt.chunk', attemptId, echo, index: 0, data: 'x', tokens: arrival.tokens },
        { kind: 'attempt.ended', attemptId, echo, chunks: 1 }
      ]
      for (const event of events) host.receive(event)
    })
  }

  function runAt (host: SimHost, engine: Engine, start: AttemptStart, arrival: Arrival): void {
    if (cancelled.has(start.attemptId)) return
    const stallMs = computeStall({ arrivedAt: arrival.at, startedAt: time.getNow(), residentSince: engine.getResidentSince(arrival.adapter) })
    const started = engine.start(start.attemptId, arrival, whole => end(host, engine, start, arrival, whole))
    if (started) stalls.set(start.requestId, stallMs)
    else fail(host, start, { sent: true, refused: 'notResident' })
  }

  return {
    start: (host, start) => {
      const engine = engines.get(start.endpoint)
      const arrival = arrivals.get(start.requestId)
      if (engine === undefined || arrival === undefined) return
      if (!isReachable(host, engine)) {
        time.after(NEAR_MS, () => fail(host, start, { sent: false }))
        return
      }
      time.after(getDelay(host, engine), () => runAt(host, engine, start, arrival))
    },
    cancel: attemptId => {
      cancelled.add(attemptId)
      for (const engine of fleet.engines) engine.cancel(attemptId)
    },
    order: (host, order) => {
      const engine = engines.get(order.endpoint)
      if (engine === undefined || !isReachable(host, engine)) return
      const { orderId, endpoint } = order
      time.after(NEAR_MS, () => carryOut(fleet, engine, order, outcome => {
        time.after(NEAR_MS, () => host.receive({ kind: 'order.result', orderId, endpoint, outcome }))
      }))
    },
    poll: (host, endpoint) => {
      const engine = engines.get(endpoint)
      if (engine === undefined) return
      const isUp = engine.isUp()
      const report = isUp ? buildReport(engine) : undefined
      time.after(POLL_MS, () => host.receive(report === undefined ? { kind: 'endpoint.unreachable', endpoint } : { kind: 'endpoint.report', endpoint, report }))
    },
    getStall: requestId => stalls.get(requestId)
  }
}
