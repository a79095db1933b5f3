/** Tables and helpers that the parts of the grants system share. */
import { createLoadBackoff } from '@catkinferry/adapters.load-scheduler'
import type { LoadBackoff } from '@catkinferry/adapters.load-scheduler'
import { createPopularity } from '@catkinferry/adapters.popularity'
import type { Popularity } from '@catkinferry/adapters.popularity'
import type { Random } from '@catkinferry/core.random'
import { createDueTimes } from '@catkinferry/core.tables'
import type { DueTimes } from '@catkinferry/core.tables'
import type { AdapterKey, AttemptId, DurationMs, EndpointId, HostId, MonotonicMs, Order, OrderId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { EndpointState } from './endpointState.ts'
import type { ZoneSettings } from './zoneSettings.ts'

export interface GrantsOptions {
  readonly self: HostId
  readonly getSettings: () => ZoneSettings
  readonly random: Random
  /** End of the sub-lease on this host's clock. */
  readonly getSubLeaseUntil: () => MonotonicMs
  /** All hosts of the zone by the settings file, this one included. */
  readonly zoneHosts: readonly HostId[]
  readonly getLeaseHolder: () => HostId | undefined
  readonly findOwner: (endpoint: EndpointId) => HostId | undefined
  /** The engine knows a higher fencing number: the endpoint needs a new assignment. */
  readonly onFencingRefused: (endpoint: EndpointId, highestFencing: number, context: RunContext) => void
  readonly noteFencing: (highestFencing: number) => void
}

/** An order that was sent and has no result yet. */
export interface OrderRow {
  readonly orderId: OrderId
  readonly endpoint: EndpointId
  readonly order: Order
  readonly adapterKey?: AdapterKey
  readonly purpose: 'load' | 'evict' | 'claim' | 'role'
  /** The load that an eviction makes room for. */
  readonly loadId?: string
  cut: boolean
}

/** Where an attempt stands; ended ones are kept for a while so that late messages find them. */
export type AttemptRow = { readonly endpoint: EndpointId, readonly step: 'waiting' | 'granted' | 'ended' }

export interface GrantsCore {
  readonly opts: GrantsOptions
  readonly states: Map<EndpointId, EndpointState>
  readonly attempts: Map<AttemptId, AttemptRow>
  readonly orders: Map<OrderId, OrderRow>
  readonly loadEndpoints: Map<string, EndpointId>
  readonly popularity: Popularity
  readonly backoff: LoadBackoff
  /** Endpoints to visit in this run. */
  readonly dirty: Set<EndpointId>
  /** Endpoints whose state may have changed for other hosts. */
  readonly changed: Set<EndpointId>
  readonly visits: DueTimes<EndpointId>
  readonly polls: DueTimes<EndpointId>
  /** Deadlines of waiting asks, last possible ends of pins, and ends of the memory of ended attempts. */
  readonly attemptTimes: DueTimes<AttemptId>
  readonly createId: () => string
}

/** How long an ended attempt is remembered. */
const ENDED_KEPT_MS = 60_000
const ID_RANGE = 2 ** 30

/** Creates empty tables. */
export function createGrantsCore (opts: GrantsOptions): GrantsCore {
  const life = opts.random.nextInt(0, ID_RANGE).toString(36)
  let nextId = 1
  return {
    opts,
    states: new Map(),
    attempts: new Map(),
    orders: new Map(),
    loadEndpoints: new Map(),
    popularity: createPopularity(),
    backoff: createLoadBackoff({ random: opts.random }),
    dirty: new Set(),
    changed: new Set(),
    visits: createDueTimes(),
    polls: createDueTimes(),
    attemptTimes: createDueTimes(),
    createId: () => `${opts.self}.${life}.${nextId++}`
  }
}

/** Marks an endpoint for a visit in this run and for publication. */
export function markEndpoint (core: GrantsCore, endpoint: EndpointId): void {
  core.dirty.add(endpoint)
  core.changed.add(endpoint)
}

/** Plans a visit, keeping an earlier one. */
export function planVisit (core: GrantsCore, state: EndpointState, at: MonotonicMs): void {
  const { endpoint } = state.owned.row
  const planned = state.nextVisitAt
  if (planned !== undefined && planned <= at) return
  state.nextVisitAt = at
  core.visits.set(endpoint, at)
}

/** Records that an attempt is over or unwanted. */
export function setEnded (core: GrantsCore, attemptId: AttemptId, endpoint: EndpointId, now: MonotonicMs): void {
  core.attempts.set(attemptId, { endpoint, step: 'ended' })
  core.attemptTimes.set(attemptId, now + ENDED_KEPT_MS)
}

/** Computes a moving average. */
export function computeSmoothed (old: DurationMs, sample: DurationMs): DurationMs {
  const SMOOTHING = 0.2
  return old + SMOOTHING * (sample - old)
}

/** Tells whether the sub-lease is live and the endpoint is ours. */
export function isOwnerNow (core: GrantsCore, state: EndpointState, now: MonotonicMs): boolean {
  return state.active && core.opts.getSubLeaseUntil() > now
}
