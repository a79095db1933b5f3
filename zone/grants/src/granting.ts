/**
 * Grants or refuses the requests waiting at an endpoint, whenever its state has changed or a timer is due. A grant needs a
 * resident adapter and a free place in the batch.
 */
import { MAX_CLOCK_DRIFT_FRACTION } from '@catkinferry/core.constants'
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { GrantRefusal } from '@catkinferry/wire.messages'
import { countOccupied } from './endpointState.ts'
import type { EndpointState } from './endpointState.ts'
import type { QueuedRequest } from './grantQueue.ts'
import { isOwnerNow, markEnded, markEndpoint, scheduleUpdate } from './grantsCore.ts'
import type { GrantsCore } from './grantsCore.ts'
import { MAX_REQUEST_TRANSIT_MS } from './inventory.ts'
import type { Pin } from './pins.ts'

/** No grant is given with less time than this to start. */
const MIN_START_WITHIN_MS = 40
/** A granted attempt must start at least this long before the sub-lease ends. */
const SUB_LEASE_MARGIN_MS = 20

/** Returns whether the owner may grant at this endpoint now; never while an eviction of an earlier owner can still arrive. */
export function mayGrant (core: GrantsCore, state: EndpointState, now: MonotonicMs): boolean {
  if (!isOwnerNow(core, state, now) || state.recalled || state.owned.row.leaving) return false
  return state.fencingAccepted || now >= state.owned.grantAfter
}

function computeStartWithinMs (core: GrantsCore, now: MonotonicMs): DurationMs {
  return Math.min(core.opts.getSettings().startWithinMs, core.opts.getSubLeaseUntil() - now - SUB_LEASE_MARGIN_MS)
}

function chooseNextRequest (state: EndpointState): QueuedRequest | undefined {
  let best: QueuedRequest | undefined
  for (const adapterKey of state.queue.listAdapters()) {
    if (!state.slots.isResident(adapterKey) || state.draining === adapterKey) continue
    const first = state.queue.getFirst(adapterKey)
    if (first !== undefined && (best === undefined || first.rank < best.rank)) best = first
  }
  return best
}

/** Sends a grant. `startWithinMs` counts from now; `heldMs` is zero when a repeated request is answered. */
export function sendGrant (core: GrantsCore, state: EndpointState, pin: Pin, opts: { readonly heldMs: DurationMs, readonly startWithinMs: DurationMs, readonly loadStallMs: DurationMs }, context: RunContext): void {
  const { row, fencing } = state.owned
  const isInZone = core.opts.zoneHosts.includes(pin.origin)
  context.send(pin.origin, {
    kind: 'grant.given',
    attemptId: pin.attemptId,
    endpoint: row.endpoint,
    ...(isInZone ? {} : { url: row.url }),
    fencing,
    heldMs: Math.floor(opts.heldMs),
    startWithinMs: Math.floor(opts.startWithinMs),
    loadStallMs: Math.round(opts.loadStallMs)
  })
}

function grantRequest (core: GrantsCore, state: EndpointState, request: QueuedRequest, startWithinMs: DurationMs, context: RunContext): void {
  const { now } = context
  const { endpoint } = state.owned.row
  state.queue.remove(request.attemptId)
  const startBy = now + startWithinMs * (1 + MAX_CLOCK_DRIFT_FRACTION)
  const endsBy = startBy + (request.maxRunMs + MAX_REQUEST_TRANSIT_MS) * (1 + MAX_CLOCK_DRIFT_FRACTION)
  const pin: Pin = { attemptId: request.attemptId, adapterKey: request.adapterKey, origin: request.origin, grantedAt: now, startBy, endsBy }
  state.pins.add(pin)
  core.attempts.set(request.attemptId, { endpoint, step: 'granted' })
  core.attemptTimes.set(request.attemptId, endsBy)
  const residentSince = state.slots.getResidentSince(request.adapterKey) ?? request.receivedAt
  const loadStallMs = Math.max(0, Math.min(now, residentSince) - request.receivedAt)
  sendGrant(core, state, pin, { heldMs: now - request.receivedAt, startWithinMs, loadStallMs }, context)
  core.changed.add(endpoint)
}

/** Grants waiting requests by rank until the batch is full. */
export function grantWaiting (core: GrantsCore, state: EndpointState, context: RunContext): void {
  if (state.queue.getSize() === 0) return
  if (!mayGrant(core, state, context.now)) {
    if (state.owned.grantAfter > context.now) scheduleUpdate(core, state, state.owned.grantAfter)
    return
  }
  const batchLimit = state.lastReport?.report.batchLimit ?? 0
  const startWithinMs = computeStartWithinMs(core, context.now)
  if (startWithinMs < MIN_START_WITHIN_MS) return
  while (countOccupied(state) < batchLimit) {
    const request = chooseNextRequest(state)
    if (request === undefined) return
    grantRequest(core, state, request, startWithinMs, context)
  }
}

/** Removes a waiting request from the queue and refuses it. */
export function refuseWaiting (core: GrantsCore, state: EndpointState, request: QueuedRequest, opts: { readonly reason: GrantRefusal, readonly retryAfterMs?: DurationMs }, context: RunContext): void {
  const { endpoint } = state.owned.row
  state.queue.remove(request.attemptId)
  markEnded(core, request.attemptId, endpoint, context.now)
  const owner = opts.reason === 'notOwner' ? core.opts.findOwner(endpoint) : undefined
  context.send(request.origin, { kind: 'grant.refused', attemptId: request.attemptId, endpoint, reason: opts.reason, owner, retryAfterMs: opts.retryAfterMs })
  markEndpoint(core, endpoint)
}

/** Refuses all requests waiting at an endpoint. */
export function refuseAll (core: GrantsCore, state: EndpointState, opts: { readonly reason: GrantRefusal, readonly retryAfterMs?: DurationMs }, context: RunContext): void {
  for (const request of state.queue.listAll()) refuseWaiting(core, state, request, opts, context)
}
