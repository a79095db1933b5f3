/**
 * The lease holder's side of ownership: assigns endpoints to hosts, grants and expires their sub-leases and rebalances.
 * Active only on the lease holder, from the start of its ballot.
 */
import { MAX_CLOCK_DRIFT_FRACTION, MAX_ORDER_MS, MAX_SUB_LEASE_MS } from '@catkinferry/core.constants'
import type { EndpointId, EndpointRow, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { AssignedEndpoint, OwnedEndpoint, OwnershipMessage } from '@catkinferry/wire.messages'
import {
  applyClaim, assignUnowned, computeMaxEndpointsPerHost, createAssignerState, freeEndpoint, isLive, listEligibleHosts
} from './assignerState.ts'
import type { AssignerOptions, AssignerState, OwnerRow } from './assignerState.ts'
import { computeOwnerLimit } from './rendezvous.ts'

type OwnerRenew = Extract<OwnershipMessage, { kind: 'owner.renew' }>
type OwnerHandBack = Extract<OwnershipMessage, { kind: 'owner.handBack' }>

/** Time between two rebalancing steps. */
const REBALANCE_INTERVAL_MS = 1_000
/** Time for hosts to renew under a new holder, and claim what they hold, before the first assignment. */
const CLAIM_WINDOW_MS = 300
// Keys among the due times, whose other keys are host names; a NUL keeps them apart.
const REBALANCE = '\u0000rebalance'
const START = '\u0000start'

export interface AssignerStart {
  readonly ballot: number
  /** Sub-leases of the previous ballot may still run. */
  readonly subLeasesMayRun: boolean
}

export interface Assigner {
  /** Starts a ballot with nothing assigned. */
  readonly begin: (start: AssignerStart, context: RunContext) => void
  readonly stop: () => void
  readonly putEndpoint: (row: EndpointRow, context: RunContext) => void
  readonly removeEndpoint: (endpoint: EndpointId) => void
  readonly receiveRenew: (from: HostId, renew: OwnerRenew, context: RunContext) => void
  readonly receiveHandBack: (from: HostId, handBack: OwnerHandBack, context: RunContext) => void
  readonly recordFencing: (fencing: number) => void
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
  readonly listHosts: (now: MonotonicMs) => readonly HostId[]
  readonly getOwned: (endpoint: EndpointId) => OwnedEndpoint | undefined
  /** True when all endpoints are assigned and all live owners have applied their assignment. */
  readonly isSettled: (now: MonotonicMs) => boolean
  /** Returns the endpoints that changed since the last call, and whether the hosts did. */
  readonly takeChanges: () => { readonly endpoints: readonly EndpointId[], readonly hosts: boolean }
}

function expireOwner (state: AssignerState, host: HostId, context: RunContext): void {
  const owner = state.owners.get(host)
  if (owner === undefined) return
  if (isLive(owner, context.now)) {
    state.due.set(host, owner.until)
    return
  }
  state.owners.delete(host)
  state.hostsChanged = true
  for (const endpoint of owner.endpoints) {
    const row = state.rows.get(endpoint)
    if (row !== undefined) freeEndpoint(state, endpoint, row, { at: context.now, orderWaitMs: MAX_ORDER_MS })
  }
}

function recall (state: AssignerState, endpoint: EndpointId, owner: OwnerRow): void {
  const row = state.rows.get(endpoint)
  if (row === undefined) return
  row.recalled = true
  owner.epoch = state.nextEpoch++
}

/**
 * Recalls all endpoints of leaving hosts, and one endpoint of each host above its limit. Repeated until they are handed back.
 */
function rebalance (state: AssignerState, now: MonotonicMs): void {
  state.due.set(REBALANCE, now + REBALANCE_INTERVAL_MS)
  const hosts = listEligibleHosts(state, now)
  if (hosts.length === 0) return
  const limit = computeOwnerLimit(state.rows.size, hosts.length)
  for (const owner of state.owners.values()) {
    if (!isLive(owner, now)) continue
    let left = owner.leaving ? owner.endpoints.size : Math.min(1, owner.endpoints.size - limit)
    for (const endpoint of owner.endpoints) {
      if (left-- <= 0) break
      recall(state, endpoint, owner)
    }
  }
}

function buildAssigned (state: AssignerState, owner: OwnerRow, now: MonotonicMs): AssignedEndpoint[] {
  const assigned: AssignedEndpoint[] = []
  for (const endpoint of owner.endpoints) {
    const row = state.rows.get(endpoint)
    if (row === undefined) continue
    const waitMs = Math.max(0, row.freeAt + row.orderWaitMs - now)
    assigned.push({ row: row.row, fencing: row.fencing, waitMs, recalled: row.recalled })
  }
  return assigned
}

function answerRenew (state: AssignerState, from: HostId, renew: OwnerRenew, owner: OwnerRow, context: RunContext): void {
  const { now } = context
  const { opts, ballot } = state
  const subLeaseMs = Math.min(opts.getSubLeaseMs(), MAX_SUB_LEASE_MS, opts.getLeaseUntil(now) - now)
  if (subLeaseMs <= 0) return
  owner.until = Math.max(owner.until, now + subLeaseMs * (1 + MAX_CLOCK_DRIFT_FRACTION))
  state.due.set(from, owner.until)
  const unchanged = renew.ballot === ballot && renew.epoch === owner.epoch
  context.send(from, {
    kind: 'owner.assign',
    zone: opts.zone,
    ballot,
    askId: renew.askId,
    subLeaseMs,
    epoch: owner.epoch,
    viewSequence: opts.getViewSequence(),
    endpoints: unchanged ? undefined : buildAssigned(state, owner, now)
  })
}

function addOwner (state: AssignerState, host: HostId, { leaving, life }: OwnerRenew): OwnerRow {
  const owner: OwnerRow = { until: 0, epoch: state.nextEpoch++, appliedEpoch: 0, leaving, life, endpoints: new Set() }
  state.owners.set(host, owner)
  state.hostsChanged = true
  return owner
}

function receiveRenew (state: AssignerState, from: HostId, renew: OwnerRenew, context: RunContext): void {
  if (!state.active) return
  state.highestFencing = Math.max(state.highestFencing, renew.highestFencing)
  const owner = state.owners.get(from) ?? addOwner(state, from, renew)
  // A restarted process waits until the sub-lease of its predecessor has ended, whose grants and orders may still arrive.
  if (owner.life !== renew.life) return
  if (renew.ballot === state.ballot) owner.appliedEpoch = renew.epoch
  if (owner.leaving !== renew.leaving) {
    owner.leaving = renew.leaving
    rebalance(state, context.now)
  }
  const claimable = context.now < state.startAt
  for (const held of claimable ? renew.holding : []) {
    state.claims.set(held.endpoint, from)
    applyClaim(state, held.endpoint, context)
  }
  answerRenew(state, from, renew, owner, context)
}

function receiveHandBack (state: AssignerState, from: HostId, handBack: OwnerHandBack, context: RunContext): void {
  const row = state.rows.get(handBack.endpoint)
  if (!state.active || handBack.ballot !== state.ballot || row?.owner !== from || row.fencing !== handBack.fencing) return
  state.owners.get(from)?.endpoints.delete(handBack.endpoint)
  freeEndpoint(state, handBack.endpoint, row, { at: context.now, orderWaitMs: handBack.settled ? 0 : MAX_ORDER_MS })
}

function begin (state: AssignerState, start: AssignerStart, context: RunContext): void {
  const waitMs = start.subLeasesMayRun ? MAX_SUB_LEASE_MS * (1 + MAX_CLOCK_DRIFT_FRACTION) : CLAIM_WINDOW_MS
  state.ballot = start.ballot
  state.active = true
  state.owners.clear()
  state.claims.clear()
  state.startAt = context.now + waitMs
  for (const [endpoint, row] of state.rows) freeEndpoint(state, endpoint, row, { at: state.startAt, orderWaitMs: MAX_ORDER_MS })
  state.due.set(START, state.startAt)
  state.due.set(REBALANCE, state.startAt + REBALANCE_INTERVAL_MS)
  state.hostsChanged = true
}

function removeEndpoint (state: AssignerState, endpoint: EndpointId): void {
  const row = state.rows.get(endpoint)
  if (row === undefined) return
  state.rows.delete(endpoint)
  state.unowned.delete(endpoint)
  state.changed.add(endpoint)
  const owner = row.owner === undefined ? undefined : state.owners.get(row.owner)
  if (owner === undefined) return
  owner.endpoints.delete(endpoint)
  owner.epoch = state.nextEpoch++
}

function putEndpoint (state: AssignerState, row: EndpointRow, context: RunContext): void {
  const { endpoint } = row
  const known = state.rows.get(endpoint)
  state.changed.add(endpoint)
  if (known !== undefined) {
    known.row = row
    const owner = known.owner === undefined ? undefined : state.owners.get(known.owner)
    if (owner !== undefined) owner.epoch = state.nextEpoch++
    return
  }
  state.rows.set(endpoint, { row, owner: undefined, fencing: 0, freeAt: Math.max(state.startAt, context.now), orderWaitMs: MAX_ORDER_MS, recalled: false })
  state.unowned.add(endpoint)
  if (state.active && context.now < state.startAt) applyClaim(state, endpoint, context)
}

function run (state: AssignerState, context: RunContext): void {
  if (!state.active) return
  for (const key of state.due.takeDue(context.now)) {
    if (key === REBALANCE) rebalance(state, context.now)
    else if (key !== START) expireOwner(state, key, context)
  }
  if (context.now < state.startAt) return
  state.claims.clear()
  if (state.unowned.size > 0) assignUnowned(state, context, computeMaxEndpointsPerHost(state, context.now))
}

function isSettled (state: AssignerState, now: MonotonicMs): boolean {
  if (state.unowned.size > 0) return false
  for (const owner of state.owners.values()) {
    if (isLive(owner, now) && owner.endpoints.size > 0 && owner.appliedEpoch !== owner.epoch) return false
  }
  return true
}

/** Creates an assigner; it is inactive until `begin`. */
export function createAssigner (opts: AssignerOptions): Assigner {
  const state = createAssignerState(opts)
  return {
    begin: (start, context) => begin(state, start, context),
    stop: () => {
      state.active = false
      state.owners.clear()
      state.claims.clear()
      for (const key of [START, REBALANCE]) state.due.clear(key)
    },
    putEndpoint: (row, context) => putEndpoint(state, row, context),
    removeEndpoint: endpoint => removeEndpoint(state, endpoint),
    receiveRenew: (from, renew, context) => receiveRenew(state, from, renew, context),
    receiveHandBack: (from, handBack, context) => receiveHandBack(state, from, handBack, context),
    recordFencing: fencing => { state.highestFencing = Math.max(state.highestFencing, fencing) },
    run: context => run(state, context),
    getNextAt: () => state.active ? state.due.getNextAt() : undefined,
    listHosts: now => [...state.owners].filter(([, owner]) => isLive(owner, now)).map(([host]) => host).sort(),
    getOwned: endpoint => {
      const row = state.rows.get(endpoint)
      return row === undefined ? undefined : { row: row.row, owner: row.owner, fencing: row.fencing }
    },
    isSettled: now => isSettled(state, now),
    takeChanges: () => {
      const taken = { endpoints: [...state.changed], hosts: state.hostsChanged }
      state.changed.clear()
      state.hostsChanged = false
      return taken
    }
  }
}
