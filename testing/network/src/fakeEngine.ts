/** Simulated model engine on virtual time: adapter slots, loads, batching, fencing, and switches for its faults. */
import { buildExpectedAnswer, ANSWER_PARTS } from '@catkinferry/testing.oracle'
import type { Observation } from '@catkinferry/testing.oracle'
import type { EndpointReport, Order, OrderOutcome } from '@catkinferry/core.types'
import type { Scheduler } from './scheduler.ts'

/** Answers that an engine sends while it processes one request. */
export type EngineAnswer =
  | { readonly kind: 'refused', readonly reason: 'busy' | 'notResident' }
  | { readonly kind: 'started', readonly adapter: string, readonly version: string, readonly attemptId: string }
  | { readonly kind: 'part', readonly adapter: string, readonly version: string, readonly attemptId: string, readonly index: number, readonly data: string }
  | { readonly kind: 'ended', readonly adapter: string, readonly version: string, readonly attemptId: string }
  | { readonly kind: 'broken' }

export interface EngineWork {
  readonly attemptId: string
  readonly adapter: string
  readonly version: string
  readonly token: string
  readonly content: string
  readonly resumeFrom: number
  readonly answer: (answer: EngineAnswer) => void
}

/** Fault switches, initially all off. */
export interface EngineFaults {
  loadsFail: boolean
  silent: boolean
  /** Answers have the attempt id and the content of another request. */
  crossedEcho: boolean
  /** Connections close while the work runs, before any answer. */
  breaks: boolean
}

export interface FakeEngine {
  readonly submit: (work: EngineWork) => void
  readonly cancel: (attemptId: string) => void
  readonly order: (order: Order, fencing: number, answer: (outcome: OrderOutcome) => void) => void
  readonly report: () => EndpointReport
  readonly restart: () => void
  readonly faults: EngineFaults
  readonly listResident: () => string[]
}

export interface FakeEngineOptions {
  readonly endpoint: string
  readonly pool: string
  readonly slots: number
  readonly batchLimit: number
  readonly loadMs: number
  readonly partMs: number
  readonly reportLagMs: number
  readonly checksFencing: boolean
  readonly scheduler: Scheduler
  readonly observe: (observation: Observation) => void
}

interface Run {
  readonly run: string
  readonly work: EngineWork
  readonly adapterKey: string
  part: number
}

interface EngineState extends FakeEngineOptions {
  readonly resident: Set<string>
  readonly loading: Map<string, Array<(outcome: OrderOutcome) => void>>
  readonly runs: Map<string, Run>
  readonly faults: EngineFaults
  instance: number
  runCount: number
  highestFencing: number
}

function buildReport (engine: EngineState): EndpointReport {
  const running: Record<string, number> = {}
  for (const run of engine.runs.values()) running[run.adapterKey] = (running[run.adapterKey] ?? 0) + 1
  return {
    instanceId: `${engine.endpoint}#${engine.instance}`,
    resident: [...engine.resident],
    loading: [...engine.loading.keys()],
    running,
    runningCount: engine.runs.size,
    queuedCount: 0,
    batchLimit: engine.batchLimit,
    slots: engine.slots,
    pool: engine.pool,
    checksFencing: engine.checksFencing,
    highestFencing: engine.highestFencing,
    ageMs: engine.reportLagMs
  }
}

function finishRun (engine: EngineState, run: Run, how: 'complete' | 'cancelled' | 'crashed'): void {
  if (engine.runs.get(run.work.attemptId) !== run) return
  engine.runs.delete(run.work.attemptId)
  engine.observe({ kind: 'runEnded', at: engine.scheduler.getNow(), run: run.run, how })
}

function answerPart (engine: EngineState, run: Run): void {
  const { adapter, version } = run.work
  const { crossedEcho } = engine.faults
  const attemptId = crossedEcho ? `${run.work.attemptId}-other` : run.work.attemptId
  const content = crossedEcho ? `${run.work.content}-other` : run.work.content
  if (run.part === ANSWER_PARTS) {
    run.work.answer({ kind: 'ended', adapter, version, attemptId })
    finishRun(engine, run, 'complete')
    return
  }
  const data = buildExpectedAnswer(content, adapter, version, ANSWER_PARTS)[run.part] ?? ''
  run.work.answer({ kind: 'part', adapter, version, attemptId, index: run.part, data })
  run.part++
}

function advanceRun (engine: EngineState, run: Run): void {
  if (engine.runs.get(run.work.attemptId) !== run) return
  if (!engine.faults.silent) answerPart(engine, run)
  engine.scheduler.add(engine.partMs, () => advanceRun(engine, run))
}

function breakRun (engine: EngineState, run: Run): void {
  finishRun(engine, run, 'crashed')
  run.work.answer({ kind: 'broken' })
}

