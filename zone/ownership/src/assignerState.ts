/**
 * The tables of the assigner and the operations on them: which host owns which endpoint, and which are free. Changed on
 * renewals, hand-backs, platform changes and due timers.
 */
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
  /** Not assigned before this time. */
  freeAt: MonotonicMs
  /** How long the next owner waits before its first order, counted from `freeAt`. */
  orderWaitMs: DurationMs
  /** The owner has been told to hand it back. */
  recalled: boolean
}

export interface OwnerRow {
  /** End of the sub-lease as the holder counts it: from its answer and extended by the drift bound. */
  until: MonotonicMs
  epoch: number
  /** The last epoch that the owner is known to have applied. */
  appliedEpoch: number
  leaving: boolean
  /** Identifies the process that runs on the host. */
  readonly life: number
  readonly endpoints: Set<EndpointId>
}

export interface AssignerState {
  readonly opts: AssignerOptions
  readonly rows: Map<EndpointId, AssignedRow>
  readonly owners: Map<HostId, OwnerRow>
  /** The host that holds an endpoint under a sub-lease of an earlier ballot. */
  readonly claims: Map<EndpointId, HostId>
  /** Ends of sub-leases by host, and the assigner's own timers. */
  readonly due: DueTimes<string>
  readonly unowned: Set<EndpointId>
  /** Endpoints that changed since `takeChanges` was last called. */
  readonly changed: Set<EndpointId>
  hostsChanged: boolean
  ballot: number
  active: boolean
  /** Endpoints are not assigned before this time, except to hosts that already hold them. */
  startAt: MonotonicMs
  highestFencing: number
  /** Epochs are never reused, even when the row of a host is created again. */
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

/** Returns whether an owner's sub-lease may still be valid. */
export function isLive (owner: OwnerRow, now: MonotonicMs): boolean {
  return owner.until > now
}

/** Lists the hosts that endpoints can be assigned to: live and not leaving. */
export function listEligibleHosts (state: AssignerState, now: MonotonicMs): HostId[] {
  const eligible: HostId[] = []
  for (const [host, owner] of state.owners) if (isLive(owner, now) && !owner.leaving) eligible.push(host)
  return eligible
}

/** Computes the maximum number of endpoints per host for the current number of hosts. */
export function computeMaxEndpointsPerHost (state: AssignerState, now: MonotonicMs): number {
  return computeOwnerLimit(state.rows.size, listEligibleHosts(state, now).length)
}

function allocateFencing (state: AssignerState, context: RunContext): number {
  state.highestFencing = Math.max(state.highestFencing + 1, Math.floor(context.wallNow / MS_PER_SECOND))
  return state.highestFencing
}

function setOwner (state: AssignerState, endpoint: EndpointId, host: HostId, context: RunContext): void {
  const row = state.rows.get(endpoint)
  const owner = state.owners.get(host)
  if (row === undefined || owner === undefined) return
  row.owner = host
  row.fencing = allocateFencing(state, context)
  row.recalled = false
  owner.endpoints.add(endpoint)
  owner.epoch = state.nextEpoch++
  state.unowned.delete(endpoint)
  state.changed.add(endpoint)
}

/** Makes an endpoint unowned after its owner's sub-lease has ended or its owner has handed it back. */
export function freeEndpoint (state: AssignerState, endpoint: EndpointId, row: AssignedRow, opts: { readonly at: MonotonicMs, readonly orderWaitMs: DurationMs }): void {
  row.owner = undefined
  row.freeAt = opts.at
  row.orderWaitMs = opts.orderWaitMs
  row.recalled = false
  state.unowned.add(endpoint)
  state.changed.add(endpoint)
}

/** Assigns an endpoint to the host that claimed it before `startAt`: it still holds the endpoint, so no other host can. */
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

/** Assigns unowned endpoints to hosts below `limit`. */
export function assignUnowned (state: AssignerState, context: RunContext, limit: number): void {
  const hosts = listEligibleHosts(state, context.now)
  const getCount = (host: HostId): number => state.owners.get(host)?.endpoints.size ?? 0
  for (const endpoint of [...state.unowned]) {
    const host = chooseOwner({ endpoint, hosts, limit, getCount })
    if (host !== undefined) setOwner(state, endpoint, host, context)
  }
}
