/**
 * The grants system of one host: handles grant requests, loads, polls and takeover for all endpoints that the host owns.
 * Driven by the zone system with messages, host events and timers.
 */
import { MAX_CLOCK_DRIFT_FRACTION, MAX_ORDER_MS } from '@catkinferry/core.constants'
import type { AttemptId, EndpointId, EndpointReport, HostId, MonotonicMs, OrderId, OrderOutcome } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { EndpointState as PublishedState, LoadBudgetMessage } from '@catkinferry/wire.messages'
import type { OwnedRow } from '@catkinferry/zone.ownership'
import { buildPublished, describeOwned, isPublishable } from './describe.ts'
import type { EndpointDescription } from './describe.ts'
import { createEndpointState, markFencingAccepted } from './endpointState.ts'
import type { EndpointState } from './endpointState.ts'
import { grantWaiting, refuseAll, refuseWaiting } from './granting.ts'
import { endAttempt, receiveActive, receiveRelease, receiveRequest } from './grantMessages.ts'
import type { GrantActive, GrantRequest, GrantCancel, GrantRelease } from './grantMessages.ts'
import { createGrantsCore, markEndpoint, scheduleUpdate } from './grantsCore.ts'
import type { GrantsCore, GrantsOptions, OrderRow } from './grantsCore.ts'
import { takeHostsToQuery } from './inventory.ts'
import { planLoads, receiveBudgetGiven, receiveEvictResult, receiveLoadResult } from './loads.ts'
import { cutOrders, sendClaimOrder, takeOrder } from './orders.ts'
import { pollEndpoint, receiveReport, receiveUnreachable } from './reports.ts'

/** An endpoint that can be handed back: no grant of this owner can still be started, and no order is open. */
export interface HandBack {
  readonly endpoint: EndpointId
  readonly fencing: number
  /** No order without a known outcome can still take effect at the engine. */
  readonly settled: boolean
}

export interface Grants {
  /** Adds or updates an owned endpoint; a new fencing token starts a takeover. */
  readonly putOwned: (owned: OwnedRow, context: RunContext) => void
  /** Drops an endpoint that this host no longer owns; its waiting requests are refused and its orders cut. */
  readonly dropOwned: (endpoint: EndpointId, context: RunContext) => void
  readonly receiveRequest: (request: GrantRequest, endpoint: EndpointId, context: RunContext) => void
  readonly receiveRelease: (release: GrantRelease, context: RunContext) => void
  readonly receiveCancel: (cancel: GrantCancel, context: RunContext) => void
  readonly receiveActive: (from: HostId, active: GrantActive, context: RunContext) => void
  readonly receiveBudgetGiven: (given: Extract<LoadBudgetMessage, { kind: 'budget.given' }>, context: RunContext) => void
  readonly receiveReport: (endpoint: EndpointId, report: EndpointReport, context: RunContext) => void
  readonly receiveUnreachable: (endpoint: EndpointId, context: RunContext) => void
  readonly receiveOrderResult: (orderId: OrderId, outcome: OrderOutcome, context: RunContext) => void
  /** Called when the sub-lease starts or ends. Marks all endpoints for an update; when it ends, also cuts their orders. */
  readonly handleSubLeaseChange: (live: boolean, context: RunContext) => void
  /** Drops and returns the recalled endpoints that can be handed back. */
  readonly takeHandBacks: (context: RunContext) => readonly HandBack[]
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
  /** Returns the endpoint states that changed since the last call. */
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
    if (outcome.kind === 'done') markFencingAccepted(state, context.now)
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
  core.states.set(endpoint, old === undefined ? fresh : mergePreviousState(core, old, fresh))
  core.pollTimes.set(endpoint, context.now)
  markEndpoint(core, endpoint)
}