function submitWork (engine: EngineState, work: EngineWork): void {
  const adapterKey = `${work.adapter}@${work.version}`
  if (!engine.resident.has(adapterKey)) {
    work.answer({ kind: 'refused', reason: 'notResident' })
    return
  }
  if (engine.runs.size >= engine.batchLimit) {
    work.answer({ kind: 'refused', reason: 'busy' })
    return
  }
  const run: Run = { run: `${engine.endpoint}/${engine.runCount++}`, work, adapterKey, part: work.resumeFrom }
  engine.runs.set(work.attemptId, run)
  const { adapter, version, token, content } = work
  engine.observe({ kind: 'runStarted', at: engine.scheduler.getNow(), run: run.run, endpoint: engine.endpoint, token, content, adapter, version })
  if (engine.faults.breaks) {
    engine.scheduler.add(engine.partMs, () => breakRun(engine, run))
    return
  }
  work.answer({ kind: 'started', adapter, version, attemptId: work.attemptId })
  engine.scheduler.add(engine.partMs, () => advanceRun(engine, run))
}

function finishLoad (engine: EngineState, adapterKey: string, startInstance: number): void {
  if (startInstance !== engine.instance) return
  const waiting = engine.loading.get(adapterKey) ?? []
  engine.loading.delete(adapterKey)
  const failed = engine.faults.loadsFail
  if (!failed) engine.resident.add(adapterKey)
  for (const answer of waiting) answer(failed ? { kind: 'failed', reason: 'load failed' } : { kind: 'done', tookMs: engine.loadMs })
}

type OrderAnswer = (outcome: OrderOutcome) => void

function loadAdapter (engine: EngineState, adapterKey: string, answer: OrderAnswer): void {
  if (engine.resident.has(adapterKey)) {
    answer({ kind: 'done', tookMs: 0 })
    return
  }
  const waiting = engine.loading.get(adapterKey)
  if (waiting !== undefined) {
    waiting.push(answer)
    return
  }
  if (engine.resident.size + engine.loading.size >= engine.slots) {
    answer({ kind: 'failed', reason: 'no free slot' })
    return
  }
  engine.loading.set(adapterKey, [answer])
  const startInstance = engine.instance
  engine.scheduler.add(engine.loadMs, () => finishLoad(engine, adapterKey, startInstance))
}

function evictAdapter (engine: EngineState, adapterKey: string, answer: OrderAnswer): void {
  if (engine.resident.delete(adapterKey)) {
    engine.observe({ kind: 'evicted', at: engine.scheduler.getNow(), endpoint: engine.endpoint, adapterKey })
  }
  answer({ kind: 'done', tookMs: 0 })
}

const orderHandlers: { readonly [Kind in Order['kind']]: (engine: EngineState, order: Extract<Order, { kind: Kind }>, answer: OrderAnswer) => void } = {
  load: (engine, order, answer) => { loadAdapter(engine, order.adapterKey, answer) },
  evict: (engine, order, answer) => { evictAdapter(engine, order.adapterKey, answer) },
  setRole: (_engine, _order, answer) => { answer({ kind: 'done', tookMs: 0 }) }
}

function executeOrder (engine: EngineState, order: Order, fencing: number, answer: OrderAnswer): void {
  if (engine.checksFencing && fencing < engine.highestFencing) {
    answer({ kind: 'refusedFencing', highestFencing: engine.highestFencing })
    return
  }
  engine.highestFencing = Math.max(engine.highestFencing, fencing)
  orderHandlers[order.kind](engine, order as never, answer)
}

function restartEngine (engine: EngineState): void {
  for (const run of [...engine.runs.values()]) {
    finishRun(engine, run, 'crashed')
    run.work.answer({ kind: 'broken' })
  }
  engine.instance++
  engine.resident.clear()
  engine.loading.clear()
  engine.highestFencing = 0
}

/** Creates an engine without adapters. A report shows the state at an earlier report, at least `reportLagMs` ago; initially the empty engine. */
export function createFakeEngine (opts: FakeEngineOptions): FakeEngine {
  const engine: EngineState = {
    ...opts,
    resident: new Set(),
    loading: new Map(),
    runs: new Map(),
    faults: { loadsFail: false, silent: false, crossedEcho: false, breaks: false },
    instance: 0,
    runCount: 0,
    highestFencing: 0
  }
  let laggedReport = buildReport(engine)
  return {
    submit: work => submitWork(engine, work),
    cancel: attemptId => {
      const run = engine.runs.get(attemptId)
      if (run !== undefined) finishRun(engine, run, 'cancelled')
    },
    order: (order, fencing, answer) => executeOrder(engine, order, fencing, answer),
    report: () => {
      const currentReport = buildReport(engine)
      opts.scheduler.add(opts.reportLagMs, () => { laggedReport = currentReport })
      return laggedReport
    },
    restart: () => restartEngine(engine),
    faults: engine.faults,
    listResident: () => [...engine.resident]
  }
}
