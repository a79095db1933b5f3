/** The tables of the holder: engines, asks for adapters, and orders under way. */
import type { AdapterName, EndpointId, EngineOrder, EngineOrderOutcome, HostId, HostPlace, ModelId, MonotonicMs, Pool, RegionId, RouteTable, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { EndpointHealthBoard } from './endpointHealth.ts'
import type { EngineState, Slot } from './engineState.ts'
import type { EndpointPublisher } from './endpointPublisher.ts'
import type { LoadTotals } from './loadTotals.ts'

/** An order as handed to the shell. */
export interface OrderCall {
  readonly endpoint: EndpointId
  /** `ip:port` */
  readonly address: string
  readonly order: EngineOrder
  readonly fencing: number
  readonly onOutcome: (outcome: EngineOrderOutcome) => void
}

export interface PlacementOptions {
  readonly self: HostId
  /** Term in which this host leads and knows all that is committed; undefined while it does not. */
  readonly getLeadTerm: () => number | undefined
  /** Time after which the orders of the holder before have ended, and orders of this one may begin. */
  readonly handOverMs: number
  readonly getRoutes: () => RouteTable | undefined
  /** The version of an adapter that is in force. */
  readonly getVersion: (model: ModelId, adapter: AdapterName) => number
  readonly getRegion: (zone: ZoneId) => RegionId
  readonly listEntries: (now: MonotonicMs) => readonly HostId[]
  /** Where an entry host stands. */
  readonly getPlace: (host: HostId) => Pick<HostPlace, 'zone' | 'region'> | undefined
  readonly sendOrder: (call: OrderCall) => void
  readonly pollList: () => void
}

/** An ask that waits for an adapter. */
export interface Waiter {
  readonly host: HostId
  readonly askId: number
  readonly deadlineAt: MonotonicMs
}

/** An adapter that is wanted on an engine, or on one engine more. */
export interface Wish {
  readonly pool: string
  readonly model: ModelId
  readonly adapter: AdapterName
  readonly version: number
  readonly zone: ZoneId | undefined
  readonly region: RegionId | undefined
  /** Engines that have it and are not enough. */
  readonly beyond: ReadonlySet<EndpointId>
  readonly since: MonotonicMs
  readonly until: MonotonicMs
  avoid: ReadonlySet<EndpointId>
  priority: number
  waiters: Waiter[]
}

/** Orders to one engine for one adapter or base model, one after the other. */
export interface Job {
  readonly key: string
  readonly endpoint: EndpointId
  readonly steps: EngineOrder[]
  readonly isHeld: boolean
  readonly since: MonotonicMs
  nextAt: MonotonicMs
  sentAt: MonotonicMs
  /** When its present step began. */
  stepSince: MonotonicMs
  accepted: boolean
  calling: boolean
}

export interface PlacementState {
  readonly opts: PlacementOptions
  term: number | undefined
  ordersFrom: MonotonicMs
  nextListAt: MonotonicMs
  lastRunAt: MonotonicMs
  readonly engines: Map<EndpointId, EngineState>
  readonly wishes: Map<string, Wish>
  readonly jobs: Map<string, Job>
  /** Starts of loads of base models, oldest first. */
  modelLoads: MonotonicMs[]
  readonly publisher: EndpointPublisher
  readonly totals: LoadTotals
  readonly health: EndpointHealthBoard
  /** When the health of endpoints is weighed again. */
  healthAt: MonotonicMs
  /** Outcomes that came in since the last run. */
  readonly outcomes: Array<{ readonly job: Job, readonly outcome: EngineOrderOutcome }>
}

export function findPool (state: PlacementState, name: string): Pool | undefined {
  return state.opts.getRoutes()?.pools.find(pool => pool.name === name)
}

export function listPoolEngines (state: PlacementState, pool: string): EngineState[] {
  return [...state.engines.values()].filter(({ listed }) => listed.pool === pool)
}

/** Whether a slot has an older version than the one in force. */
export function isOutdated (state: PlacementState, slot: Slot): boolean {
  return slot.version < state.opts.getVersion(slot.model, slot.adapter)
}

export function reportInfo (context: RunContext, message: string, fields: Readonly<Record<string, unknown>>): void {
  context.emit({ kind: 'log', level: 'info', message, fields: { step: 'placement', ...fields } })
}
