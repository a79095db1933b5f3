/** Tables of the assignments of a lease holder. */
import { createDueTimes } from '@catkinferry/core.tables'
import type { DueTimes } from '@catkinferry/core.tables'
import type { DurationMs, EndpointId, EndpointRow, HostId, MonotonicMs, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { chooseOwner, computeOwnerLimit } from './rendezvous.ts'

const MS_PER_SECOND = 1_000

export interface AssignerOptions {
  readonly zone: ZoneId
  readonly getSubLeaseMs: () => DurationMs
  /** End of the zone lease. */
  readonly getLeaseUntil: (now: MonotonicMs) => MonotonicMs
  readonly getViewSequence: () => number
}

export interface AssignedRow {
  row: EndpointRow
  owner: HostId | undefined
  fencing: number
  /** No owner before this time. */
  freeAt: MonotonicMs
  /** The next owner's wait before its first order, counted from `freeAt`. */
  orderWaitMs: DurationMs
  /** The owner was asked to hand it back. */
  recalled: boolean
}

export interface OwnerRow {
  /** End of the sub-lease as the holder counts it: from its answer, plus the drift bound. */
  until: MonotonicMs
  epoch: number
  /** The last epoch that the owner is known to have applied. */
  appliedEpoch: number
  leaving: boolean
  readonly life: number
  readonly endpoints: Set<EndpointId>
}

export interface AssignerState {
  readonly opts: AssignerOptions
  readonly rows: Map<EndpointId, AssignedRow>
  readonly owners: Map<HostId, OwnerRow>
  /** Hosts that hold an endpoint under a sub-lease of an earlier ballot. */
  readonly claims: Map<EndpointId, HostId>
  readonly due: DueTimes<string>
  readonly unowned: Set<EndpointId>
  readonly changed: Set<EndpointId>
  hostsChanged: boolean
  ballot: number
  active: boolean
  /** Nothing is assigned before this, except to hosts that hold it. */
  startAt: MonotonicMs
  highestFencing: number
  /** An epoch is not used again, also when a host's row is made anew. */
  nextEpoch: number
}

/** Creates empty tables. */
export function createAssignerState (opts: AssignerOptions): AssignerState {
  return {
    opts,
    rows: new Map(),
    owners: new Map(),
    claims: new Map(),
    due: createDueTimes(),
    unowned: new Set(),
    changed: new Set(),
    hostsChanged: false,
    ballot: 0,
    active: false,
    startAt: 0,
    highestFencing: 0,
    nextEpoch: 1
  }
}

/** Tells whether an owner's sub-lease may still run. */
export function isLive (owner: OwnerRow, now: MonotonicMs): boolean {
  return owner.until > now
}

/** Lists the hosts that endpoints may be assigned to. */
export function listTakers (state: AssignerState, now: MonotonicMs): HostId[] {
  const takers: HostId[] = []
  for (const [host, owner] of state.owners) if (isLive(owner, now) && !owner.leaving) takers.push(host)
  return takers
}

/** Computes the most endpoints that a host is given now. */
export function computeMaxHostCount (state: AssignerState, now: MonotonicMs): number {
  return computeOwnerLimit(state.rows.size, listTakers(state, now).length)
}

function giveFencing (state: AssignerState, context: RunContext): number {
  state.highestFencing = Math.max(state.highestFencing + 1, Math.floor(context.wallNow / MS_PER_SECOND))
  return state.highestFencing
}

function setOwner (state: AssignerState, endpoint: EndpointId, host: HostId, context: RunContext): void {
  const row = state.rows.get(endpoint)
  const owner = state.owners.get(host)
  if (row === undefined || owner === undefined) return
  row.owner = host
  row.fencing = giveFencing(state, context)
  row.recalled = false
  owner.endpoints.add(endpoint)
  owner.epoch = state.nextEpoch++
  state.unowned.delete(endpoint)
  state.changed.add(endpoint)
}

/** Takes an endpoint from its owner, whose sub-lease has ended or who has handed it back. */
export function freeEndpoint (state: AssignerState, endpoint: EndpointId, row: AssignedRow, opts: { readonly at: MonotonicMs, readonly orderWaitMs: DurationMs }): void {
  row.owner = undefined
  row.freeAt = opts.at
  row.orderWaitMs = opts.orderWaitMs
  row.recalled = false
  state.unowned.add(endpoint)
  state.changed.add(endpoint)
}

/** Before `startAt`, an owner that renews under a new holder keeps what it still holds: nobody else can hold it. */
export function applyClaim (state: AssignerState, endpoint: EndpointId, context: RunContext): void {
  const host = state.claims.get(endpoint)
  const row = state.rows.get(endpoint)
  if (host === undefined || row === undefined) return
  state.claims.delete(endpoint)
  if (row.owner !== undefined) return
  row.freeAt = context.now
  row.orderWaitMs = 0
  setOwner(state, endpoint, host, context)
}

/** Assigns what nobody owns. */
export function assignUnowned (state: AssignerState, context: RunContext, limit: number): void {
  const hosts = listTakers(state, context.now)
  const getCount = (host: HostId): number => state.owners.get(host)?.endpoints.size ?? 0
  for (const endpoint of [...state.unowned]) {
    const host = chooseOwner({ endpoint, hosts, limit, getCount })
    if (host !== undefined) setOwner(state, endpoint, host, context)
  }
}
