/** Grant messages of the hosts that ask. Duplicated, reordered and late ones change nothing. */
import { MAX_CLOCK_DRIFT_FRACTION } from '@catkinferry/core.constants'
import type { AttemptId, DurationMs, EndpointId, HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { GrantMessage, GrantRefusal } from '@catkinferry/wire.messages'
import { computeAskRank } from './askQueue.ts'
import type { EndpointState } from './endpointState.ts'
import { sendGiven } from './granting.ts'
import { computeSmoothed, isOwnerNow, markEndpoint, setEnded } from './grantsCore.ts'
import type { GrantsCore } from './grantsCore.ts'
import { MAX_SEND_MS } from './inventory.ts'

/** An ask whose sender is named. */
export type GrantAsk = Extract<GrantMessage, { kind: 'grant.ask' }> & { readonly origin: HostId }
export type GrantRelease = Extract<GrantMessage, { kind: 'grant.release' }>
export type GrantCancel = Extract<GrantMessage, { kind: 'grant.cancel' }>
export type GrantActive = Extract<GrantMessage, { kind: 'grant.active' }>

const RETRY_NO_LEASE_MS = 500
const RETRY_FULL_MS = 250

interface Refusal {
  readonly reason: GrantRefusal
  readonly owner?: HostId
  readonly retryAfterMs?: DurationMs
}

function findRefusal (core: GrantsCore, state: EndpointState | undefined, ask: GrantAsk, endpoint: EndpointId, context: RunContext): Refusal | undefined {
  if (state === undefined || !state.active || state.recalled) return { reason: 'notOwner', owner: core.opts.findOwner(endpoint), retryAfterMs: RETRY_FULL_MS }
  if (state.owned.row.leaving) return { reason: 'leaving' }
  if (!isOwnerNow(core, state, context.now)) return { reason: 'noLease', retryAfterMs: RETRY_NO_LEASE_MS }
  if (ask.remainingMs <= 0) return { reason: 'deadline' }
  if (state.queue.getSize() >= core.opts.getSettings().queueLimit) return { reason: 'full', retryAfterMs: RETRY_FULL_MS }
  if (state.draining === ask.adapterKey) return { reason: 'full', retryAfterMs: RETRY_FULL_MS }
  if (state.slots.isResident(ask.adapterKey)) return undefined
  const backoffMs = core.backoff.getWaitMs(endpoint, ask.adapterKey, context.now)
  return backoffMs > 0 ? { reason: 'loadFailed', retryAfterMs: backoffMs } : undefined
}

/** Answers a repeated ask again, with no more time to start than the first answer gave. */
function repeatGiven (core: GrantsCore, state: EndpointState | undefined, attemptId: AttemptId, context: RunContext): void {
  const pin = state?.pins.get(attemptId)
  if (state === undefined || pin === undefined) return
  const startWithinMs = (pin.startBy - context.now) / (1 + MAX_CLOCK_DRIFT_FRACTION)
  if (startWithinMs > 0 && isOwnerNow(core, state, context.now)) sendGiven(core, state, pin, { heldMs: 0, startWithinMs, loadStallMs: 0 }, context)
}

/** Queues an ask for one of our endpoints, or refuses it. */
export function receiveAsk (core: GrantsCore, ask: GrantAsk, endpoint: EndpointId, context: RunContext): void {
  const { now } = context
  const state = core.states.get(endpoint)
  const known = core.attempts.get(ask.attemptId)
  if (known !== undefined) {
    if (known.step === 'granted') repeatGiven(core, core.states.get(known.endpoint), ask.attemptId, context)
    return
  }
  const refusal = findRefusal(core, state, ask, endpoint, context)
  if (refusal !== undefined || state === undefined) {
    context.send(ask.origin, { kind: 'grant.refused', attemptId: ask.attemptId, endpoint, reason: 'notOwner', ...refusal })
    return
  }
  core.popularity.note(ask.adapterKey, now)
  const deadlineAt = now + ask.remainingMs
  const rank = computeAskRank({ serviceClass: ask.serviceClass, receivedAt: now, deadlineAt, ageingMs: core.opts.getSettings().ageingMs })
  const { attemptId, origin, adapterKey, serviceClass, maxRunMs } = ask
  state.queue.add({ attemptId, origin, adapterKey, serviceClass, receivedAt: now, deadlineAt, maxRunMs, rank })
  core.attempts.set(attemptId, { endpoint, step: 'waiting' })
  core.attemptTimes.set(attemptId, deadlineAt)
  markEndpoint(core, endpoint)
}

/** Frees what an attempt holds: its place in the queue or its pin. */
export function endAttempt (core: GrantsCore, attemptId: AttemptId, endpoint: EndpointId, context: RunContext): void {
  const known = core.attempts.get(attemptId)
  const at = known?.endpoint ?? endpoint
  const state = core.states.get(at)
  setEnded(core, attemptId, at, context.now)
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
  if (state !== undefined && counted && release.ran) state.expectedRunMs = computeSmoothed(state.expectedRunMs, release.runMs)
  endAttempt(core, release.attemptId, release.endpoint, context)
}

/** What a host says that it runs at an endpoint: adds pins that we don't know, frees those that it doesn't have. */
export function receiveActive (core: GrantsCore, from: HostId, active: GrantActive, context: RunContext): void {
  const { now } = context
  const state = core.states.get(active.endpoint)
  if (state === undefined || state.owned.fencing !== active.fencing) return
  const running = new Set<AttemptId>()
  for (const { attemptId, adapterKey, remainingMs } of active.active) {
    running.add(attemptId)
    const known = core.attempts.get(attemptId)
    if (known?.step === 'ended' || state.pins.get(attemptId) !== undefined) continue
    const endsBy = now + (remainingMs + MAX_SEND_MS) * (1 + MAX_CLOCK_DRIFT_FRACTION)
    state.pins.add({ attemptId, adapterKey, origin: from, grantedAt: now, startBy: now, endsBy })
    core.attempts.set(attemptId, { endpoint: active.endpoint, step: 'granted' })
    core.attemptTimes.set(attemptId, endsBy)
  }
  state.inventory?.waitingFor.delete(from)
  freeUnknownToOrigin(core, state, from, running, context)
  markEndpoint(core, active.endpoint)
}

/** A pin whose start time was over when we asked, and which the origin does not have, is over. */
function freeUnknownToOrigin (core: GrantsCore, state: EndpointState, origin: HostId, running: ReadonlySet<AttemptId>, context: RunContext): void {
  const askedAt = state.reconciling.get(origin)
  if (askedAt === undefined) return
  state.reconciling.delete(origin)
  for (const pin of [...state.pins.rows()]) {
    if (pin.origin !== origin || pin.startBy >= askedAt || running.has(pin.attemptId)) continue
    endAttempt(core, pin.attemptId, state.owned.row.endpoint, context)
  }
}
