/** The state that an owner keeps for each of its endpoints, from assignment until hand-back or loss; all grant modules use it. */
import { createSlots } from '@catkinferry/adapters.residency'
import type { Slots } from '@catkinferry/adapters.residency'
import type { AdapterKey, DurationMs, EndpointReport, HostId, MonotonicMs, OrderId } from '@catkinferry/core.types'
import type { OwnedRow } from '@catkinferry/zone.ownership'
import { createGrantQueue } from './grantQueue.ts'
import type { GrantQueue } from './grantQueue.ts'
import { createInventory } from './inventory.ts'
import type { Inventory } from './inventory.ts'
import { createPins } from './pins.ts'
import type { Pins } from './pins.ts'

/** A report with the bounds of the time at which the engine produced it. */
export interface ReceivedReport {
  readonly report: EndpointReport
  readonly takenAt: MonotonicMs
  readonly receivedAt: MonotonicMs
}

/** An adapter load in progress: first budget is requested, then a slot is freed if none is free, then the load is ordered. */
export interface LoadRow {
  readonly loadId: string
  readonly adapterKey: AdapterKey
  step: 'asking' | 'evicting' | 'loading'
  weight: number
  readonly requestedAt: MonotonicMs
  resendAt: MonotonicMs
  givenUntil: MonotonicMs
  sentAt: MonotonicMs
  readonly prefetch: boolean
}

export interface EndpointState {
  owned: OwnedRow
  /** Assigned and neither handed back nor dropped. */
  active: boolean
  readonly pins: Pins
  readonly queue: GrantQueue
  readonly slots: Slots
  inventory: Inventory | undefined
  lastReport: ReceivedReport | undefined
  polledAt: MonotonicMs | undefined
  unreachableSince: MonotonicMs | undefined
  /** The engine is known to refuse fencing numbers lower than this owner's. */
  fencingAccepted: boolean
  /** Time from which the engine refuses them; `Infinity` while that is not known. */
  fencingAcceptedAt: MonotonicMs
  /** A report has been applied that no order of an earlier owner can have outdated. */
  residencyKnown: boolean
  readonly loads: Map<AdapterKey, LoadRow>
  readonly openOrders: Set<OrderId>
  /** When an order last ended without a known outcome. */
  unsettledAt: MonotonicMs
  /** Adapter that gets no more grants, so that its slot becomes free. */
  draining: AdapterKey | undefined
  /** Requests that the engine reports in excess of the pins of this owner. */
  unknownRunning: number
  /** When attempts ended since the last report. */
  endedAt: MonotonicMs[]
  /** When an attempt last ended on an adapter. */
  readonly lastEndAt: Map<AdapterKey, MonotonicMs>
  /** The lease holder has recalled the endpoint: no new grants or loads. */
  recalled: boolean
  /** Adapters to reload after an engine restart, most popular first. */
  warming: AdapterKey[]
  expectedLoadMs: DurationMs
  expectedRunMs: DurationMs
  /** Origins that were queried for their active attempts, to release pins no longer in use, with the time of the query. */
  readonly reconciling: Map<HostId, MonotonicMs>
  nextUpdateAt: MonotonicMs | undefined
  /** The next claim order, which makes this owner's fencing number known to the engine, is not sent before this time. */
  nextClaimAt: MonotonicMs
}

/** Initial value of the expected run time of a request. */
const INITIAL_RUN_MS = 2_000

/** Creates the state of a newly assigned endpoint; grants of earlier owners are unknown. */
export function createEndpointState (opts: { readonly owned: OwnedRow, readonly hosts: readonly HostId[], readonly expectedLoadMs: DurationMs, readonly maxRunMs: DurationMs, readonly now: MonotonicMs }): EndpointState {
  return {
    owned: opts.owned,
    active: true,
    pins: createPins(),
    queue: createGrantQueue(),
    slots: createSlots(),
    inventory: createInventory({ hosts: opts.hosts, since: opts.now, maxRunMs: opts.maxRunMs }),
    lastReport: undefined,
    polledAt: undefined,
    unreachableSince: undefined,
    fencingAccepted: false,
    fencingAcceptedAt: Infinity,
    residencyKnown: false,
    loads: new Map(),
    openOrders: new Set(),
    unsettledAt: -Infinity,
    draining: undefined,
    unknownRunning: 0,
    endedAt: [],
    lastEndAt: new Map(),
    recalled: opts.owned.recalled,
    warming: [],
    expectedLoadMs: opts.expectedLoadMs,
    expectedRunMs: INITIAL_RUN_MS,
    reconciling: new Map(),
    nextUpdateAt: undefined,
    nextClaimAt: -Infinity
  }
}

/** Counts the batch places known to be in use. */
export function countOccupied (state: EndpointState): number {
  return state.pins.getSize() + state.unknownRunning
}

/** Counts the slots that hold no pinned adapter. */
export function countFreeSlots (state: EndpointState): number {
  return Math.max(0, (state.lastReport?.report.slots ?? 0) - state.pins.countAdapters())
}

/** Returns the time from which no order of an earlier owner can change which adapters the engine holds. */
export function getOrdersSettledAt (state: EndpointState): MonotonicMs {
  return state.fencingAccepted ? Math.min(state.fencingAcceptedAt, state.owned.grantAfter) : state.owned.grantAfter
}

/** Records that the engine refuses the orders of earlier owners. */
export function markFencingAccepted (state: EndpointState, at: MonotonicMs): void {
  if (!state.fencingAccepted) state.fencingAcceptedAt = at
  state.fencingAccepted = true
}
