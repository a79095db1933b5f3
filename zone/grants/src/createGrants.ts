/** Grants, pins, loads and take-over of all endpoints that this host owns. */
import { MAX_CLOCK_DRIFT_FRACTION, MAX_ORDER_MS } from '@catkinferry/core.constants'
import type { AttemptId, EndpointId, EndpointReport, HostId, MonotonicMs, OrderId, OrderOutcome } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { EndpointState as PublishedState, LoadBudgetMessage } from '@catkinferry/wire.messages'
import type { OwnedRow } from '@catkinferry/zone.ownership'
import { endAttempt, receiveActive, receiveAsk, receiveRelease } from './asks.ts'
import type { GrantActive, GrantAsk, GrantCancel, GrantRelease } from './asks.ts'
import { buildPublished, describeOwned } from './describe.ts'
import type { EndpointDescription } from './describe.ts'
import { createEndpointState, noteFencingTaken } from './endpointState.ts'
import type { EndpointState } from './endpointState.ts'
import { giveGrants, refuseAll, refuseWaiting } from './granting.ts'
import { createGrantsCore, markEndpoint, planVisit } from './grantsCore.ts'
import type { GrantsCore, GrantsOptions, OrderRow } from './grantsCore.ts'
import { takeHostsToAsk } from './inventory.ts'
import { planLoads, receiveBudgetGiven, receiveEvictResult, receiveLoadResult } from './loads.ts'
import { cutOrders, sendClaimOrder, takeOrder } from './orders.ts'
import { pollEndpoint, receiveReport, receiveUnreachable } from './reports.ts'

/** An endpoint whose unstarted grants and orders are over. */
export interface HandBack {
  readonly endpoint: EndpointId
  readonly fencing: number
  readonly settled: boolean
}

export interface Grants {
  /** Puts or replaces an owned endpoint; a new fencing number begins a take-over. */
  readonly putOwned: (owned: OwnedRow, context: RunContext) => void
  /** Another host owns it now, or nobody. */
  readonly dropOwned: (endpoint: EndpointId, context: RunContext) => void
  readonly receiveAsk: (ask: GrantAsk, endpoint: EndpointId, context: RunContext) => void
  readonly receiveRelease: (release: GrantRelease, context: RunContext) => void
  readonly receiveCancel: (cancel: GrantCancel, context: RunContext) => void
  readonly receiveActive: (from: HostId, active: GrantActive, context: RunContext) => void
  readonly receiveBudgetGiven: (given: Extract<LoadBudgetMessage, { kind: 'budget.given' }>, context: RunContext) => void
  readonly receiveReport: (endpoint: EndpointId, report: EndpointReport, context: RunContext) => void
  readonly receiveUnreachable: (endpoint: EndpointId, context: RunContext) => void
  readonly receiveOrderResult: (orderId: OrderId, outcome: OrderOutcome, context: RunContext) => void
  /** The sub-lease ended or began: cuts orders or visits all endpoints. */
  readonly noteSubLease: (live: boolean, context: RunContext) => void
  /** Gives back recalled endpoints that are settled. */
  readonly takeHandBacks: (context: RunContext) => readonly HandBack[]
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
  /** States that changed since the last call. */
  readonly takeChanged: () => readonly PublishedState[]
  readonly listPublished: () => readonly PublishedState[]
  readonly describe: (now: MonotonicMs) => readonly EndpointDescription[]
  readonly getOpenOrderCount: () => number
  readonly getOwnedCount: () => number
  readonly hasEndpoint: (endpoint: EndpointId) => boolean
}

type OrderHandler = (core: GrantsCore, state: EndpointState, row: OrderRow, outcome: OrderOutcome, context: RunContext) => void

const ORDER_HANDLERS: Readonly<Record<OrderRow['purpose'], OrderHandler>> = {
  load: receiveLoadResult,
  evict: receiveEvictResult,
  claim: (_core, state, _row, outcome, context) => {
    if (outcome.kind === 'done') noteFencingTaken(state, context.now)
  },
  role: () => {}
}

