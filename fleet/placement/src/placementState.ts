/** State of placement on a core host: engines, requests for adapters, and orders in progress. Empty unless the host leads. */
import type { StarvedAdapters, StarvedLoadShare } from '@catkinferry/adapters.load-scheduler'
import type { Popularity } from '@catkinferry/adapters.popularity'
import type { AdapterName, DurationMs, EndpointId, EngineOrder, EngineOrderOutcome, HostId, HostLocation, ModelId, MonotonicMs, Pool, RegionId, RouteTable, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { EndpointHealthTracker } from './endpointHealth.ts'
import type { EngineState, OrderId, Slot } from './engineState.ts'
import type { SlotMirror } from './slotMirror.ts'
import type { EndpointPublisher } from './endpointPublisher.ts'
import type { LoadCounts } from './loadCounts.ts'
import type { LoadHistory } from './loadHistory.ts'
import type { LoadPolls } from './loadPolls.ts'
import type { LoadTotals } from './loadTotals.ts'

/** An order for the shell of the host to send. */
export interface OrderCall {
  readonly endpoint: EndpointId
  /** `ip:port` */
  readonly address: string
  readonly order: EngineOrder
  readonly fencing: number
  /** Whether it may still be sent: this host leads in the same term, and a majority has answered it recently. */
  readonly isAllowed: (now: MonotonicMs) => boolean
  /** Called once more if a response arrives after the order counted as unanswered. */
  readonly onOutcome: (outcome: EngineOrderOutcome) => void
}

export interface PlacementOptions {
  readonly self: HostId
  /** Term in which this host leads and knows everything committed; undefined while it does not. */
  readonly getLeaderTerm: () => number | undefined
  /** Time after a change of leader until the previous leader's orders have ended and this host may give orders. */
  readonly takeoverDelayMs: number
  /** Longest time by which the endpoint list is behind. */
  readonly listLagMs: number
  /**
   * Whether a majority of the voters has answered this leader so recently that no other can have been elected. A leader that is cut off
   * gives no orders in the time before it steps down: its successor could not know of them.
   */
  readonly hasRecentQuorum: (now: MonotonicMs) => boolean
  readonly getRoutes: () => RouteTable | undefined
  /** The active version of an adapter. */
  readonly getVersion: (model: ModelId, adapter: AdapterName) => number
  readonly getRegion: (zone: ZoneId) => RegionId
  readonly listEntryHosts: (now: MonotonicMs) => readonly HostId[]
  /** The other core hosts. */
  readonly listOtherCoreHosts: (now: MonotonicMs) => readonly HostId[]
  /** Zone and region of an entry host. */
  readonly getLocation: (host: HostId) => Pick<HostLocation, 'zone' | 'region'> | undefined
  readonly sendOrder: (call: OrderCall) => void
  /** Engines refuse the orders of a former leader once they have one of its successor. */
  readonly enginesCheckFencing: boolean
  /** Whether entry hosts may learn of an endpoint of this software version; all may be published if absent. */
  readonly isPublishable?: (pool: string, softwareVersion: string | undefined, now: MonotonicMs) => boolean
  /** Share of the loads that go to adapters refused again and again; that of `adapters.load-scheduler` if absent. */
  readonly starvedLoadShare?: number
  /** Starts a read of the endpoint list; the result comes back through `receiveList`. */
  readonly pollList: () => void
}

/** A `load.ask` that waits for an adapter. */
export interface Waiter {
  readonly host: HostId
  readonly askId: number
  readonly askedAt: MonotonicMs
  /** How long it waits for a load to begin, from when this leader may order one. */
  readonly waitMs: DurationMs
  /** It is refused then at the latest. */
  readonly deadlineAt: MonotonicMs
  readonly priority: number
  /** When the adapter must be loaded for the answer to be on time. */
  readonly onTimeUntil: MonotonicMs
  /** The same work was refused before. */
  readonly isReturning: boolean
  /** Identifies the work over its attempts; undefined if the host cannot tell. */
  readonly workId: string | undefined
}

/** An adapter that is to be resident on an engine, or on one more engine. */
export interface PlacementRequest {
  readonly pool: string
  readonly model: ModelId
  readonly adapter: AdapterName
  readonly version: number
  /** Zone and region of the entry host that made the request first; undefined if none did. */
  readonly zone: ZoneId | undefined
  readonly region: RegionId | undefined
  /** Only engines of this version of their software serve it; undefined if any do. */
  readonly softwareVersion: string | undefined
  /** Engines with a replica already, where one more is requested; otherwise empty. */
  readonly existingReplicas: ReadonlySet<EndpointId>
  readonly createdAt: MonotonicMs
  /** When the request is dropped if it has no waiters. */
  readonly expiresAt: MonotonicMs
  avoid: ReadonlySet<EndpointId>
  waiters: Waiter[]
}

/** A sequence of orders to one engine for one adapter or base model. */
export interface Job {
  readonly key: string
  readonly endpoint: EndpointId
  readonly steps: EngineOrder[]
  /** The job loads nothing from the weight store. */
  readonly isCached: boolean
  readonly startedAt: MonotonicMs
  nextAt: MonotonicMs
  sentAt: MonotonicMs
  /** When the current step began. */
  stepStartedAt: MonotonicMs
  accepted: boolean
  /** The order that was sent last. */
  lastOrderId?: OrderId
  /** Orders of the current step in a row that were not answered in time. */
  unanswered: number
  /** When the order was sent that the engine accepted; undefined before. */
  acceptedAt?: MonotonicMs
  isAwaitingOutcome: boolean
}

/** An order that was sent, with its outcome. */
export interface SentOrder {
  readonly orderId: OrderId
  readonly job: Job
  readonly order: EngineOrder
  readonly outcome: EngineOrderOutcome
}

export interface PlacementState {
  readonly opts: PlacementOptions
  /** Term in which this host leads; undefined while it does not. */
  term: number | undefined
  /** When this host may give orders: after the takeover delay of its term, once a list shows what the previous leader has ordered. */
  ordersAllowedFrom: MonotonicMs
  termStartedAt: MonotonicMs
  /** When the read of the list that is awaited began. */
  listRequestedAt: MonotonicMs | undefined
  /** When the endpoint list is polled next. */
  nextListAt: MonotonicMs
  lastRunAt: MonotonicMs
  readonly engines: Map<EndpointId, EngineState>
  readonly requests: Map<string, PlacementRequest>
  /** Recent request rates by slot key. */
  readonly popularity: Popularity
  /** Work whose load was refused recently, and loads begun recently. */
  readonly history: LoadHistory
  /** Adapters refused again and again, and by pool the share of loads that they get. */
  readonly starved: StarvedAdapters
  readonly starvedShares: Map<string, StarvedLoadShare>
  readonly loadCounts: LoadCounts
  /** When adapters that are refused again and again are reported next. */
  nextUnloadedReportAt: MonotonicMs
  readonly loadPolls: LoadPolls
  readonly jobs: Map<string, Job>
  lastOrderId: OrderId
  /** Start times of base model loads, oldest first. */
  modelLoadStarts: MonotonicMs[]
  readonly publisher: EndpointPublisher
  readonly mirror: SlotMirror
  readonly totals: LoadTotals
  readonly health: EndpointHealthTracker
  /** When endpoint health is evaluated next. */
  nextHealthAt: MonotonicMs
  /** Outcomes received since the last run. */
  readonly outcomes: SentOrder[]
}

export function findPool (state: PlacementState, name: string): Pool | undefined {
  return state.opts.getRoutes()?.pools.find(pool => pool.name === name)
}

export function listPoolEngines (state: PlacementState, pool: string): EngineState[] {
  return [...state.engines.values()].filter(({ listed }) => listed.pool === pool)
}

/** Whether a slot has an older version than the active one. */
export function isOutdated (state: PlacementState, slot: Slot): boolean {
  return slot.version < state.opts.getVersion(slot.model, slot.adapter)
}

export function reportInfo (context: RunContext, message: string, fields: Readonly<Record<string, unknown>>): void {
  context.emit({ kind: 'log', level: 'info', message, fields: { step: 'placement', ...fields } })
}
