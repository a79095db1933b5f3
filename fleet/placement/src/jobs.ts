/**
 * Jobs of the leader: orders to an engine that are sent again until it confirms the ordered state, or until they are
 * abandoned. Begun for requests, evictions and base models; processed on each run of the leader's loop.
 */
import type { LoadStanding } from '@catkinferry/adapters.load-scheduler'
import type { EndpointId, EngineOrderOutcome, ModelId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { EngineChoice } from './chooseEngine.ts'
import { ADAPTER_LOAD_TIMEOUT_MS, CACHED_LOAD_POLL_MS, MAX_LIST_LAG_MS, MAX_ORDER_DELAY_MS, MODEL_LOAD_RESEND_MS, ORDER_RESEND_MS } from './constants.ts'
import { countRunning, createSlot, findListedVersion, formatSlotKey, getOutcomeUnknownUntil, releaseSlot, recordCached, SlotState } from './engineState.ts'
import type { EngineState, Slot } from './engineState.ts'
import { computePollPauseMs } from './loadPolls.ts'
import { reportInfo } from './placementState.ts'
import type { Job, PlacementState, PlacementRequest, SentOrder } from './placementState.ts'

/** An engine that refused an order or was addressed wrongly gets no orders for this long. */
const REFUSAL_PAUSE_MS = 1_000
/** A base model load that takes longer than this is abandoned. */
const MODEL_LOAD_TIMEOUT_MS = 15_000
/** An engine that refuses an order as busy is not chosen for new loads for `BUSY_PAUSE_MS`; the order is sent again after `BUSY_RESEND_MS`. */
const BUSY_PAUSE_MS = 250
const BUSY_RESEND_MS = 50
/** Longest pause before an order that is not answered is sent again; the pause doubles up to it. */
const MAX_UNANSWERED_RESEND_MS = 250
/** How often a postponed eviction looks whether its requests have ended. */
const IN_USE_POLL_MS = 25
/** After this long on a busy engine a job is cancelled, so that another engine can be chosen. */
const BUSY_TIMEOUT_MS = 150
/** The endpoint list shows how a load ended that was accepted so long ago. */
const ACCEPTED_LOAD_LAG_MS = ADAPTER_LOAD_TIMEOUT_MS + MAX_LIST_LAG_MS
/** An unreachable engine gets no orders for this long. */
const UNREACHABLE_PAUSE_MS = 400

function formatJobKey (endpoint: EndpointId, subject: string): string {
  return `${endpoint}|${subject}`
}

function addJob (state: PlacementState, job: Omit<Job, 'nextAt' | 'sentAt' | 'stepStartedAt' | 'accepted' | 'unanswered' | 'isAwaitingOutcome'>): void {
  state.mirror.mark(job.endpoint)
  state.jobs.set(job.key, { ...job, nextAt: job.startedAt, sentAt: job.startedAt, stepStartedAt: job.startedAt, accepted: false, unanswered: 0, isAwaitingOutcome: false })
}

/** Begins to load an adapter, after the eviction of the victim if there is one. */
export function beginLoad (state: PlacementState, request: PlacementRequest, choice: EngineChoice & { readonly standing: LoadStanding, readonly starvedSince: MonotonicMs | undefined }, context: RunContext): void {
  const { engine, victim, isCached, standing, starvedSince } = choice
  const { model, adapter, version } = request
  const { endpoint } = engine.listed
  const steps: Job['steps'] = [{ kind: 'load', model, adapter, version }]
  if (victim !== undefined) {
    steps.unshift({ kind: 'evict', model: victim.model, adapter: victim.adapter })
    victim.state = SlotState.EVICTING
    victim.changedAt = context.now
    state.publisher.enqueueResidency(endpoint, victim, false)
  }
  const slotKey = formatSlotKey(model, adapter)
  const previous = engine.slots.get(slotKey)
  if (previous !== undefined) state.publisher.enqueueResidency(endpoint, previous, false)
  const slot = createSlot({ model, adapter, version, state: SlotState.LOADING, now: context.now })
  // Orders for the previous version without an answer may still be executed.
  if (previous !== undefined) {
    slot.outcomeUnknownUntil = previous.outcomeUnknownUntil
    for (const [orderId, until] of previous.unansweredOrders) slot.unansweredOrders.set(orderId, until)
  }
  engine.slots.set(slotKey, slot)
  addJob(state, { key: formatJobKey(endpoint, slotKey), endpoint, steps, isCached, startedAt: context.now })
  reportInfo(context, 'adapter load started', { peer: endpoint, adapter: slotKey, version, pool: request.pool, waiting: request.waiters.length, onTime: standing.onTime, slackMs: Number.isFinite(standing.slackMs) ? Math.round(standing.slackMs) : undefined, evicts: victim === undefined ? undefined : formatSlotKey(victim.model, victim.adapter), held: isCached, refusedForMs: starvedSince === undefined ? undefined : Math.round(context.now - starvedSince), term: state.term })
}

/** Begins an eviction that no load waits for. */
export function beginEvict (state: PlacementState, engine: EngineState, slot: Slot, why: string, context: RunContext): void {
  const { endpoint } = engine.listed
  const slotKey = formatSlotKey(slot.model, slot.adapter)
  slot.state = SlotState.EVICTING
  slot.changedAt = context.now
  state.publisher.enqueueResidency(endpoint, slot, false)
  addJob(state, { key: formatJobKey(endpoint, slotKey), endpoint, steps: [{ kind: 'evict', model: slot.model, adapter: slot.adapter }], isCached: true, startedAt: context.now })
  reportInfo(context, 'adapter eviction started', { why, peer: endpoint, adapter: slotKey, version: slot.version, term: state.term })
}

/** Begins to load a base model. */
export function beginModelLoad (state: PlacementState, engine: EngineState, model: ModelId, context: RunContext): void {
  const { endpoint } = engine.listed
  engine.modelLoad = { model, since: context.now }
  addJob(state, { key: formatJobKey(endpoint, model), endpoint, steps: [{ kind: 'load', model }], isCached: false, startedAt: context.now })
  reportInfo(context, 'base model load started', { peer: endpoint, model, term: state.term })
}

function getTimeoutMs ({ steps }: Job): number {
  return steps.at(-1)?.adapter === undefined ? MODEL_LOAD_TIMEOUT_MS : ADAPTER_LOAD_TIMEOUT_MS
}

/** Sends the orders that are due, and abandons jobs that have timed out. */
export function runJobs (state: PlacementState, context: RunContext): void {
  for (const job of [...state.jobs.values()]) {
    if (job.isAwaitingOutcome || context.now < job.nextAt) continue
    const engine = state.engines.get(job.endpoint)
    const [order] = job.steps
    if (engine === undefined || order === undefined) state.jobs.delete(job.key)
    else if (isInUse(engine, order, context.now)) postponeEvict(state, job, engine, context)
    else if (context.now - job.startedAt > getTimeoutMs(job)) failJob(state, job, 'not completed in time', context)
    else sendJob(state, job, engine, order, context.now)
  }
}

/** Whether an eviction would wait at the engine for requests, while the engine refuses loads as busy. */
function isInUse ({ slots }: EngineState, { kind, model, adapter }: Job['steps'][number], now: MonotonicMs): boolean {
  const slot = adapter === undefined || kind !== 'evict' ? undefined : slots.get(formatSlotKey(model, adapter))
  return slot !== undefined && countRunning(slot, now) > 0
}

/** Waits for the requests on an adapter that is no longer published. An eviction that has waited too long begins anew if it is still due. */
function postponeEvict (state: PlacementState, job: Job, engine: EngineState, context: RunContext): void {
  if (context.now - job.startedAt <= getTimeoutMs(job)) scheduleResend(job, IN_USE_POLL_MS, context.now)
  else failJob(state, job, 'its requests have not ended in time', context)
}

function sendJob (state: PlacementState, job: Job, engine: EngineState, order: Job['steps'][number], now: MonotonicMs): void {
  const { listed: { endpoint, address } } = engine
  const orderId = ++state.lastOrderId
  job.isAwaitingOutcome = true
  job.lastOrderId = orderId
  job.sentAt = now
  const { term } = state
  const isAllowed = (at: MonotonicMs): boolean => state.term === term && state.opts.hasRecentQuorum(at)
  state.opts.sendOrder({ endpoint, address, order, fencing: term ?? 0, isAllowed, onOutcome: outcome => { state.outcomes.push({ orderId, job, order, outcome }) } })
}

/** Processes the outcomes of orders. The response to an order that was sent again is of use for what it says about that order only. */
export function processOutcomes (state: PlacementState, context: RunContext): void {
  for (const sent of state.outcomes.splice(0)) {
    const { job, outcome } = sent
    settleOrder(state, sent, context)
    if (state.jobs.get(job.key) !== job || job.steps[0] !== sent.order) continue
    if (job.lastOrderId !== sent.orderId) {
      // What the engine has begun goes on, whatever becomes of the order that was sent after it.
      if (CONFIRMING_OUTCOMES.has(outcome)) job.accepted = true
      continue
    }
    job.isAwaitingOutcome = false
    const engine = state.engines.get(job.endpoint)
    if (engine !== undefined && state.opts.enginesCheckFencing && CONFIRMING_OUTCOMES.has(outcome)) engine.fencedAt ??= context.now
    if (outcome !== 'accepted') state.mirror.mark(job.endpoint)
    if (engine === undefined) state.jobs.delete(job.key)
    else outcomeHandlers[outcome](state, job, engine, context)
  }
}

/** An order that the engine has answered is not executed later, so its slot no longer waits for that. */
function settleOrder (state: PlacementState, { orderId, job: { endpoint }, order, outcome }: SentOrder, { now }: RunContext): void {
  const slot = order.adapter === undefined ? undefined : state.engines.get(endpoint)?.slots.get(formatSlotKey(order.model, order.adapter))
  if (slot === undefined || outcome === 'unanswered' || !slot.unansweredOrders.delete(orderId)) return
  state.mirror.mark(endpoint)
  // The load of an abandoned job may be in progress; the endpoint list shows how it ends.
  if (slot.state === SlotState.EVICTING) slot.outcomeUnknownUntil = Math.max(slot.outcomeUnknownUntil, now + (outcome === 'accepted' ? ACCEPTED_LOAD_LAG_MS : MAX_LIST_LAG_MS))
}

/** Outcomes by which an engine shows that it has taken note of the fencing token. */
const CONFIRMING_OUTCOMES: ReadonlySet<EngineOrderOutcome> = new Set(['holds', 'accepted'])

type OutcomeHandler = (state: PlacementState, job: Job, engine: EngineState, context: RunContext) => void

/** Cancels a job and restores its slots. The engine refused each order as busy, so none of them can still be executed. */
function cancelBusyJob (state: PlacementState, job: Job, engine: EngineState, context: RunContext): void {
  const { endpoint } = engine.listed
  state.jobs.delete(job.key)
  for (const { kind, model, adapter } of job.steps) {
    const slot = adapter === undefined ? undefined : engine.slots.get(formatSlotKey(model, adapter))
    if (slot === undefined || adapter === undefined) continue
    if (kind === 'evict') {
      slot.state = SlotState.RESIDENT
      state.publisher.enqueueResidency(endpoint, slot, true)
    } else if (context.now >= getOutcomeUnknownUntil(slot)) {
      engine.slots.delete(formatSlotKey(model, adapter))
    } else {
      slot.state = SlotState.EVICTING
    }
  }
  reportInfo(context, 'engine job cancelled: engine is busy', { peer: endpoint, orders: job.steps, afterMs: Math.round(context.now - job.startedAt), term: state.term })
}

function getResendMs (job: Job): number {
  const [order] = job.steps
  return order?.adapter === undefined ? MODEL_LOAD_RESEND_MS : ORDER_RESEND_MS
}

function scheduleResend (job: Job, pauseMs: number, now: MonotonicMs): void {
  job.nextAt = now + pauseMs
}

const outcomeHandlers: { readonly [Kind in EngineOrderOutcome]: OutcomeHandler } = {
  holds: finishStep,
  accepted: (state, job, { listed: { pool }, slots }, { now }) => {
    const [order] = job.steps
    const isFirst = !job.accepted
    job.accepted = true
    job.unanswered = 0
    const slot = order?.adapter === undefined ? undefined : slots.get(formatSlotKey(order.model, order.adapter))
    if (slot !== undefined) slot.isUnanswered = false
    const isAdapterLoad = order?.kind === 'load' && order.adapter !== undefined
    if (isFirst && isAdapterLoad) {
      job.acceptedAt = job.sentAt
      job.nextAt = Math.max(now, job.sentAt + (job.isCached ? CACHED_LOAD_POLL_MS : state.loadPolls.getFirstPollMs(pool)))
    } else scheduleResend(job, isAdapterLoad ? computePollPauseMs(now - (job.acceptedAt ?? now)) : getResendMs(job), now)
  },
  busy: (state, job, engine, context) => {
    const { now } = context
    engine.ordersPausedUntil = Math.max(engine.ordersPausedUntil, now + BUSY_PAUSE_MS)
    const shouldCancel = !job.accepted && job.steps[0]?.adapter !== undefined && now - job.stepStartedAt > BUSY_TIMEOUT_MS
    if (shouldCancel) cancelBusyJob(state, job, engine, context)
    else scheduleResend(job, BUSY_RESEND_MS, now)
  },
  fenced: (state, job, engine, context) => {
    // The engine refuses this term for good: a later leader has used a higher one.
    engine.ordersPausedUntil = Infinity
    failJob(state, job, 'the engine has seen a higher fencing token', context)
  },
  misdirected: (state, job, engine, context) => {
    engine.ordersPausedUntil = context.now + REFUSAL_PAUSE_MS
    failJob(state, job, 'another endpoint has this address, or the engine lacks the base model', context)
  },
  refused: (state, job, engine, context) => {
    engine.ordersPausedUntil = context.now + REFUSAL_PAUSE_MS
    failJob(state, job, 'the engine refused the order', context)
  },
  unanswered: (_state, job, engine, { now }) => {
    const [order] = job.steps
    const slot = order?.adapter === undefined ? undefined : engine.slots.get(formatSlotKey(order.model, order.adapter))
    if (slot !== undefined && order?.kind === 'load' && job.lastOrderId !== undefined) {
      slot.unansweredOrders.set(job.lastOrderId, now + MAX_ORDER_DELAY_MS)
      slot.isUnanswered = true
    }
    scheduleResend(job, Math.min(getResendMs(job) * 2 ** job.unanswered, MAX_UNANSWERED_RESEND_MS), now)
    job.unanswered += 1
  },
  postponed: (_state, job, _engine, { now }) => scheduleResend(job, getResendMs(job), now),
  notSent: (state, job, engine, context) => {
    engine.ordersPausedUntil = context.now + UNREACHABLE_PAUSE_MS
    failJob(state, job, 'the engine is unreachable', context)
  }
}

function finishStep (state: PlacementState, job: Job, engine: EngineState, context: RunContext): void {
  const order = job.steps.shift()
  if (order === undefined) return
  if (order.adapter === undefined) finishModelLoad(state, engine, order.model)
  else if (order.kind === 'evict') finishEvict(engine, formatSlotKey(order.model, order.adapter), context.now)
  else {
    finishAdapterLoad(state, engine, formatSlotKey(order.model, order.adapter), context)
    if (!job.isCached && job.acceptedAt !== undefined) state.loadPolls.recordLoad(engine.listed.pool, context.now - job.acceptedAt)
  }
  job.accepted = false
  job.unanswered = 0
  job.stepStartedAt = context.now
  job.nextAt = context.now
  if (job.steps.length === 0) {
    state.jobs.delete(job.key)
    reportInfo(context, 'engine job completed', { peer: job.endpoint, order: order.kind, adapter: order.adapter ?? order.model, version: order.version, tookMs: Math.round(context.now - job.startedAt), term: state.term })
  }
}

function finishModelLoad (state: PlacementState, engine: EngineState, model: ModelId): void {
  engine.models.add(model)
  engine.modelLoad = undefined
  state.publisher.enqueueEndpoint(engine.listed.endpoint)
}

function finishEvict (engine: EngineState, slotKey: string, now: MonotonicMs): void {
  const slot = engine.slots.get(slotKey)
  if (slot === undefined) return
  recordCached(engine, slot)
  releaseSlot(engine, slotKey, now)
}

function finishAdapterLoad (state: PlacementState, engine: EngineState, slotKey: string, context: RunContext): void {
  const slot = engine.slots.get(slotKey)
  if (slot === undefined) return
  slot.state = SlotState.RESIDENT
  slot.changedAt = context.now
  slot.usedAt = context.now
  state.loadCounts.recordLoaded(state.starved.recordLoad(slotKey))
  recordCached(engine, slot)
  state.publisher.enqueueResidency(engine.listed.endpoint, slot, true)
}

function failJob (state: PlacementState, job: Job, reason: string, context: RunContext): void {
  state.jobs.delete(job.key)
  state.mirror.mark(job.endpoint)
  const engine = state.engines.get(job.endpoint)
  for (const [index, { kind, adapter, model }] of job.steps.entries()) {
    if (adapter === undefined) {
      if (engine !== undefined) engine.modelLoad = undefined
      continue
    }
    if (kind === 'load') state.starved.recordFailure(formatSlotKey(model, adapter), context.now)
    const slot = engine?.slots.get(formatSlotKey(model, adapter))
    if (slot === undefined) continue
    // The slot stays taken until the endpoint list shows the outcome of the order.
    slot.state = SlotState.EVICTING
    slot.changedAt = context.now
    const isLoadAccepted = index === 0 && kind === 'load' && job.accepted
    slot.outcomeUnknownUntil = Math.max(slot.outcomeUnknownUntil, context.now + (isLoadAccepted ? ACCEPTED_LOAD_LAG_MS : MAX_LIST_LAG_MS))
  }
  context.emit({ kind: 'log', level: 'warn', message: 'engine job abandoned', fields: { step: 'placement', peer: job.endpoint, orders: job.steps, reason, afterMs: Math.round(context.now - job.startedAt), term: state.term } })
}

/** Slots of an engine with orders in progress. */
function listSlotsInProgress ({ jobs }: PlacementState, endpoint: EndpointId): Set<string> {
  const inProgress = new Set<string>()
  for (const job of jobs.values()) {
    if (job.endpoint !== endpoint) continue
    for (const { model, adapter } of job.steps) if (adapter !== undefined) inProgress.add(formatSlotKey(model, adapter))
  }
  return inProgress
}

/** Sets the slots of abandoned orders to the state in the endpoint list, once the orders can no longer be executed. */
export function resolveAbandonedSlots (state: PlacementState, engine: EngineState, now: MonotonicMs): void {
  const { endpoint } = engine.listed
  const inProgress = listSlotsInProgress(state, endpoint)
  for (const [slotKey, slot] of engine.slots) {
    if (slot.state === SlotState.RESIDENT || inProgress.has(slotKey) || now < getOutcomeUnknownUntil(slot)) continue
    state.mirror.mark(endpoint)
    const version = findListedVersion(engine, slot)
    if (version === undefined) {
      engine.slots.delete(slotKey)
      continue
    }
    slot.version = version
    slot.state = SlotState.RESIDENT
    state.publisher.enqueueResidency(endpoint, slot, true)
  }
}
