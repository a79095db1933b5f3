/**
 * The owner's side of ownership: renews the host's sub-lease with the lease holder and keeps the endpoints assigned under it.
 * Every host runs one.
 */
import { MAX_CLOCK_DRIFT_FRACTION, MAX_EVICT_MS, MAX_ORDER_MS, MAX_SUB_LEASE_MS } from '@catkinferry/core.constants'
import type { DurationMs, EndpointId, EndpointRow, HostId, MonotonicMs, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { AssignedEndpoint, HeldEndpoint, OwnershipMessage } from '@catkinferry/wire.messages'

type OwnerAssign = Extract<OwnershipMessage, { kind: 'owner.assign' }>

const RENEW_INTERVAL_MS = 500
/** Maximum number of pending renewals; answers to older ones are ignored. */
const MAX_OPEN_RENEWALS = 8

/** An endpoint that this host owns. */
export interface OwnedRow {
  readonly row: EndpointRow
  readonly fencing: number
  /** No order is sent before this time, unless the engine has accepted the fencing number. */
  readonly orderAfter: MonotonicMs
  /** No grant is given before this time, unless the engine has accepted the fencing number: an earlier owner's eviction may be in flight. */
  readonly grantAfter: MonotonicMs
  readonly recalled: boolean
}

/** What an assignment changed. */
export interface SubLeaseChange {
  readonly gained: readonly OwnedRow[]
  /** Same assignment as before; its platform data or `recalled` may have changed. */
  readonly updated: readonly OwnedRow[]
  /** No longer assigned to this host, without a hand-back. */
  readonly lost: readonly EndpointId[]
  /** Recalled although already handed back; the hand-back message was lost. */
  readonly recalledUnknown: readonly HeldEndpoint[]
  readonly viewSequence: number
}

export interface SubLease {
  /** End of the sub-lease on this host's clock; `-Infinity` when there is none. */
  readonly getUntil: () => MonotonicMs
  readonly isLive: (now: MonotonicMs) => boolean
  readonly getBallot: () => number
  readonly getOwned: (endpoint: EndpointId) => OwnedRow | undefined
  readonly receiveAssign: (from: HostId, assign: OwnerAssign, context: RunContext) => SubLeaseChange | undefined
  /** Sends a renewal to the holder when due. */
  readonly run: (opts: { readonly holder: HostId | undefined, readonly viewSequence: number, readonly leaving: boolean }, context: RunContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
  readonly recordFencing: (fencing: number) => void
  /** Drops the sub-lease at once, after a pause during which it may have expired. */
  readonly drop: (now: MonotonicMs) => void
  /** Brings the next renewal forward. */
  readonly renewSoon: (now: MonotonicMs) => void
  /** Replaces the platform data of an owned endpoint; returns the new row, or undefined when the endpoint is not owned. */
  readonly setRow: (row: EndpointRow) => OwnedRow | undefined
  /** Removes an endpoint that was handed back. */
  readonly removeOwned: (endpoint: EndpointId) => void
}

interface SubLeaseState {
  readonly zone: ZoneId
  readonly life: number
  readonly owned: Map<EndpointId, OwnedRow>
  readonly renewals: Map<number, { readonly at: MonotonicMs, readonly to: HostId }>
  until: MonotonicMs
  ballot: number
  epoch: number
  holder: HostId | undefined
  renewedTo: HostId | undefined
  nextAskId: number
  nextAt: MonotonicMs
  /** Answers to renewals sent before this time are ignored. */
  validFrom: MonotonicMs
  highestFencing: number
}

function createSubLeaseState ({ zone, life }: { readonly zone: ZoneId, readonly life: number }): SubLeaseState {
  return {
    zone,
    life,
    owned: new Map(),
    renewals: new Map(),
    until: -Infinity,
    ballot: 0,
    epoch: 0,
    holder: undefined,
    renewedTo: undefined,
    nextAskId: 1,
    nextAt: 0,
    validFrom: -Infinity,
    highestFencing: 0
  }
}

function listHolding (state: SubLeaseState, now: MonotonicMs): HeldEndpoint[] {
  if (state.until <= now) return []
  return [...state.owned.values()].map(({ row, fencing }) => ({ endpoint: row.endpoint, fencing }))
}

function renew (state: SubLeaseState, to: HostId, opts: { readonly viewSequence: number, readonly leaving: boolean }, context: RunContext): void {
  const askId = state.nextAskId++
  state.renewals.set(askId, { at: context.now, to })
  if (state.renewals.size > MAX_OPEN_RENEWALS) state.renewals.delete(state.renewals.keys().next().value ?? 0)
  state.nextAt = context.now + RENEW_INTERVAL_MS
  state.renewedTo = to
  const holding = to === state.holder ? [] : listHolding(state, context.now)
  const { zone, life, ballot, epoch, highestFencing } = state
  context.send(to, { kind: 'owner.renew', zone, ballot, askId, epoch, highestFencing, holding, life, ...opts })
}

function computeWaits (waitMs: DurationMs, now: MonotonicMs): Pick<OwnedRow, 'orderAfter' | 'grantAfter'> {
  const orderAfter = now + waitMs * (1 + MAX_CLOCK_DRIFT_FRACTION)
  return { orderAfter, grantAfter: Math.max(now, orderAfter - (MAX_ORDER_MS - MAX_EVICT_MS)) }
}

interface MutableChange {
  readonly gained: OwnedRow[]
  readonly updated: OwnedRow[]
  readonly lost: EndpointId[]
  readonly recalledUnknown: HeldEndpoint[]
}

function applyAssigned (state: SubLeaseState, assigned: AssignedEndpoint, change: MutableChange, now: MonotonicMs): void {
  const { row, fencing, recalled } = assigned
  state.highestFencing = Math.max(state.highestFencing, fencing)
  const known = state.owned.get(row.endpoint)
  if (known === undefined && recalled) {
    change.recalledUnknown.push({ endpoint: row.endpoint, fencing })
    return
  }
  const same = known?.fencing === fencing
  const waits = same ? { orderAfter: known.orderAfter, grantAfter: known.grantAfter } : computeWaits(assigned.waitMs, now)
  const next: OwnedRow = { row, fencing, recalled, ...waits }
  state.owned.set(row.endpoint, next)
  if (same) change.updated.push(next)
  else change.gained.push(next)
}

function applyEndpoints (state: SubLeaseState, assign: OwnerAssign, now: MonotonicMs): MutableChange {
  const change: MutableChange = { gained: [], updated: [], lost: [], recalledUnknown: [] }
  if (assign.endpoints === undefined) return change
  const listed = new Set(assign.endpoints.map(({ row }) => row.endpoint))
  for (const assigned of assign.endpoints) applyAssigned(state, assigned, change, now)
  for (const endpoint of state.owned.keys()) if (!listed.has(endpoint)) change.lost.push(endpoint)
  for (const endpoint of change.lost) state.owned.delete(endpoint)
  return change
}

/** Returns whether an answer is still valid: not superseded, and to a renewal that was sent to this holder after the last pause. */
function isCurrent (state: SubLeaseState, from: HostId, assign: OwnerAssign): boolean {
  const renewal = state.renewals.get(assign.askId)
  if (renewal === undefined || renewal.at < state.validFrom || renewal.to !== from) return false
  if (assign.ballot < state.ballot) return false
  if (assign.ballot === state.ballot && assign.epoch < state.epoch) return false
  return assign.endpoints !== undefined || (assign.ballot === state.ballot && assign.epoch === state.epoch)
}

function receiveAssign (state: SubLeaseState, from: HostId, assign: OwnerAssign, context: RunContext): SubLeaseChange | undefined {
  if (!isCurrent(state, from, assign)) return undefined
  const requestedAt = state.renewals.get(assign.askId)?.at ?? -Infinity
  state.renewals.delete(assign.askId)
  const until = requestedAt + Math.min(assign.subLeaseMs, MAX_SUB_LEASE_MS) * (1 - MAX_CLOCK_DRIFT_FRACTION)
  if (until <= context.now) return undefined
  state.until = assign.ballot > state.ballot ? until : Math.max(state.until, until)
  state.ballot = assign.ballot
  state.epoch = assign.epoch
  state.holder = from
  return { ...applyEndpoints(state, assign, context.now), viewSequence: assign.viewSequence }
}

/** Creates the owner's side, without a sub-lease. */
export function createSubLease (opts: { readonly zone: ZoneId, /** Differs between successive processes of a host. */ readonly life: number }): SubLease {
  const state = createSubLeaseState(opts)
  return {
    getUntil: () => state.until,
    isLive: now => state.until > now,
    getBallot: () => state.ballot,
    getOwned: endpoint => state.owned.get(endpoint),
    receiveAssign: (from, assign, context) => receiveAssign(state, from, assign, context),
    run: ({ holder, ...rest }, context) => {
      if (holder === undefined) return
      if (holder !== state.renewedTo || state.nextAt <= context.now) renew(state, holder, rest, context)
    },
    getNextAt: () => state.nextAt,
    recordFencing: fencing => { state.highestFencing = Math.max(state.highestFencing, fencing) },
    drop: now => {
      state.until = -Infinity
      state.epoch = 0
      state.validFrom = now
      state.renewals.clear()
      state.nextAt = now
    },
    renewSoon: now => { state.nextAt = Math.min(state.nextAt, now) },
    setRow: row => {
      const known = state.owned.get(row.endpoint)
      if (known === undefined) return undefined
      const next = { ...known, row }
      state.owned.set(row.endpoint, next)
      return next
    },
    removeOwned: endpoint => { state.owned.delete(endpoint) }
  }
}
