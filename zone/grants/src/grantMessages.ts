/**
 * Handles the grant messages that an owner receives from requesting hosts: requests, releases and lists of active attempts.
 * Messages may be duplicated, reordered or late without effect.
 */
import { MAX_CLOCK_DRIFT_FRACTION } from '@catkinferry/core.constants'
import type { AttemptId, DurationMs, EndpointId, HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { GrantMessage, GrantRefusal } from '@catkinferry/wire.messages'
import type { EndpointState } from './endpointState.ts'
import { sendGrant } from './granting.ts'
import { computeRequestRank } from './grantQueue.ts'
import { computeMovingAverage, isOwnerNow, markEnded, markEndpoint } from './grantsCore.ts'
import type { GrantsCore } from './grantsCore.ts'
import { MAX_REQUEST_TRANSIT_MS } from './inventory.ts'

/** A grant request with its origin filled in. */
export type GrantRequest = Extract<GrantMessage, { kind: 'grant.ask' }> & { readonly origin: HostId }
export type GrantRelease = Extract<GrantMessage, { kind: 'grant.release' }>
export type GrantCancel = Extract<GrantMessage, { kind: 'grant.cancel' }>
export type GrantActive = Extract<GrantMessage, { kind: 'grant.active' }>

/** Retry time sent with a refusal while this owner has no live sub-lease. */
const RETRY_NO_LEASE_MS = 500
/** Retry time sent with a refusal when the queue is full, the adapter is drained or this host is not the owner. */
const RETRY_FULL_MS = 250

interface Refusal {
  readonly reason: GrantRefusal
  readonly owner?: HostId
  readonly retryAfterMs?: DurationMs
}

function findRefusal (core: GrantsCore, state: EndpointState | undefined, request: GrantRequest, endpoint: EndpointId, context: RunContext): Refusal | undefined {
  if (state === undefined || !state.active || state.recalled) return { reason: 'notOwner', owner: core.opts.findOwner(endpoint), retryAfterMs: RETRY_FULL_MS }
  if (state.owned.row.leaving) return { reason: 'leaving' }
  if (!isOwnerNow(core, state, context.now)) return { reason: 'noLease', retryAfterMs: RETRY_NO_LEASE_MS }
  if (request.remainingMs <= 0) return { reason: 'deadline' }
  if (state.queue.getSize() >= core.opts.getSettings().queueLimit) return { reason: 'full', retryAfterMs: RETRY_FULL_MS }
  if (state.draining === request.adapterKey) return { reason: 'full', retryAfterMs: RETRY_FULL_MS }
  if (state.slots.isResident(request.adapterKey)) return undefined
  const backoffMs = core.backoff.getWaitMs(endpoint, request.adapterKey, context.now)
  return backoffMs > 0 ? { reason: 'loadFailed', retryAfterMs: backoffMs } : undefined
}

/** Resends the grant of a repeated request, with no more time to start than the first answer gave. */
function resendGrant (core: GrantsCore, state: EndpointState | undefined, attemptId: AttemptId, context: RunContext): void {
  const pin = state?.pins.get(attemptId)
  if (state === undefined || pin === undefined) return
  const startWithinMs = (pin.startBy - context.now) / (1 + MAX_CLOCK_DRIFT_FRACTION)
  if (startWithinMs > 0 && isOwnerNow(core, state, context.now)) sendGrant(core, state, pin, { heldMs: 0, startWithinMs, loadStallMs: 0 }, context)
}

/** Queues a grant request for an endpoint of this owner, or refuses it. */
export function receiveRequest (core: GrantsCore, request: GrantRequest, endpoint: EndpointId, context: RunContext): void {
  const { now } = context
  const state = core.states.get(endpoint)
  const known = core.attempts.get(request.attemptId)
  if (known !== undefined) {
    if (known.step === 'granted') resendGrant(core, core.states.get(known.endpoint), request.attemptId, context)
    return
  }
  const refusal = findRefusal(core, state, request, endpoint, context)
  if (refusal !== undefined || state === undefined) {
    context.send(request.origin, { kind: 'grant.refused', attemptId: request.attemptId, endpoint, reason: 'notOwner', ...refusal })
    return
  }
  core.popularity.record(request.adapterKey, now)
  const deadlineAt = now + request.remainingMs
  const rank = computeRequestRank({ serviceClass: request.serviceClass, receivedAt: now, deadlineAt, ageingMs: core.opts.getSettings().ageingMs })
  const { attemptId, origin, adapterKey, serviceClass, maxRunMs } = request
  state.queue.add({ attemptId, origin, adapterKey, serviceClass, receivedAt: now, deadlineAt, maxRunMs, rank })
  core.attempts.set(attemptId, { endpoint, step: 'waiting' })
  core.attemptTimes.set(attemptId, deadlineAt)
  markEndpoint(core, endpoint)
}

/** Releases what an attempt holds: its place in the queue or its pin. */
export function endAttempt (core: GrantsCore, attemptId: AttemptId, endpoint: EndpointId, context: RunContext): void {
  const known = core.attempts.get(attemptId)
  const at = known?.endpoint ?? endpoint
  const state = core.states.get(at)
  markEnded(core, attemptId, at, context.now)
  if (state === undefined) return
  state.queue.remove(attemptId)
  const pin = state.pins.remove(attemptId)
  if (pin !== undefined) {
    state.endedAt.push(context.now)
    state.lastEndAt.set(pin.adapterKey, context.now)
  }
  markEndpoint(core, at)
}

export function receiveRelease (core: GrantsCore, release: GrantRelease, context: RunContext): void {
  const state = core.states.get(release.endpoint)
  const counted = core.attempts.get(release.attemptId)?.step === 'granted'
  if (state !== undefined && counted && release.ran) state.expectedRunMs = computeMovingAverage(state.expectedRunMs, release.runMs)
  endAttempt(core, release.attemptId, release.endpoint, context)
}

/**
 * Applies a host's list of the attempts that it runs at an endpoint: adds missing pins, and releases pins of that host that it
 * no longer has.
 */
export function receiveActive (core: GrantsCore, from: HostId, active: GrantActive, context: RunContext): void {
  const { now } = context
  const state = core.states.get(active.endpoint)
  if (state === undefined || state.owned.fencing !== active.fencing) return
  const running = new Set<AttemptId>()
  for (const { attemptId, adapterKey, remainingMs } of active.active) {
    running.add(attemptId)
    const known = core.attempts.get(attemptId)
    if (known?.step === 'ended' || state.pins.get(attemptId) !== undefined) continue
    const endsBy = now + (remainingMs + MAX_REQUEST_TRANSIT_MS) * (1 + MAX_CLOCK_DRIFT_FRACTION)
    state.pins.add({ attemptId, adapterKey, origin: from, grantedAt: now, startBy: now, endsBy })
    core.attempts.set(attemptId, { endpoint: active.endpoint, step: 'granted' })
    core.attemptTimes.set(attemptId, endsBy)
  }
  state.inventory?.waitingFor.delete(from)
  releaseUnknownPins(core, state, from, running, context)
  markEndpoint(core, active.endpoint)
}

/** Releases the pins whose start time had passed when the origin was queried and which the origin does not report as running. */
function releaseUnknownPins (core: GrantsCore, state: EndpointState, origin: HostId, running: ReadonlySet<AttemptId>, context: RunContext): void {
  const queriedAt = state.reconciling.get(origin)
  if (queriedAt === undefined) return
  state.reconciling.delete(origin)
  for (const pin of [...state.pins.rows()]) {
    if (pin.origin !== origin || pin.startBy >= queriedAt || running.has(pin.attemptId)) continue
    endAttempt(core, pin.attemptId, state.owned.row.endpoint, context)
  }
}
