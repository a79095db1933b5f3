/**
 * Executes the outputs of simulated hosts on simulated engines, over a network with delays: attempts, orders and polls.
 * In a daemon the shell around the host core does this.
 */
import { ErrorCode } from '@catkinferry/core.errors'
import type { EndpointReport, OrderOutcome } from '@catkinferry/core.types'
import { parseAdapterKey } from '@catkinferry/core.types'
import type { AttemptEvent, AttemptStart, OrderSend } from '@catkinferry/host.events'
import type { Engine } from './engine.ts'
import { computeStall } from './fleet.ts'
import type { SimFleet } from './fleet.ts'
import type { SimHost } from './simHost.ts'
import { POOL, VERSION } from './simSettings.ts'
import type { Arrival } from './workload.ts'

const SAME_ZONE_DELAY_MS = 0.5
const SAME_REGION_DELAY_MS = 1
const CROSS_REGION_DELAY_MS = 5
const POLL_DELAY_MS = 2
/** Age of an engine's report when the engine answers a poll. */
const REPORT_AGE_MS = 200
const BYTES_PER_TOKEN = 5

export interface EngineDriver {
  readonly start: (host: SimHost, start: AttemptStart) => void
  readonly cancel: (attemptId: string) => void
  readonly order: (host: SimHost, order: OrderSend) => void
  readonly poll: (host: SimHost, endpoint: string) => void
  /** Stall in ms of a request that was started on an engine; undefined for any other. */
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
    ageMs: REPORT_AGE_MS
  }
}

function executeOrder (fleet: SimFleet, engine: Engine, order: OrderSend, onDone: (outcome: OrderOutcome) => void): void {
  const sentAt = fleet.time.getNow()
  const finish = (ok: boolean): void => onDone(ok ? { kind: 'done', tookMs: fleet.time.getNow() - sentAt } : { kind: 'failed', reason: 'refused by the engine' })
  if (order.order.kind === 'setRole') finish(true)
  else if (order.order.kind === 'evict') finish(engine.evict(parseAdapterKey(order.order.adapterKey).adapter))
  else if (!engine.load(parseAdapterKey(order.order.adapterKey).adapter, finish)) finish(false)
}

export function createEngineDriver (fleet: SimFleet, arrivals: ReadonlyMap<string, Arrival>): EngineDriver {
  const { time, recorder } = fleet
  const engines = new Map(fleet.engines.map(engine => [engine.id, engine]))
  const stalls = new Map<string, number>()
  const cancelled = new Set<string>()

  function getDelay (host: SimHost, engine: Engine): number {
    if (host.location.zone === engine.zone) return SAME_ZONE_DELAY_MS
    return host.location.region === engine.region ? SAME_REGION_DELAY_MS : CROSS_REGION_DELAY_MS
  }

  function isReachable (host: SimHost, engine: Engine): boolean {
    if (host.location.zone === engine.zone) return true
    return !fleet.isPartitioned(host.location.zone) && !fleet.isPartitioned(engine.zone)
  }

  function failAttempt (host: SimHost, start: AttemptStart, opts: { sent: boolean, refused?: 'notResident' }): void {
    const failure = { code: ErrorCode.ENDPOINT_FAILED, message: 'the engine failed', step: 'attempt', peer: start.endpoint }
    host.receive({ kind: 'attempt.failed', attemptId: start.attemptId, failure, ...opts })
  }

  function endAttempt (host: SimHost, engine: Engine, start: AttemptStart, arrival: Arrival, completed: boolean): void {
    if (host.location.region !== engine.region) recorder.addCrossRegionBytes(arrival.promptBytes + arrival.tokens * BYTES_PER_TOKEN)
    time.scheduleAfter(getDelay(host, engine), () => {
      if (!completed) {
        failAttempt(host, start, { sent: true })
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

  function startOnEngine (host: SimHost, engine: Engine, start: AttemptStart, arrival: Arrival): void {
    if (cancelled.has(start.attemptId)) return
    const stallMs = computeStall({ arrivedAt: arrival.at, startedAt: time.getNow(), residentSince: engine.getResidentSince(arrival.adapter) })
    const started = engine.start(start.attemptId, arrival, completed => endAttempt(host, engine, start, arrival, completed))
    if (started) stalls.set(start.requestId, stallMs)
    else failAttempt(host, start, { sent: true, refused: 'notResident' })
  }

  return {
    start: (host, start) => {
      const engine = engines.get(start.endpoint)
      const arrival = arrivals.get(start.requestId)
      if (engine === undefined || arrival === undefined) return
      if (!isReachable(host, engine)) {
        time.scheduleAfter(SAME_ZONE_DELAY_MS, () => failAttempt(host, start, { sent: false }))
        return
      }
      time.scheduleAfter(getDelay(host, engine), () => startOnEngine(host, engine, start, arrival))
    },
    cancel: attemptId => {
      cancelled.add(attemptId)
      for (const engine of fleet.engines) engine.cancel(attemptId)
    },
    order: (host, order) => {
      const engine = engines.get(order.endpoint)
      if (engine === undefined || !isReachable(host, engine)) return
      const { orderId, endpoint } = order
      time.scheduleAfter(SAME_ZONE_DELAY_MS, () => executeOrder(fleet, engine, order, outcome => {
        time.scheduleAfter(SAME_ZONE_DELAY_MS, () => host.receive({ kind: 'order.result', orderId, endpoint, outcome }))
      }))
    },
    poll: (host, endpoint) => {
      const engine = engines.get(endpoint)
      if (engine === undefined) return
      const isUp = engine.isUp()
      const report = isUp ? buildReport(engine) : undefined
      time.scheduleAfter(POLL_DELAY_MS, () => host.receive(report === undefined ? { kind: 'endpoint.unreachable', endpoint } : { kind: 'endpoint.report', endpoint, report }))
    },
    getStall: requestId => stalls.get(requestId)
  }
}
