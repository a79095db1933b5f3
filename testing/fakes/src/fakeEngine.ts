/** Fake model engine over HTTP: OpenAI-style completions, LoRA slots, load and evict orders, and a report that lags behind. */
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { buildFakeAnswer, buildFakeWord, findFakePrompt } from './fakeAnswers.ts'
import type { FakeForm } from './fakeAnswers.ts'
import { createFakeBatch } from './fakeBatch.ts'
import type { FakeBatch } from './fakeBatch.ts'
import { createFakeFaults } from './fakeFaults.ts'
import type { FakeFaults } from './fakeFaults.ts'
import { checkFakeFencing, FAKE_ORDER_HANDLERS } from './fakeOrders.ts'
import type { FakeOrderOptions, FakeSlots } from './fakeOrders.ts'
import { createFakeStore } from './fakeStore.ts'
import type { FakeStore } from './fakeStore.ts'
import { sendFakeStream } from './fakeStreams.ts'
import { openFakeServer, readBody, sendJson } from './httpServer.ts'

export interface FakeEngineOptions {
  readonly port?: number
  readonly pool?: string
  readonly slots?: number
  readonly batchLimit?: number
  /** Time between tokens; 0 sends one token per turn of the event loop. */
  readonly tokenMs?: number
  readonly checksFencing?: boolean
  /** Minimum age of the reported load. */
  readonly reportLagMs?: number
  readonly resident?: readonly string[]
  readonly store?: FakeStore
  readonly faults?: Partial<FakeFaults>
}

/** A request that the engine has started to run. */
export interface FakeRun {
  readonly attemptId: string
  readonly adapterKey: string
  ended: 'running' | 'whole' | 'cut'
  /** True if the adapter was evicted while the request was running, which the code under test must prevent. */
  evictedWhileRunning: boolean
}

export interface FakeOrderRecord {
  readonly path: string
  readonly adapterKey: string
  readonly fencing: number
  readonly status: number
}

export interface FakeEngine {
  readonly url: string
  readonly faults: FakeFaults
  readonly runs: readonly FakeRun[]
  readonly orders: readonly FakeOrderRecord[]
  readonly listResident: () => string[]
  /** Simulates a restart: new instance id, no resident adapters, all connections closed. */
  readonly restart: () => void
  readonly close: () => Promise<void>
}

const DEFAULT_SLOTS = 4
const DEFAULT_BATCH_LIMIT = 8
const DEFAULT_TOKENS = 16
const DEFAULT_FETCH_MS = 20
const DEFAULT_FULL_SPEED = 2

interface EngineState {
  readonly opts: FakeEngineOptions
  readonly slots: FakeSlots
  readonly batch: FakeBatch
  readonly faults: FakeFaults
  readonly runs: FakeRun[]
  readonly orders: FakeOrderRecord[]
  readonly orderOptions: FakeOrderOptions
  readonly reports: { readonly at: number, readonly body: Record<string, unknown> }[]
  instance: number
}

function createState (opts: FakeEngineOptions): EngineState {
  const slots: FakeSlots = { resident: new Set(opts.resident), loading: new Set(), running: new Map(), pool: opts.pool ?? 'base', highestFencing: 0 }
  const faults = Object.assign(createFakeFaults(), opts.faults)
  const store = opts.store ?? createFakeStore({ fetchMs: DEFAULT_FETCH_MS, fullSpeedInFlight: DEFAULT_FULL_SPEED })
  const state: EngineState = {
    opts,
    slots,
    batch: createFakeBatch(opts.batchLimit ?? DEFAULT_BATCH_LIMIT),
    faults,
    runs: [],
    orders: [],
    reports: [],
    instance: 1,
    orderOptions: { slots, slotCount: opts.slots ?? DEFAULT_SLOTS, checksFencing: opts.checksFencing ?? true, store, faults, getInstance: () => state.instance }
  }
  return state
}

function buildReport (state: EngineState): Record<string, unknown> {
  const { slots, batch, opts } = state
  return {
    instance_id: `engine-${state.instance}`,
    resident: [...slots.resident],
    loading: [...slots.loading],
    running: Object.fromEntries(slots.running),
    running_count: batch.getRunning(),
    queued_count: batch.getQueued(),
    batch_limit: opts.batchLimit ?? DEFAULT_BATCH_LIMIT,
    slots: opts.slots ?? DEFAULT_SLOTS,
    pool: slots.pool,
    checks_fencing: opts.checksFencing ?? true,
    highest_fencing: slots.highestFencing
  }
}

/** Sends the newest report that is at least `reportLagMs` old, or the oldest one if all are newer. */
function sendReport (state: EngineState, res: ServerResponse): void {
  const now = performance.now()
  const lag = state.opts.reportLagMs ?? 0
  state.reports.push({ at: now, body: buildReport(state) })
  while (state.reports.length > 1 && (state.reports[1]?.at ?? Infinity) <= now - lag) state.reports.shift()
  const shown = state.reports[0]
  sendJson(res, 200, { ...shown?.body, age_ms: now - (shown?.at ?? now) })
}

