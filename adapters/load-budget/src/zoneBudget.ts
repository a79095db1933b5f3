/**
 * The load budget of one zone, kept by its lease holder: a token rate and a limit of loads in flight.
 *
 * The weights store is shared by the deployment. Each zone always has its floor; the floors add up to a share of the
 * limit. One zone lends the rest to the zones that want it, by leases that end by themselves, so that a zone that is cut
 * off falls back to its floor and the sum never passes the limit.
 */
import { MAX_CLOCK_DRIFT_FRACTION, MAX_ORDER_MS } from '@catkinferry/core.constants'
import { createDueTimes } from '@catkinferry/core.tables'
import type { DueTimes } from '@catkinferry/core.tables'
import type { DurationMs, HostId, MonotonicMs, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { LoadBudgetMessage } from '@catkinferry/wire.messages'
import { createLender } from './lender.ts'
import type { Lender } from './lender.ts'
import { computeFloors, computeInFlightLimit, computeLentPool } from './limits.ts'
import type { LoadLimits } from './limits.ts'

type Take = Extract<LoadBudgetMessage, { kind: 'budget.take' }>
type Done = Extract<LoadBudgetMessage, { kind: 'budget.done' }>
type Ask = Extract<LoadBudgetMessage, { kind: 'budget.ask' }>
type Lend = Extract<LoadBudgetMessage, { kind: 'budget.lend' }>

const MS_PER_SECOND = 1_000
const BURST_MS = 3_000
/** An owner must start a load within this time of being given it. */
const GIVEN_FOR_MS = 2_000
const TAKE_KEPT_MS = 5_000
const LEND_MS = 1_000
const ASK_INTERVAL_MS = 250
const SLOW_FACTOR = 1.5
const BACK_OFF_FACTOR = 0.8
const STEER_INTERVAL_MS = 1_000
const TOOK_SMOOTHING = 0.2
const LEND = 'lend'
const TOKEN = 'token'
const STEER = 'steer'

interface TakeRow {
  readonly loadId: string
  readonly from: HostId
  readonly weight: number
}

export interface BudgetDescription {
  readonly ratePerSecond: number
  readonly inFlight: number
  readonly inFlightLimit: number
  readonly waiting: number
}

export interface ZoneBudget {
  readonly begin: (context: RunContext) => void
  readonly stop: () => void
  readonly receiveTake: (from: HostId, take: Take, context: RunContext) => void
  readonly receiveDone: (from: HostId, done: Done, context: RunContext) => void
  readonly receiveAsk: (from: HostId, ask: Ask, context: RunContext) => void
  readonly receiveLend: (lend: Lend, context: RunContext) => void
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
  readonly describe: (now: MonotonicMs) => BudgetDescription
}

export interface ZoneBudgetOptions {
  readonly zone: ZoneId
  /** All zones of the deployment; the first in order lends. */
  readonly zones: readonly ZoneId[]
  readonly getLimits: () => LoadLimits
  readonly getContact: (zone: ZoneId) => HostId | undefined
}

interface BudgetState {
  readonly opts: ZoneBudgetOptions
  readonly zones: readonly ZoneId[]
  readonly waiting: Map<string, TakeRow>
  readonly given: Map<string, { readonly from: HostId, readonly until: MonotonicMs }>
  readonly due: DueTimes<string>
  readonly lender: Lender
  readonly askedAt: Map<number, MonotonicMs>
  active: boolean
  tokens: number
  filledAt: MonotonicMs
  borrowed: number
  borrowedUntil: MonotonicMs
  nextAskId: number
  /** Smoothed time that loads took. */
  tookMs: DurationMs
  /** Factor on the in-flight limit, lowered while loads are slow. */
  steering: number
  recentTakes: number
}

function createBudgetState (opts: ZoneBudgetOptions): BudgetState {
  const zones = [...opts.zones].sort()
  return {
    opts,
    zones,
    waiting: new Map(),
    given: new Map(),
    due: createDueTimes(),
    lender: createLender({ getPool: () => computeLentPool(opts.getLimits(), zones.length) }),
    askedAt: new Map(),
    active: false,
    tokens: 0,
    filledAt: 0,
    borrowed: 0,
    borrowedUntil: -Infinity,
    nextAskId: 1,
    tookMs: 0,
    steering: 1,
    recentTakes: 0
  }
}

function isLender (state: BudgetState): boolean {
  return state.zones[0] === state.opts.zone
}

function getRate (state: BudgetState, now: MonotonicMs): number {
  return computeFloors(state.opts.getLimits(), state.zones.length).perSecond + (state.borrowedUntil > now ? state.borrowed : 0)
}

function getInFlightLimit (state: BudgetState, now: MonotonicMs): number {
  return Math.max(1, Math.floor(computeInFlightLimit(state.opts.getLimits(), state.zones.length, getRate(state, now)) * state.steering))
}

/** Loads that nobody waits for stay below the number that the store serves at full speed. */
function getQuietLimit (state: BudgetState, now: MonotonicMs): number {
  const { fullSpeedInFlight, perSecond } = state.opts.getLimits()
  return Math.max(1, Math.floor(fullSpeedInFlight * Math.min(1, getRate(state, now) / perSecond)))
}

function fillTokens (state: BudgetState, now: MonotonicMs): void {
  const lentUntil = Math.max(state.filledAt, Math.min(now, state.borrowedUntil))
  const floor = computeFloors(state.opts.getLimits(), state.zones.length).perSecond
  const earned = floor * (now - state.filledAt) + state.borrowed * (lentUntil - state.filledAt)
  const burst = Math.max(1, getRate(state, now) * BURST_MS / MS_PER_SECOND)
  state.tokens = Math.min(burst, state.tokens + earned / MS_PER_SECOND)
  state.filledAt = now
}

function pickNext (state: BudgetState, now: MonotonicMs): TakeRow | undefined {
  const quiet = state.given.size < getQuietLimit(state, now)
  let best: TakeRow | undefined
  for (const take of state.waiting.values()) {
    if (take.weight <= 0 && !quiet) continue
    if (best === undefined || take.weight > best.weight) best = take
  }
  return best
}

function giveLoad (state: BudgetState, take: TakeRow, context: RunContext): void {
  const until = context.now + GIVEN_FOR_MS
  state.waiting.delete(take.loadId)
  state.given.set(take.loadId, { from: take.from, until })
  state.due.set(take.loadId, until + MAX_ORDER_MS * (1 + MAX_CLOCK_DRIFT_FRACTION))
  context.send(take.from, { kind: 'budget.given', loadId: take.loadId, forMs: GIVEN_FOR_MS })
}

function giveLoads (state: BudgetState, context: RunContext): void {
  const { now } = context
  fillTokens(state, now)
  while (state.waiting.size > 0 && state.tokens >= 1 && state.given.size < getInFlightLimit(state, now)) {
    const next = pickNext(state, now)
    if (next === undefined) return
    state.tokens -= 1
    giveLoad(state, next, context)
  }
  if (state.waiting.size === 0 || state.tokens >= 1) return
  state.due.set(TOKEN, now + Math.ceil((1 - state.tokens) * MS_PER_SECOND / getRate(state, now)))
}

function receiveTake (state: BudgetState, from: HostId, take: Take, context: RunContext): void {
  if (!state.active) return
  const known = state.given.get(take.loadId)
  if (known !== undefined) {
    const forMs = known.until - context.now
    if (forMs > 0) context.send(from, { kind: 'budget.given', loadId: take.loadId, forMs })
    return
  }
  if (!state.waiting.has(take.loadId)) state.recentTakes++
  state.waiting.set(take.loadId, { loadId: take.loadId, from, weight: take.weight })
  state.due.set(take.loadId, context.now + TAKE_KEPT_MS)
  giveLoads(state, context)
}

/** A load that was given and not started gives its token back. */
function receiveDone (state: BudgetState, from: HostId, done: Done, context: RunContext): void {
  const given = state.given.get(done.loadId)
  state.waiting.delete(done.loadId)
  state.due.clear(done.loadId)
  if (given?.from === from) {
    state.given.delete(done.loadId)
    if (!done.ok && done.tookMs === 0) state.tokens += 1
  }
  if (done.ok) state.tookMs = state.tookMs === 0 ? done.tookMs : state.tookMs + TOOK_SMOOTHING * (done.tookMs - state.tookMs)
  if (state.active) giveLoads(state, context)
}

/** Fewer loads at once while they take longer than expected, more again step by step. */
function steer (state: BudgetState, now: MonotonicMs): void {
  const limits = state.opts.getLimits()
  const step = 1 / Math.max(1, limits.maxInFlight)
  const slow = state.tookMs > limits.expectedMs * SLOW_FACTOR
  state.steering = slow ? Math.max(step, state.steering * BACK_OFF_FACTOR) : Math.min(1, state.steering + step)
  state.due.set(STEER, now + STEER_INTERVAL_MS)
}

function askToBorrow (state: BudgetState, context: RunContext): void {
  const { opts, zones } = state
  state.due.set(LEND, context.now + ASK_INTERVAL_MS)
  if (zones.length <= 1) return
  const floor = computeFloors(opts.getLimits(), zones.length).perSecond
  const wanted = Math.max(0, state.waiting.size + state.recentTakes * MS_PER_SECOND / ASK_INTERVAL_MS - floor)
  state.recentTakes /= 2
  const askId = state.nextAskId++
  state.askedAt.set(askId, context.now)
  state.askedAt.delete(askId - LEND_MS / ASK_INTERVAL_MS)
  const ask = { kind: 'budget.ask', zone: opts.zone, askId, wanted, using: getRate(state, context.now) } as const
  if (isLender(state)) {
    applyLend(state, { askId, extra: state.lender.lend(ask, LEND_MS, context.now), durationMs: LEND_MS }, context)
    return
  }
  const to = opts.getContact(zones[0] ?? '')
  if (to !== undefined) context.send(to, ask)
}

function applyLend (state: BudgetState, lend: Pick<Lend, 'askId' | 'extra' | 'durationMs'>, context: RunContext): void {
  const askedAt = state.askedAt.get(lend.askId)
  if (askedAt === undefined || !state.active) return
  fillTokens(state, context.now)
  state.borrowed = lend.extra
  state.borrowedUntil = askedAt + lend.durationMs * (1 - MAX_CLOCK_DRIFT_FRACTION)
  giveLoads(state, context)
}

function runDue (state: BudgetState, key: string, context: RunContext): void {
  if (key === LEND) askToBorrow(state, context)
  else if (key === STEER) steer(state, context.now)
  else if (key !== TOKEN) {
    state.waiting.delete(key)
    state.given.delete(key)
  }
}

/** A new holder does not know what was given before it, so it begins without tokens and lends nothing for one loan. */
function begin (state: BudgetState, context: RunContext): void {
  state.active = true
  state.tokens = 0
  state.filledAt = context.now
  state.borrowed = 0
  state.borrowedUntil = -Infinity
  state.askedAt.clear()
  state.lender.begin(context.now + LEND_MS * (1 + MAX_CLOCK_DRIFT_FRACTION))
  state.due.set(LEND, context.now)
  state.due.set(STEER, context.now + STEER_INTERVAL_MS)
}

function stop (state: BudgetState): void {
  state.active = false
  state.waiting.clear()
  state.given.clear()
  for (const key of [LEND, STEER, TOKEN]) state.due.clear(key)
}

/** Creates the budget of a zone; it gives nothing before `begin`. */
export function createZoneBudget (opts: ZoneBudgetOptions): ZoneBudget {
  const state = createBudgetState(opts)
  return {
    begin: context => begin(state, context),
    stop: () => stop(state),
    receiveTake: (from, take, context) => receiveTake(state, from, take, context),
    receiveDone: (from, done, context) => receiveDone(state, from, done, context),
    receiveAsk: (from, ask, context) => {
      if (!state.active || !isLender(state)) return
      const extra = state.lender.lend(ask, LEND_MS, context.now)
      context.send(from, { kind: 'budget.lend', zone: ask.zone, askId: ask.askId, extra, durationMs: LEND_MS })
    },
    receiveLend: (lend, context) => applyLend(state, lend, context),
    run: context => {
      if (!state.active) return
      const keys = state.due.takeDue(context.now)
      if (keys.length === 0) return
      for (const key of keys) runDue(state, key, context)
      giveLoads(state, context)
    },
    getNextAt: () => state.active ? state.due.getNextAt() : undefined,
    describe: now => ({ ratePerSecond: getRate(state, now), inFlight: state.given.size, inFlightLimit: getInFlightLimit(state, now), waiting: state.waiting.size })
  }
}