function putOwned (core: GrantsCore, owned: OwnedRow, context: RunContext): void {
  const { endpoint } = owned.row
  const old = core.states.get(endpoint)
  if (old !== undefined && old.owned.fencing === owned.fencing) {
    old.owned = owned
    old.recalled = owned.recalled
    if (owned.recalled) refuseAll(core, old, { reason: 'notOwner' }, context)
    if (owned.row.leaving) refuseAll(core, old, { reason: 'leaving' }, context)
    markEndpoint(core, endpoint)
    return
  }
  const settings = core.opts.getSettings()
  const fresh = createEndpointState({ owned, hosts: core.opts.zoneHosts, expectedLoadMs: settings.loads.expectedMs, maxRunMs: settings.maxRunMs, now: context.now })
  if (old !== undefined) cutOrders(core, old.openOrders, context)
  core.states.set(endpoint, old === undefined ? fresh : keepKnown(core, old, fresh))
  core.polls.set(endpoint, context.now)
  markEndpoint(core, endpoint)
}

/** The same host got the endpoint again: its own pins and waiting asks are still known. */
function keepKnown (core: GrantsCore, old: EndpointState, fresh: EndpointState): EndpointState {
  for (const load of old.loads.values()) core.loadEndpoints.delete(load.loadId)
  const { pins, queue, expectedLoadMs, expectedRunMs, openOrders, unsettledAt, lastEndAt, polledAt } = old
  return { ...fresh, pins, queue, expectedLoadMs, expectedRunMs, openOrders, unsettledAt, lastEndAt, polledAt }
}

function dropOwned (core: GrantsCore, endpoint: EndpointId, context: RunContext): void {
  const state = core.states.get(endpoint)
  if (state === undefined) return
  state.active = false
  refuseAll(core, state, { reason: 'notOwner' }, context)
  cutOrders(core, state.openOrders, context)
  for (const load of state.loads.values()) core.loadEndpoints.delete(load.loadId)
  for (const pin of state.pins.rows()) {
    core.attempts.delete(pin.attemptId)
    core.attemptTimes.clear(pin.attemptId)
  }
  core.states.delete(endpoint)
  core.polls.clear(endpoint)
  core.visits.clear(endpoint)
  core.dirty.delete(endpoint)
  core.changed.delete(endpoint)
}

function receiveOrderResult (core: GrantsCore, orderId: OrderId, outcome: OrderOutcome, context: RunContext): void {
  const taken = takeOrder(core, orderId)
  if (taken === undefined || taken.state === undefined) return
  const { row, state } = taken
  if (outcome.kind === 'unknown' || row.cut) state.unsettledAt = context.now
  ORDER_HANDLERS[row.purpose](core, state, row, outcome, context)
  if (outcome.kind === 'refusedFencing') core.opts.onFencingRefused(row.endpoint, outcome.highestFencing, context)
  markEndpoint(core, row.endpoint)
}

/** An attempt's time has come: a waiting ask missed its deadline, a pin is over, or an ended one is forgotten. */
function expireAttempt (core: GrantsCore, attemptId: AttemptId, context: RunContext): void {
  const known = core.attempts.get(attemptId)
  if (known === undefined) return
  if (known.step === 'ended') {
    core.attempts.delete(attemptId)
    return
  }
  const state = core.states.get(known.endpoint)
  const waiting = known.step === 'waiting' ? state?.queue.get(attemptId) : undefined
  if (state !== undefined && waiting !== undefined) refuseWaiting(core, state, waiting, { reason: 'deadline' }, context)
  else endAttempt(core, attemptId, known.endpoint, context)
}

function runInventory (core: GrantsCore, state: EndpointState, context: RunContext): void {
  const { inventory } = state
  if (inventory === undefined) return
  if (context.now >= inventory.endsAt) {
    state.inventory = undefined
    return
  }
  const { endpoint } = state.owned.row
  for (const host of takeHostsToAsk(inventory, context.now)) {
    context.send(host, { kind: 'grant.askActive', endpoint, fencing: state.owned.fencing })
  }
  planVisit(core, state, inventory.waitingFor.size > 0 ? inventory.resendAt : inventory.endsAt)
}

