/** Polls owned endpoints for reports at an interval from the settings, and applies the reports to the endpoint's state. */
import type { EndpointId, EndpointReport, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { getOrdersSettledAt, markFencingAccepted } from './endpointState.ts'
import type { EndpointState, ReceivedReport } from './endpointState.ts'
import { endAttempt } from './grantMessages.ts'
import { markEndpoint } from './grantsCore.ts'
import type { GrantsCore } from './grantsCore.ts'
import { MAX_REQUEST_TRANSIT_MS, applyReportToInventory, isIdleByReport } from './inventory.ts'
import { cutOrders } from './orders.ts'

/** An unanswered poll is repeated after this time. */
const POLL_TIMEOUT_MS = 3_000
/** An origin that has not answered a query for its active attempts for this long counts as gone. */
const RECONCILE_TIMEOUT_MS = 5_000

/** Polls an endpoint, unless a poll is pending, and schedules the next poll. */
export function pollEndpoint (core: GrantsCore, state: EndpointState, context: RunContext): void {
  const { now } = context
  const { endpoint, url } = state.owned.row
  if (state.polledAt === undefined || now - state.polledAt >= POLL_TIMEOUT_MS) {
    state.polledAt ??= now
    context.emit({ kind: 'endpoint.poll', endpoint, url })
  }
  core.pollTimes.set(endpoint, now + core.opts.getSettings().endpointPollMs)
}

function computeTakenAt (state: EndpointState, report: EndpointReport, now: MonotonicMs): MonotonicMs {
  return (state.polledAt ?? now - POLL_TIMEOUT_MS) - report.ageMs
}

/** Handles an engine restart: the engine is empty, runs nothing and has forgotten the highest fencing number. */
function handleRestart (core: GrantsCore, state: EndpointState, before: ReceivedReport, context: RunContext): void {
  const { now } = context
  const resident = before.report.resident.filter(adapterKey => core.popularity.getRate(adapterKey, now) > 0)
  state.warming = resident.toSorted((a, b) => core.popularity.getRate(b, now) - core.popularity.getRate(a, now))
  state.fencingAccepted = false
  state.nextClaimAt = now
  cutOrders(core, state.openOrders, context)
}

function countUnknownRunning (state: EndpointState, received: ReceivedReport): number {
  const endedSince = state.endedAt.filter(at => at >= received.takenAt).length
  return Math.max(0, received.report.runningCount + received.report.queuedCount - state.pins.getSize() - endedSince)
}

/** Releases pins whose attempts are over according to an idle engine, after querying their origin. */
function reconcilePins (core: GrantsCore, state: EndpointState, received: ReceivedReport, context: RunContext): void {
  const { now } = context
  for (const pin of [...state.pins.rows()]) {
    if (!isIdleByReport(received, pin.adapterKey, pin.startBy, MAX_REQUEST_TRANSIT_MS)) continue
    const queriedAt = state.reconciling.get(pin.origin)
    if (queriedAt === undefined) {
      state.reconciling.set(pin.origin, now)
      context.send(pin.origin, { kind: 'grant.askActive', endpoint: state.owned.row.endpoint, fencing: state.owned.fencing })
    } else if (now - queriedAt >= RECONCILE_TIMEOUT_MS && pin.startBy < queriedAt) {
      endAttempt(core, pin.attemptId, state.owned.row.endpoint, context)
    }
  }
  if (state.pins.getSize() === 0) state.reconciling.clear()
}

/** Applies an engine's report, unless a newer one was applied. */
export function receiveReport (core: GrantsCore, endpoint: EndpointId, report: EndpointReport, context: RunContext): void {
  const { now } = context
  const state = core.states.get(endpoint)
  if (state === undefined) return
  const takenAt = computeTakenAt(state, report, now)
  state.polledAt = undefined
  state.unreachableSince = undefined
  if (state.lastReport !== undefined && state.lastReport.takenAt > takenAt) return
  const before = state.lastReport
  const received: ReceivedReport = { report, takenAt, receivedAt: now }
  state.lastReport = received
  if (before !== undefined && before.report.instanceId !== report.instanceId) handleRestart(core, state, before, context)
  if (report.checksFencing && report.highestFencing >= state.owned.fencing) markFencingAccepted(state, takenAt)
  core.opts.recordFencing(report.highestFencing)
  if (takenAt >= getOrdersSettledAt(state)) {
    state.slots.applyReport(report, takenAt, now)
    state.residencyKnown = true
  }
  if (state.inventory !== undefined) applyReportToInventory(state.inventory, received)
  state.unknownRunning = countUnknownRunning(state, received)
  state.endedAt = state.endedAt.filter(at => at >= takenAt)
  for (const [adapterKey, at] of state.lastEndAt) if (at < takenAt) state.lastEndAt.delete(adapterKey)
  reconcilePins(core, state, received, context)
  markEndpoint(core, endpoint)
}

/** Marks an endpoint that did not answer its poll as unreachable. */
export function receiveUnreachable (core: GrantsCore, endpoint: EndpointId, context: RunContext): void {
  const state = core.states.get(endpoint)
  if (state === undefined) return
  state.polledAt = undefined
  state.unreachableSince ??= context.now
  markEndpoint(core, endpoint)
}
