/** Gives grants to waiting asks where a slot and a place in the batch are free. */
import { MAX_CLOCK_DRIFT_FRACTION } from '@catkinferry/core.constants'
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { GrantRefusal } from '@catkinferry/wire.messages'
import type { WaitingAsk } from './askQueue.ts'
import { countOccupied } from './endpointState.ts'
import type { EndpointState } from './endpointState.ts'
import { isOwnerNow, markEndpoint, planVisit, setEnded } from './grantsCore.ts'
import type { GrantsCore } from './grantsCore.ts'
import { MAX_SEND_MS } from './inventory.ts'
import type { Pin } from './pins.ts'

/** Less time than this to start is not worth a grant. */
const SHORTEST_START_MS = 40
/** Start times end this much before the sub-lease. */
const LEASE_MARGIN_MS = 20

/** Tells whether the owner may grant at all: no eviction by an earlier owner can still arrive. */
export function mayGrant (core: GrantsCore, state: EndpointState, now: MonotonicMs): boolean {
  if (!isOwnerNow(core, state, now) || state.recalled || state.owned.row.leaving) return false
  return state.fencingTaken || now >= state.owned.grantAfter
}

function computeStartWithinMs (core: GrantsCore, now: MonotonicMs): DurationMs {
  return Math.min(core.opts.getSettings().startWithinMs, core.opts.getSubLeaseUntil() - now - LEASE_MARGIN_MS)
}

function chooseNext (state: EndpointState): WaitingAsk | undefined {
  let best: WaitingAsk | undefined
  for (const adapterKey of state.queue.listAdapters()) {
    if (!state.slots.isResident(adapterKey) || state.draining === adapterKey) continue
    const first = state.queue.getFirst(adapterKey)
    if (first !== undefined && (best === undefined || first.rank < best.rank)) best = first
  }
  return best
}

/** Sends a grant. The time to start is counted from now on; `heldMs` is zero when an ask is answered again. */
export function sendGiven (core: GrantsCore, state: EndpointState, pin: Pin, opts: { readonly heldMs: DurationMs, readonly startWithinMs: DurationMs, readonly loadStallMs: DurationMs }, context: RunContext): void {
  const { row, fencing } = state.owned
  const isNear = core.opts.zoneHosts.includes(pin.origin)
  context.send(pin.origin, {
    kind: 'grant.given',
    attemptId: pin.attemptId,
    endpoint: row.endpoint,
    ...(isNear ? {} : { url: row.url }),
    fencing,
    heldMs: Math.floor(opts.heldMs),
    startWithinMs: Math.floor(opts.startWithinMs),
    loadStallMs: Math.round(opts.loadStallMs)
  })
}

function give (core: GrantsCore, state: EndpointState, ask: WaitingAsk, startWithinMs: DurationMs, context: RunContext): void {
  const { now } = context
  const { endpoint } = state.owned.row
  state.queue.remove(ask.attemptId)
  const startBy = now + startWithinMs * (1 + MAX_CLOCK_DRIFT_FRACTION)
  const endsBy = startBy + (ask.maxRunMs + MAX_SEND_MS) * (1 + MAX_CLOCK_DRIFT_FRACTION)
  const pin: Pin = { attemptId: ask.attemptId, adapterKey: ask.adapterKey, origin: ask.origin, grantedAt: now, startBy, endsBy }
  state.pins.add(pin)
  core.attempts.set(ask.attemptId, { endpoint, step: 'granted' })
  core.attemptTimes.set(ask.attemptId, endsBy)
  const residentSince = state.slots.getResidentSince(ask.adapterKey) ?? ask.receivedAt
  const loadStallMs = Math.max(0, Math.min(now, residentSince) - ask.receivedAt)
  sendGiven(core, state, pin, { heldMs: now - ask.receivedAt, startWithinMs, loadStallMs }, context)
  core.changed.add(endpoint)
}

/** Gives grants in order until nothing is free. */
export function giveGrants (core: GrantsCore, state: EndpointState, context: RunContext): void {
  if (state.queue.getSize() === 0) return
  if (!mayGrant(core, state, context.now)) {
    if (state.owned.grantAfter > context.now) planVisit(core, state, state.owned.grantAfter)
    return
  }
  const batchLimit = state.seen?.report.batchLimit ?? 0
  const startWithinMs = computeStartWithinMs(core, context.now)
  if (startWithinMs < SHORTEST_START_MS) return
  while (countOccupied(state) < batchLimit) {
    const ask = chooseNext(state)
    if (ask === undefined) return
    give(core, state, ask, startWithinMs, context)
  }
}

/** Refuses a waiting ask with a true reason. */
export function refuseWaiting (core: GrantsCore, state: EndpointState, ask: WaitingAsk, opts: { readonly reason: GrantRefusal, readonly retryAfterMs?: DurationMs }, context: RunContext): void {
  const { endpoint } = state.owned.row
  state.queue.remove(ask.attemptId)
  setEnded(core, ask.attemptId, endpoint, context.now)
  const owner = opts.reason === 'notOwner' ? core.opts.findOwner(endpoint) : undefined
  context.send(ask.origin, { kind: 'grant.refused', attemptId: ask.attemptId, endpoint, reason: opts.reason, owner, retryAfterMs: opts.retryAfterMs })
  markEndpoint(core, endpoint)
}

/** Refuses everything that waits at an endpoint. */
export function refuseAll (core: GrantsCore, state: EndpointState, opts: { readonly reason: GrantRefusal, readonly retryAfterMs?: DurationMs }, context: RunContext): void {
  for (const ask of state.queue.listAll()) refuseWaiting(core, state, ask, opts, context)
}
