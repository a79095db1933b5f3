/** Polls of endpoints and what their reports change. */
import type { EndpointId, EndpointReport, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { endAttempt } from './asks.ts'
import { getOrdersSettledAt, noteFencingTaken } from './endpointState.ts'
import type { EndpointState, SeenReport } from './endpointState.ts'
import { markEndpoint } from './grantsCore.ts'
import type { GrantsCore } from './grantsCore.ts'
import { MAX_SEND_MS, applyReportToInventory, isIdleByReport } from './inventory.ts'
import { cutOrders } from './orders.ts'

/** A poll without an answer is repeated after this. */
const POLL_TIMEOUT_MS = 3_000
/** An origin that does not say what it runs is taken as gone after this. */
const RECONCILE_SILENCE_MS = 5_000

/** Asks an endpoint for its report when due. */
export function pollEndpoint (core: GrantsCore, state: EndpointState, context: RunContext): void {
  const { now } = context
  const { endpoint, url } = state.owned.row
  if (state.polledAt === undefined || now - state.polledAt >= POLL_TIMEOUT_MS) {
    state.polledAt ??= now
    context.emit({ kind: 'endpoint.poll', endpoint, url })
  }
  core.polls.set(endpoint, now + core.opts.getSettings().endpointPollMs)
}

function computeTakenAt (state: EndpointState, report: EndpointReport, now: MonotonicMs): MonotonicMs {
  return (state.polledAt ?? now - POLL_TIMEOUT_MS) - report.ageMs
}

/** A restarted engine is empty and has forgotten the highest fencing number; its runs are over. */
function noteRestart (core: GrantsCore, state: EndpointState, before: SeenReport, context: RunContext): void {
  const { now } = context
  const resident = before.report.resident.filter(adapterKey => core.popularity.getRate(adapterKey, now) > 0)
  state.warming = resident.toSorted((a, b) => core.popularity.getRate(b, now) - core.popularity.getRate(a, now))
  state.fencingTaken = false
  state.claimAfter = now
  cutOrders(core, state.openOrders, context)
}

function countUnknownRunning (state: EndpointState, seen: SeenReport): number {
  const endedSince = state.endedAt.filter(at => at >= seen.takenAt).length
  return Math.max(0, seen.report.runningCount + seen.report.queuedCount - state.pins.getSize() - endedSince)
}

/** Frees pins whose attempts an idle engine proves to be over, after asking the origin. */
function reconcilePins (core: GrantsCore, state: EndpointState, seen: SeenReport, context: RunContext): void {
  const { now } = context
  for (const pin of [...state.pins.rows()]) {
    if (!isIdleByReport(seen, pin.adapterKey, pin.startBy, MAX_SEND_MS)) continue
    const askedAt = state.reconciling.get(pin.origin)
    if (askedAt === undefined) {
      state.reconciling.set(pin.origin, now)
      context.send(pin.origin, { kind: 'grant.askActive', endpoint: state.owned.row.endpoint, fencing: state.owned.fencing })
    } else if (now - askedAt >= RECONCILE_SILENCE_MS && pin.startBy < askedAt) {
      endAttempt(core, pin.attemptId, state.owned.row.endpoint, context)
    }
  }
  if (state.pins.getSize() === 0) state.reconciling.clear()
}

/** Joins an engine's report with what is known here. */
export function receiveReport (core: GrantsCore, endpoint: EndpointId, report: EndpointReport, context: RunContext): void {
  const { now } = context
  const state = core.states.get(endpoint)
  if (state === undefined) return
  const takenAt = computeTakenAt(state, report, now)
  state.polledAt = undefined
  state.unreachableSince = undefined
  if (state.seen !== undefined && state.seen.takenAt > takenAt) return
  const before = state.seen
  const seen: SeenReport = { report, takenAt, receivedAt: now }
  state.seen = seen
  if (before !== undefined && before.report.instanceId !== report.instanceId) noteRestart(core, state, before, context)
  if (report.checksFencing && report.highestFencing >= state.owned.fencing) noteFencingTaken(state, takenAt)
  core.opts.noteFencing(report.highestFencing)
  if (takenAt >= getOrdersSettledAt(state)) {
    state.slots.applyReport(report, takenAt, now)
    state.residencyKnown = true
  }
  if (state.inventory !== undefined) applyReportToInventory(state.inventory, seen)
  state.unknownRunning = countUnknownRunning(state, seen)
  state.endedAt = state.endedAt.filter(at => at >= takenAt)
  for (const [adapterKey, at] of state.lastEndAt) if (at < takenAt) state.lastEndAt.delete(adapterKey)
  reconcilePins(core, state, seen, context)
  markEndpoint(core, endpoint)
}

/** An endpoint did not answer its poll. */
export function receiveUnreachable (core: GrantsCore, endpoint: EndpointId, context: RunContext): void {
  const state = core.states.get(endpoint)
  if (state === undefined) return
  state.polledAt = undefined
  state.unreachableSince ??= context.now
  markEndpoint(core, endpoint)
}
