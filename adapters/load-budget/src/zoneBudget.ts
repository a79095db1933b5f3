/**
 * The load budget of one zone, kept by its lease holder: a token bucket and a limit on loads in flight. Endpoint owners
 * take a load from it before they order one.
 *
 * The weight store is shared by the deployment. Each zone is guaranteed a floor; the floors add up to a share of the
 * limit. One zone lends the rest, load by load, to the zones that have loads waiting. A zone that is cut off falls back to
 * its floor, so the sum never exceeds the limit.
 */
import { MAX_CLOCK_DRIFT_FRACTION, MAX_ORDER_MS } from '@catkinferry/core.constants'
import { createDueTimes } from '@catkinferry/core.tables'
import type { DueTimes } from '@catkinferry/core.tables'
import type { DurationMs, HostId, MonotonicMs, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { LoadBudgetMessage } from '@catkinferry/wire.messages'
import { createLender } from './lender.ts'
import type { Lender } from './lender.ts'
import { computeFloors, computeLentRate } from './limits.ts'
import type { LoadLimits } from './limits.ts'

type Take = Extract<LoadBudgetMessage, { kind: 'budget.take' }>
type Done = Extract<LoadBudgetMessage, { kind: 'budget.done' }>
type LoanRequest = Extract<LoadBudgetMessage, { kind: 'budget.ask' }>
type Lend = Extract<LoadBudgetMessage, { kind: 'budget.lend' }>

const MS_PER_SECOND = 1_000
/** Unused tokens accumulate over at most this much time. */
const BURST_MS = 10_000
/** An owner must start a load within this time after it is granted. */
const GRANT_TTL_MS = 2_000
/** A take that is not repeated expires after this time. */
const TAKE_TTL_MS = 5_000
/** Borrowed loads must be granted within this time after they were requested. */
const LOAN_TTL_MS = 1_000
/** Interval of requests for a loan while loads wait. */
const LOAN_REQUEST_INTERVAL_MS = 100
/** Delay of a loan request, so that loads arriving together are requested together. */
const LOAN_REQUEST_DELAY_MS = 2
/** Loads are slow if they take longer than the expected time by this factor. */
const SLOW_FACTOR = 1.5
/** Factor on the in-flight limit at each adjustment while loads are slow. */
const BACK_OFF_FACTOR = 0.8
/** Interval of adjustments of the in-flight limit. */
const LIMIT_ADJUST_INTERVAL_MS = 1_000
/** Weight of a new sample in the smoothed duration of loads. */
const LOAD_TIME_SMOOTHING = 0.2
/** Keys of timers in `due`; all other keys are load IDs. */
const LOAN_TIMER = 'lend'
const TOKEN_TIMER = 'token'
const ADJUST_TIMER = 'steer'

interface TakeRow {
  readonly loadId: string
  readonly from: HostId
  /** The load with the highest weight is granted first. 0 or less: a prefetch, for which no loan is requested. */
  readonly weight: number
}

/** State of a budget for the zone description that operators request; `ratePerSecond` and `inFlightLimit` are without loans. */
export interface BudgetDescription {
  readonly ratePerSecond: number
  readonly inFlight: number
  readonly inFlightLimit: number
  readonly waiting: number
}

export interface ZoneBudget {
  /** Called when this host becomes the zone's lease holder, and `stop` when it no longer is. */
  readonly begin: (context: RunContext) => void
  readonly stop: () => void
  /** An owner requests a load, and reports with `done` that it has ended or is no longer wanted. */
  readonly receiveTake: (from: HostId, take: Take, context: RunContext) => void
  readonly receiveDone: (from: HostId, done: Done, context: RunContext) => void
  /** Another zone requests a loan; ignored unless this zone lends. */
  readonly receiveLoanRequest: (from: HostId, request: LoanRequest, context: RunContext) => void
  readonly receiveLend: (lend: Lend, context: RunContext) => void
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
  readonly describe: (now: MonotonicMs) => BudgetDescription
}

export interface ZoneBudgetOptions {
  readonly zone: ZoneId
  /** All zones of the deployment, in the same order on every host; the first one lends. */
  readonly zones: readonly ZoneId[]
  readonly getLimits: () => LoadLimits
  /** Host to which loan requests to a zone are sent; undefined if none is known. */
  readonly getContact: (zone: ZoneId) => HostId | undefined
}

interface GrantedLoad {
  readonly from: HostId
  readonly until: MonotonicMs
  /** The loan that it was granted from; undefined for a load of the floor. */
  readonly loan: Loan | undefined
  readonly isPrefetch: boolean
}

/** Loads that another zone has lent. */
interface Loan {
  /** Loads not granted yet. */
  left: number
  readonly until: MonotonicMs
}

interface BudgetState {
  readonly opts: ZoneBudgetOptions
  readonly zones: readonly ZoneId[]
  readonly waiting: Map<string, TakeRow>
  readonly granted: Map<string, GrantedLoad>
  readonly due: DueTimes<string>
  readonly lender: Lender
  readonly loanRequestedAt: Map<number, MonotonicMs>
  active: boolean
  tokens: number
  filledAt: MonotonicMs
  /** Loans that have not expired, oldest first. */
  loans: Loan[]
  /** Borrowed loads that are granted and not done yet. */
  borrowedInFlight: number
  nextAskId: number
  /** Exponentially smoothed duration of loads; 0 before the first. */
  smoothedLoadMs: DurationMs
  /** Factor on the in-flight limit, from 0 to 1, lowered while loads are slow. */
  inFlightFactor: number
  isLoanRequestPlanned: boolean
}

function createBudgetState (opts: ZoneBudgetOptions): BudgetState {
  const { zones } = opts
  return {
    opts,
    zones,
    waiting: new Map(),
    granted: new Map(),
    due: createDueTimes(),
    lender: createLender({ getLoadsPerSecond: () => computeLentRate(opts.getLimits(), zones.length) }),
    loanRequestedAt: new Map(),
    active: false,
    tokens: 0,
    filledAt: 0,
    loans: [],
    borrowedInFlight: 0,
    nextAskId: 1,
    smoothedLoadMs: 0,
    inFlightFactor: 1,
    isLoanRequestPlanned: false
  }
}

function isLender (state: BudgetState): boolean {
  return state.zones[0] === state.opts.zone
}

function getFloors (state: BudgetState): ReturnType<typeof computeFloors> {
  return computeFloors(state.opts.getLimits(), state.zones.length, state.zones.indexOf(state.opts.zone))
}

function getRate (state: BudgetState): number {
  return getFloors(state).perSecond
}

/** Maximum loads in flight from the floor; borrowed loads are limited by the lender. */
function getInFlightLimit (state: BudgetState): number {
  const { inFlight } = getFloors(state)
  return Math.max(Math.min(1, inFlight), Math.floor(inFlight * state.inFlightFactor))
}

/** Whether a prefetch may start: prefetches stay within their share, and within what the store serves at full speed. */
function isPrefetchAllowed (state: BudgetState): boolean {
  const { fullSpeedInFlight, perSecond, prefetchShare } = state.opts.getLimits()
  const fullSpeedLimit = Math.max(1, Math.floor(fullSpeedInFlight * Math.min(1, getRate(state) / perSecond)))
  const shareLimit = Math.max(1, Math.floor(getInFlightLimit(state) * prefetchShare))
  const prefetches = [...state.granted.values()].filter(({ isPrefetch }) => isPrefetch).length
  return state.granted.size < fullSpeedLimit && prefetches < shareLimit
}

function fillTokens (state: BudgetState, now: MonotonicMs): void {
  const rate = getRate(state)
  const burst = Math.max(1, rate * BURST_MS / MS_PER_SECOND)
  state.tokens = Math.min(burst, state.tokens + rate * (now - state.filledAt) / MS_PER_SECOND)
  state.filledAt = now
  state.loans = state.loans.filter(({ until }) => until > now)
}

function chooseNext (state: BudgetState): TakeRow | undefined {
  const mayPrefetch = isPrefetchAllowed(state)
  let best: TakeRow | undefined
  for (const take of state.waiting.values()) {
    if (take.weight <= 0 && !mayPrefetch) continue
    if (best === undefined || take.weight > best.weight) best = take
  }
  return best
}

function grantLoad (state: BudgetState, take: TakeRow, loan: Loan | undefined, context: RunContext): void {
  const until = context.now + GRANT_TTL_MS
  state.waiting.delete(take.loadId)
  state.granted.set(take.loadId, { from: take.from, until, loan, isPrefetch: take.weight <= 0 })
  state.due.set(take.loadId, until + MAX_ORDER_MS * (1 + MAX_CLOCK_DRIFT_FRACTION))
  context.send(take.from, { kind: 'budget.given', loadId: take.loadId, forMs: GRANT_TTL_MS })
}

function grantLoads (state: BudgetState, context: RunContext): void {
  const { now } = context
  fillTokens(state, now)
  while (state.waiting.size > 0) {
    const isFromFloor = state.tokens >= 1 && state.granted.size - state.borrowedInFlight < getInFlightLimit(state)
    const loan = isFromFloor ? undefined : state.loans.find(({ left }) => left >= 1)
    if (!isFromFloor && loan === undefined) break
    const next = chooseNext(state)
    if (next === undefined) return
    if (loan === undefined) state.tokens -= 1
    else useLoan(state, loan)
    grantLoad(state, next, loan, context)
  }
  if (state.waiting.size === 0) return
  if (!state.isLoanRequestPlanned) planLoanRequest(state, now + LOAN_REQUEST_DELAY_MS)
  if (state.tokens < 1) state.due.set(TOKEN_TIMER, now + Math.ceil((1 - state.tokens) * MS_PER_SECOND / getRate(state)))
}

function planLoanRequest (state: BudgetState, at: MonotonicMs): void {
  state.isLoanRequestPlanned = true
  state.due.set(LOAN_TIMER, at)
}

function useLoan (state: BudgetState, loan: Loan): void {
  loan.left -= 1
  state.borrowedInFlight += 1
}

/** Removes a granted load. */
function removeGranted (state: BudgetState, loadId: string): void {
  if (state.granted.get(loadId)?.loan !== undefined) state.borrowedInFlight -= 1
  state.granted.delete(loadId)
}

function receiveTake (state: BudgetState, from: HostId, take: Take, context: RunContext): void {
  if (!state.active) return
  const known = state.granted.get(take.loadId)
  if (known !== undefined) {
    const forMs = known.until - context.now
    if (forMs > 0) context.send(from, { kind: 'budget.given', loadId: take.loadId, forMs })
    return
  }
  state.waiting.set(take.loadId, { loadId: take.loadId, from, weight: take.weight })
  state.due.set(take.loadId, context.now + TAKE_TTL_MS)
  grantLoads(state, context)
}

/** Ends a granted load. One that was not started goes back to the floor or to the loan that it came from. */
function receiveDone (state: BudgetState, from: HostId, done: Done, context: RunContext): void {
  const granted = state.granted.get(done.loadId)
  state.waiting.delete(done.loadId)
  state.due.clear(done.loadId)
  if (granted?.from === from) {
    removeGranted(state, done.loadId)
    const isUnstarted = !done.ok && done.tookMs === 0
    if (isUnstarted && granted.loan === undefined) state.tokens += 1
    else if (isUnstarted && granted.loan !== undefined) granted.loan.left += 1
  }
  if (done.ok) state.smoothedLoadMs = state.smoothedLoadMs === 0 ? done.tookMs : state.smoothedLoadMs + LOAD_TIME_SMOOTHING * (done.tookMs - state.smoothedLoadMs)
  if (state.active) grantLoads(state, context)
}

/** Lowers the in-flight limit while loads take longer than expected, and raises it again step by step. */
function adjustInFlightLimit (state: BudgetState, now: MonotonicMs): void {
  const limits = state.opts.getLimits()
  const step = 1 / Math.max(1, limits.maxInFlight)
  const isSlow = state.smoothedLoadMs > limits.expectedMs * SLOW_FACTOR
  state.inFlightFactor = isSlow ? Math.max(step, state.inFlightFactor * BACK_OFF_FACTOR) : Math.min(1, state.inFlightFactor + step)
  state.due.set(ADJUST_TIMER, now + LIMIT_ADJUST_INTERVAL_MS)
}

function requestLoan (state: BudgetState, context: RunContext): void {
  const { opts, zones } = state
  state.isLoanRequestPlanned = false
  if (zones.length <= 1 || state.waiting.size === 0) return
  planLoanRequest(state, context.now + LOAN_REQUEST_INTERVAL_MS)
  const wanted = [...state.waiting.values()].filter(({ weight }) => weight > 0).length
  if (wanted === 0) return
  const askId = state.nextAskId++
  state.loanRequestedAt.set(askId, context.now)
  state.loanRequestedAt.delete(askId - LOAN_TTL_MS / LOAN_REQUEST_INTERVAL_MS)
  const request = { kind: 'budget.ask', zone: opts.zone, askId, wanted, using: state.granted.size } as const
  if (isLender(state)) {
    applyLend(state, { askId, extra: state.lender.lend(wanted, context.now), durationMs: LOAN_TTL_MS }, context)
    return
  }
  const to = opts.getContact(zones[0] ?? '')
  if (to !== undefined) context.send(to, request)
}

function applyLend (state: BudgetState, lend: Pick<Lend, 'askId' | 'extra' | 'durationMs'>, context: RunContext): void {
  const requestedAt = state.loanRequestedAt.get(lend.askId)
  if (requestedAt === undefined || !state.active) return
  state.loanRequestedAt.delete(lend.askId)
  const until = requestedAt + lend.durationMs * (1 - MAX_CLOCK_DRIFT_FRACTION)
  if (lend.extra <= 0 || until <= context.now) return
  fillTokens(state, context.now)
  state.loans.push({ left: lend.extra, until })
  grantLoads(state, context)
}

function runDue (state: BudgetState, key: string, context: RunContext): void {
  if (key === LOAN_TIMER) requestLoan(state, context)
  else if (key === ADJUST_TIMER) adjustInFlightLimit(state, context.now)
  else if (key !== TOKEN_TIMER) {
    state.waiting.delete(key)
    removeGranted(state, key)
  }
}

/** A new lease holder does not know what the previous one granted, so it begins without tokens and lends nothing until loans of the previous lender have expired. */
function begin (state: BudgetState, context: RunContext): void {
  state.active = true
  state.tokens = 0
  state.filledAt = context.now
  state.loans = []
  state.borrowedInFlight = 0
  state.loanRequestedAt.clear()
  state.lender.begin(context.now + LOAN_TTL_MS * (1 + MAX_CLOCK_DRIFT_FRACTION))
  state.due.set(ADJUST_TIMER, context.now + LIMIT_ADJUST_INTERVAL_MS)
}

function stop (state: BudgetState): void {
  state.active = false
  state.waiting.clear()
  state.granted.clear()
  state.isLoanRequestPlanned = false
  for (const key of [LOAN_TIMER, ADJUST_TIMER, TOKEN_TIMER]) state.due.clear(key)
}

/** Creates the budget of a zone. It grants nothing before `begin`. */
export function createZoneBudget (opts: ZoneBudgetOptions): ZoneBudget {
  const state = createBudgetState(opts)
  return {
    begin: context => begin(state, context),
    stop: () => stop(state),
    receiveTake: (from, take, context) => receiveTake(state, from, take, context),
    receiveDone: (from, done, context) => receiveDone(state, from, done, context),
    receiveLoanRequest: (from, request, context) => {
      if (!state.active || !isLender(state)) return
      const extra = state.lender.lend(request.wanted, context.now)
      if (extra > 0) context.send(from, { kind: 'budget.lend', zone: request.zone, askId: request.askId, extra, durationMs: LOAN_TTL_MS })
    },
    receiveLend: (lend, context) => applyLend(state, lend, context),
    run: context => {
      if (!state.active) return
      const keys = state.due.takeDue(context.now)
      if (keys.length === 0) return
      for (const key of keys) runDue(state, key, context)
      grantLoads(state, context)
    },
    getNextAt: () => state.active ? state.due.getNextAt() : undefined,
    describe: () => ({ ratePerSecond: getRate(state), inFlight: state.granted.size, inFlightLimit: getInFlightLimit(state), waiting: state.waiting.size })
  }
}