function visitEndpoint (core: GrantsCore, endpoint: EndpointId, context: RunContext): void {
  const state = core.states.get(endpoint)
  if (state === undefined || !state.active) return
  runInventory(core, state, context)
  sendClaimOrder(core, state, context)
  giveGrants(core, state, context)
  planLoads(core, state, context)
}

function isSettled (state: EndpointState, now: MonotonicMs): boolean {
  return state.unsettledAt + MAX_ORDER_MS * (1 + MAX_CLOCK_DRIFT_FRACTION) <= now
}

function takeHandBacks (core: GrantsCore, context: RunContext): readonly HandBack[] {
  const ready: HandBack[] = []
  for (const [endpoint, state] of core.states) {
    if (!state.recalled) continue
    if (state.openOrders.size > 0) continue
    if (state.pins.getLastStartBy() > context.now) {
      planVisit(core, state, state.pins.getLastStartBy())
      continue
    }
    ready.push({ endpoint, fencing: state.owned.fencing, settled: isSettled(state, context.now) })
  }
  for (const { endpoint } of ready) dropOwned(core, endpoint, context)
  return ready
}

/** Creates the system without endpoints. */
export function createGrants (opts: GrantsOptions): Grants {
  const core = createGrantsCore(opts)

  function run (context: RunContext): void {
    const { now } = context
    for (const attemptId of core.attemptTimes.takeDue(now)) expireAttempt(core, attemptId, context)
    for (const endpoint of core.polls.takeDue(now)) {
      const state = core.states.get(endpoint)
      if (state !== undefined) pollEndpoint(core, state, context)
    }
    for (const endpoint of core.visits.takeDue(now)) {
      const state = core.states.get(endpoint)
      if (state !== undefined) state.nextVisitAt = undefined
      core.dirty.add(endpoint)
    }
    const dirty = [...core.dirty]
    core.dirty.clear()
    for (const endpoint of dirty) visitEndpoint(core, endpoint, context)
  }

  return {
    putOwned: (owned, context) => putOwned(core, owned, context),
    dropOwned: (endpoint, context) => dropOwned(core, endpoint, context),
    receiveAsk: (ask, endpoint, context) => receiveAsk(core, ask, endpoint, context),
    receiveRelease: (release, context) => receiveRelease(core, release, context),
    receiveCancel: (cancel, context) => endAttempt(core, cancel.attemptId, cancel.endpoint ?? '', context),
    receiveActive: (from, active, context) => receiveActive(core, from, active, context),
    receiveBudgetGiven: (given, context) => receiveBudgetGiven(core, given.loadId, given.forMs, context),
    receiveReport: (endpoint, report, context) => receiveReport(core, endpoint, report, context),
    receiveUnreachable: (endpoint, context) => receiveUnreachable(core, endpoint, context),
    receiveOrderResult: (orderId, outcome, context) => receiveOrderResult(core, orderId, outcome, context),
    noteSubLease: (live, context) => {
      for (const [endpoint, state] of core.states) {
        if (!live) cutOrders(core, state.openOrders, context)
        core.dirty.add(endpoint)
      }
    },
    takeHandBacks: context => takeHandBacks(core, context),
    run,
    getNextAt: () => {
      if (core.dirty.size > 0) return -Infinity
      const times = [core.attemptTimes.getNextAt(), core.polls.getNextAt(), core.visits.getNextAt()]
      const planned = times.filter(at => at !== undefined)
      return planned.length === 0 ? undefined : Math.min(...planned)
    },
    takeChanged: () => {
      const states = [...core.changed].map(endpoint => core.states.get(endpoint)).filter(state => state !== undefined)
      core.changed.clear()
      return states.map(buildPublished)
    },
    listPublished: () => [...core.states.values()].map(buildPublished),
    describe: now => describeOwned(core, now),
    getOpenOrderCount: () => core.orders.size,
    getOwnedCount: () => core.states.size,
    hasEndpoint: endpoint => core.states.has(endpoint)
  }
}
