/** Tables of the grants system, created at startup, and helpers; shared by the modules of the system. */
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
  /** All hosts of the zone from the settings file, including this one. */
  readonly zoneHosts: readonly HostId[]
  readonly getLeaseHolder: () => HostId | undefined
  readonly findOwner: (endpoint: EndpointId) => HostId | undefined
  /** Called when an engine refused an order because it knows a higher fencing number: the endpoint needs a new assignment. */
  readonly onFencingRefused: (endpoint: EndpointId, highestFencing: number, context: RunContext) => void
  readonly recordFencing: (highestFencing: number) => void
}

/** An order that was sent and whose result is pending. */
export interface OrderRow {
  readonly orderId: OrderId
  readonly endpoint: EndpointId
  readonly order: Order
  readonly adapterKey?: AdapterKey
  readonly purpose: 'load' | 'evict' | 'claim' | 'role'
  /** The load that is ordered, or for which an eviction frees a slot. */
  readonly loadId?: string
  cut: boolean
}

/** Progress of an attempt. Ended ones are kept for a while, so that late messages about them are recognized. */
export type AttemptRow = { readonly endpoint: EndpointId, readonly step: 'waiting' | 'granted' | 'ended' }

export interface GrantsCore {
  readonly opts: GrantsOptions
  readonly states: Map<EndpointId, EndpointState>
  readonly attempts: Map<AttemptId, AttemptRow>
  readonly orders: Map<OrderId, OrderRow>
  readonly loadEndpoints: Map<string, EndpointId>
  readonly popularity: Popularity
  readonly backoff: LoadBackoff
  /** Endpoints to update in this run. */
  readonly dirty: Set<EndpointId>
  /** Endpoints whose published state may have changed. */
  readonly changed: Set<EndpointId>
  readonly updateTimes: DueTimes<EndpointId>
  readonly pollTimes: DueTimes<EndpointId>
  /** Deadlines of waiting requests, latest possible ends of pins, and times at which ended attempts are forgotten. */
  readonly attemptTimes: DueTimes<AttemptId>
  readonly createId: () => string
}

/** Time for which an ended attempt is kept. */
const ENDED_RETENTION_MS = 60_000
const ID_RANGE = 2 ** 30

/** Creates empty tables. */
export function createGrantsCore (opts: GrantsOptions): GrantsCore {
  const processId = opts.random.nextInt(0, ID_RANGE).toString(36)
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
    updateTimes: createDueTimes(),
    pollTimes: createDueTimes(),
    attemptTimes: createDueTimes(),
    createId: () => `${opts.self}.${processId}.${nextId++}`
  }
}

/** Marks an endpoint to be updated in this run and published. */
export function markEndpoint (core: GrantsCore, endpoint: EndpointId): void {
  core.dirty.add(endpoint)
  core.changed.add(endpoint)
}

/** Schedules an update of an endpoint, unless an earlier one is scheduled. */
export function scheduleUpdate (core: GrantsCore, state: EndpointState, at: MonotonicMs): void {
  const { endpoint } = state.owned.row
  const planned = state.nextUpdateAt
  if (planned !== undefined && planned <= at) return
  state.nextUpdateAt = at
  core.updateTimes.set(endpoint, at)
}

/** Records that an attempt is over or unwanted. */
export function markEnded (core: GrantsCore, attemptId: AttemptId, endpoint: EndpointId, now: MonotonicMs): void {
  core.attempts.set(attemptId, { endpoint, step: 'ended' })
  core.attemptTimes.set(attemptId, now + ENDED_RETENTION_MS)
}

/** Computes an exponential moving average. */
export function computeMovingAverage (old: DurationMs, sample: DurationMs): DurationMs {
  const SMOOTHING = 0.2
  return old + SMOOTHING * (sample - old)
}

/** Returns whether this host owns the endpoint under a live sub-lease. */
export function isOwnerNow (core: GrantsCore, state: EndpointState, now: MonotonicMs): boolean {
  return state.active && core.opts.getSubLeaseUntil() > now
}
