/** What the owner keeps of one endpoint. */
import { createSlots } from '@catkinferry/adapters.residency'
import type { Slots } from '@catkinferry/adapters.residency'
import type { AdapterKey, DurationMs, EndpointReport, HostId, MonotonicMs, OrderId } from '@catkinferry/core.types'
import type { OwnedRow } from '@catkinferry/zone.ownership'
import { createAskQueue } from './askQueue.ts'
import type { AskQueue } from './askQueue.ts'
import { createInventory } from './inventory.ts'
import type { Inventory } from './inventory.ts'
import { createPins } from './pins.ts'
import type { Pins } from './pins.ts'

/** A report with the bounds of when the engine looked. */
export interface SeenReport {
  readonly report: EndpointReport
  readonly takenAt: MonotonicMs
  readonly receivedAt: MonotonicMs
}

/** A load on its way: budget, then eviction where no slot is free, then the order. */
export interface LoadRow {
  readonly loadId: string
  readonly adapterKey: AdapterKey
  step: 'asking' | 'evicting' | 'loading'
  weight: number
  readonly askedAt: MonotonicMs
  resendAt: MonotonicMs
  givenUntil: MonotonicMs
  sentAt: MonotonicMs
  readonly prefetch: boolean
}

export interface EndpointState {
  owned: OwnedRow
  /** Assigned, and not handed back. */
  active: boolean
  readonly pins: Pins
  readonly queue: AskQueue
  readonly slots: Slots
  inventory: Inventory | undefined
  seen: SeenReport | undefined
  polledAt: MonotonicMs | undefined
  unreachableSince: MonotonicMs | undefined
  /** The engine is known to refuse lower fencing numbers than ours. */
  fencingTaken: boolean
  /** Since when, if it does. */
  fencingTakenAt: MonotonicMs
  /** A report has been joined that no order of an earlier owner can have outdated. */
  residencyKnown: boolean
  readonly loads: Map<AdapterKey, LoadRow>
  readonly openOrders: Set<OrderId>
  /** When an order last ended without a known outcome. */
  unsettledAt: MonotonicMs
  /** Gets no grants, so that its slot comes free. */
  draining: AdapterKey | undefined
  /** Requests that run there without a pin of ours. */
  unknownRunning: number
  /** Ends of attempts since the last report. */
  endedAt: MonotonicMs[]
  /** When an attempt last ended on an adapter. */
  readonly lastEndAt: Map<AdapterKey, MonotonicMs>
  /** The lease holder wants it back: no new grants or loads. */
  recalled: boolean
  /** Adapters to load again after the engine restarted, hottest first. */
  warming: AdapterKey[]
  expectedLoadMs: DurationMs
  expectedRunMs: DurationMs
  /** Origins asked whether old pins are still in use. */
  readonly reconciling: Map<HostId, MonotonicMs>
  nextVisitAt: MonotonicMs | undefined
  /** The next order that teaches the fencing number is not sent before this. */
  claimAfter: MonotonicMs
}

const INITIAL_RUN_MS = 2_000

/** Creates the state of an endpoint whose earlier grants are unknown. */
export function createEndpointState (opts: { readonly owned: OwnedRow, readonly hosts: readonly HostId[], readonly expectedLoadMs: DurationMs, readonly maxRunMs: DurationMs, readonly now: MonotonicMs }): EndpointState {
  return {
    owned: opts.owned,
    active: true,
    pins: createPins(),
    queue: createAskQueue(),
    slots: createSlots(),
    inventory: createInventory({ hosts: opts.hosts, since: opts.now, maxRunMs: opts.maxRunMs }),
    seen: undefined,
    polledAt: undefined,
    unreachableSince: undefined,
    fencingTaken: false,
    fencingTakenAt: Infinity,
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
    nextVisitAt: undefined,
    claimAfter: -Infinity
  }
}

/** Counts the batch places in use, as far as known. */
export function countOccupied (state: EndpointState): number {
  return state.pins.getSize() + state.unknownRunning
}

/** Counts the slots that hold no pinned adapter. */
export function countFreeSlots (state: EndpointState): number {
  return Math.max(0, (state.seen?.report.slots ?? 0) - state.pins.countAdapters())
}

/** From when on no order of an earlier owner changes what the engine holds. */
export function getOrdersSettledAt (state: EndpointState): MonotonicMs {
  return state.fencingTaken ? Math.min(state.fencingTakenAt, state.owned.grantAfter) : state.owned.grantAfter
}

/** Notes that the engine refuses the orders of earlier owners. */
export function noteFencingTaken (state: EndpointState, at: MonotonicMs): void {
  if (!state.fencingTaken) state.fencingTakenAt = at
  state.fencingTaken = true
}