function updateRunningCount (slots: FakeSlots, adapterKey: string, change: number): void {
  const count = (slots.running.get(adapterKey) ?? 0) + change
  if (count <= 0) slots.running.delete(adapterKey)
  else slots.running.set(adapterKey, count)
}

async function sendAnswer (state: EngineState, res: ServerResponse, form: FakeForm, attemptId: string, body: Record<string, unknown>, resumeFrom: number): Promise<boolean> {
  const { faults } = state
  const model = String(body.model)
  const shown = faults.wrongVersion === undefined ? model : `${model.split('@')[0] ?? ''}@${faults.wrongVersion}`
  const answer = { form, attemptId: faults.crossedAttemptId ?? attemptId, model: shown }
  const tokens = typeof body.max_tokens === 'number' ? body.max_tokens : DEFAULT_TOKENS
  const prompt = findFakePrompt(body)
  const tokenMs = state.opts.tokenMs ?? 0
  if (faults.lateMs > 0) await sleep(faults.lateMs)
  if (body.stream === true) return await sendFakeStream({ res, answer, prompt, tokens, resumeFrom, tokenMs, faults })
  await sleep(tokenMs * tokens * faults.slowFactor)
  if (faults.silentAfterChunks !== undefined) await once(res, 'close')
  if (faults.cutAfterChunks !== undefined) res.destroy()
  if (res.destroyed) return false
  const text = Array.from({ length: tokens }, (_, index) => buildFakeWord(prompt, index)).join('')
  sendJson(res, 200, buildFakeAnswer(answer, text, tokens))
  return true
}

async function handleCompletion (state: EngineState, form: FakeForm, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const body = JSON.parse(await readBody(req)) as Record<string, unknown>
  const attemptId = String(req.headers['x-catkinferry-attempt'])
  const adapterKey = String(body.model)
  if (state.faults.refuseStatus !== undefined) return sendJson(res, state.faults.refuseStatus, { error: { code: 'busy' } })
  if (!state.slots.resident.has(adapterKey)) return sendJson(res, 404, { error: { code: 'not_resident', message: adapterKey } })
  const leave = await state.batch.enter(Number(body.priority ?? 1), () => res.destroyed)
  if (leave === undefined) return
  const run: FakeRun = { attemptId, adapterKey, ended: 'running', evictedWhileRunning: false }
  state.runs.push(run)
  updateRunningCount(state.slots, adapterKey, 1)
  const whole = await sendAnswer(state, res, form, attemptId, body, Number(req.headers['x-catkinferry-resume-from'] ?? 0)).catch(() => false)
  run.ended = whole ? 'whole' : 'cut'
  updateRunningCount(state.slots, adapterKey, -1)
  leave()
}

function recordEviction (state: EngineState, adapterKey: string): void {
  for (const run of state.runs) {
    if (run.ended === 'running' && run.adapterKey === adapterKey) run.evictedWhileRunning = true
  }
}

async function handleOrder (state: EngineState, path: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const body = JSON.parse(await readBody(req)) as Record<string, unknown>
  const fencing = Number(req.headers['x-catkinferry-fencing'] ?? 0)
  const adapterKey = String(body.lora_name ?? '')
  const answer = checkFakeFencing(state.orderOptions, fencing) ?? await FAKE_ORDER_HANDLERS[path]?.(state.orderOptions, body)
  if (answer === undefined) return sendJson(res, 404, {})
  if (path === '/v1/unload_lora_adapter' && answer.status === 200) recordEviction(state, adapterKey)
  state.orders.push({ path, adapterKey, fencing, status: answer.status })
  if (state.faults.loseOrderAnswers) res.destroy()
  else sendJson(res, answer.status, answer.body)
}

async function handleRequest (state: EngineState, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const path = req.url ?? ''
  if (path === '/v1/report') return sendReport(state, res)
  if (path === '/v1/completions') return await handleCompletion(state, 'completions', req, res)
  if (path === '/v1/chat/completions') return await handleCompletion(state, 'chat', req, res)
  await handleOrder(state, path, req, res)
}

/** Starts a fake engine on loopback. */
export async function startFakeEngine (opts: FakeEngineOptions = {}): Promise<FakeEngine> {
  const state = createState(opts)
  const server = await openFakeServer(opts.port ?? 0, async (req, res) => { await handleRequest(state, req, res) })
  return {
    url: server.url,
    faults: state.faults,
    runs: state.runs,
    orders: state.orders,
    listResident: () => [...state.slots.resident],
    restart: () => {
      state.instance += 1
      state.slots.resident.clear()
      state.slots.loading.clear()
      state.slots.highestFencing = 0
      state.reports.length = 0
      server.cutAll()
    },
    close: server.close
  }
}