/** Keeps pins, waiting requests and orders when the same host is assigned an endpoint again under a new fencing token. */
function mergePreviousState (core: GrantsCore, old: EndpointState, fresh: EndpointState): EndpointState {
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
  core.pollTimes.clear(endpoint)
  core.updateTimes.clear(endpoint)
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

/** Handles the timer of an attempt: refuses a request past its deadline, ends an overdue pin, or forgets an ended attempt. */
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
  for (const host of takeHostsToQuery(inventory, context.now)) {
    context.send(host, { kind: 'grant.askActive', endpoint, fencing: state.owned.fencing })
  }
  scheduleUpdate(core, state, inventory.waitingFor.size > 0 ? inventory.resendAt : inventory.endsAt)
}

function updateEndpoint (core: GrantsCore, endpoint: EndpointId, context: RunContext): void {
  const state = core.states.get(endpoint)
  if (state === undefined || !state.active) return
  runInventory(core, state, context)
  sendClaimOrder(core, state, context)
  grantWaiting(core, state, context)
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
      scheduleUpdate(core, state, state.pins.getLastStartBy())
      continue
    }
    ready.push({ endpoint, fencing: state.owned.fencing, settled: isSettled(state, context.now) })
  }
  for (const { endpoint } of ready) dropOwned(core, endpoint, context)
  return ready
}

/** Creates a grants system without endpoints. */
export function createGrants (opts: GrantsOptions): Grants {
  const core = createGrantsCore(opts)

  function run (context: RunContext): void {
    const { now } = context
    for (const attemptId of core.attemptTimes.takeDue(now)) expireAttempt(core, attemptId, context)
    for (const endpoint of core.pollTimes.takeDue(now)) {
      const state = core.states.get(endpoint)
      if (state !== undefined) pollEndpoint(core, state, context)
    }
    for (const endpoint of core.updateTimes.takeDue(now)) {
      const state = core.states.get(endpoint)
      if (state !== undefined) state.nextUpdateAt = undefined
      core.dirty.add(endpoint)
    }
    const dirty = [...core.dirty]
    core.dirty.clear()
    for (const endpoint of dirty) updateEndpoint(core, endpoint, context)
  }

  return {
    putOwned: (owned, context) => putOwned(core, owned, context),
    dropOwned: (endpoint, context) => dropOwned(core, endpoint, context),
    receiveRequest: (request, endpoint, context) => receiveRequest(core, request, endpoint, context),
    receiveRelease: (release, context) => receiveRelease(core, release, context),
    receiveCancel: (cancel, context) => endAttempt(core, cancel.attemptId, cancel.endpoint ?? '', context),
    receiveActive: (from, active, context) => receiveActive(core, from, active, context),
    receiveBudgetGiven: (given, context) => receiveBudgetGiven(core, given.loadId, given.forMs, context),
    receiveReport: (endpoint, report, context) => receiveReport(core, endpoint, report, context),
    receiveUnreachable: (endpoint, context) => receiveUnreachable(core, endpoint, context),
    receiveOrderResult: (orderId, outcome, context) => receiveOrderResult(core, orderId, outcome, context),
    handleSubLeaseChange: (live, context) => {
      for (const [endpoint, state] of core.states) {
        if (!live) cutOrders(core, state.openOrders, context)
        core.dirty.add(endpoint)
      }
    },
    takeHandBacks: context => takeHandBacks(core, context),
    run,
    getNextAt: () => {
      if (core.dirty.size > 0) return -Infinity
      const times = [core.attemptTimes.getNextAt(), core.pollTimes.getNextAt(), core.updateTimes.getNextAt()]
      const planned = times.filter(at => at !== undefined)
      return planned.length === 0 ? undefined : Math.min(...planned)
    },
    takeChanged: () => {
      const states = [...core.changed].map(endpoint => core.states.get(endpoint)).filter(state => state !== undefined)
      core.changed.clear()
      return states.filter(isPublishable).map(buildPublished)
    },
    listPublished: () => [...core.states.values()].filter(isPublishable).map(buildPublished),
    describe: now => describeOwned(core, now),
    getOpenOrderCount: () => core.orders.size,
    getOwnedCount: () => core.states.size,
    hasEndpoint: endpoint => core.states.has(endpoint)
  }
}
