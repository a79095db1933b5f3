/** Types of the zone simulation for tests. */
import type { AdapterKey, EndpointReport, EndpointRow, HostId, Order, OrderId } from '@catkinferry/core.types'
import type { GrantMessage, PeerMessage } from '@catkinferry/wire.messages'
import type { ZoneCoordination } from '@catkinferry/zone.coordination'

export interface Engine {
  readonly row: EndpointRow
  readonly slots: number
  readonly batchLimit: number
  readonly checksFencing: boolean
  instance: number
  restartedAt: number
  fencing: number
  reachable: boolean
  failLoads: boolean
  readonly resident: Set<AdapterKey>
  readonly loading: Set<AdapterKey>
  readonly running: Map<string, { readonly adapterKey: AdapterKey, readonly endsAt: number }>
  /** Earlier states, newest last, for delayed reports. */
  readonly snapshots: { readonly at: number, readonly report: EndpointReport }[]
}

export interface SimulatedHost {
  readonly host: HostId
  coordination: ZoneCoordination
  alive: boolean
  pausedUntil: number
  leaving: boolean
  readonly cutOrders: Set<OrderId>
}

export interface AppliedOrder {
  readonly at: number
  readonly host: HostId
  readonly endpoint: string
  readonly order: Order
  readonly fencing: number
}

export interface ReceivedGrant {
  readonly at: number
  readonly host: HostId
  readonly message: Extract<GrantMessage, { kind: 'grant.given' | 'grant.refused' }>
}

export interface Faults {
  lossShare: number
  duplicateShare: number
  maxDelayMs: number
  /** Fraction of orders whose answers are lost. */
  lostAnswerShare: number
  /** Fraction of orders and requests that are slow, up to the times below. */
  slowShare: number
  maxSendMs: number
  maxOrderMs: number
  maxReportAgeMs: number
  /** Time that every request takes to its engine, in addition to the random delay. */
  fixedSendMs: number
}

/** What a requested attempt does once it is granted. */
export interface AttemptPlan {
  readonly runMs: number
  /** Starts this long after the grant arrives. */
  readonly startAfterMs: number
}

export interface ZoneSimulation {
  readonly hosts: Map<HostId, SimulatedHost>
  readonly engines: Map<string, Engine>
  readonly orders: AppliedOrder[]
  readonly grants: ReceivedGrant[]
  readonly violations: string[]
  readonly faults: Faults
  readonly getNow: () => number
  readonly runFor: (durationMs: number) => void
  readonly addEngine: (opts: { endpoint: string, zone?: string, slots?: number, batchLimit?: number, checksFencing?: boolean, resident?: readonly AdapterKey[] }) => Engine
  readonly requestGrant: (opts: { host: HostId, endpoint?: string, to?: HostId, adapterKey: AdapterKey, attemptId: string, runMs?: number, startAfterMs?: number, remainingMs?: number, serviceClass?: 'urgent' | 'standard' | 'overnight' }) => void
  readonly send: (from: HostId, to: HostId, message: PeerMessage) => void
  readonly cut: (a: HostId, b: HostId) => void
  readonly heal: () => void
  readonly crash: (host: HostId) => void
  readonly restart: (host: HostId) => void
  readonly pause: (host: HostId, durationMs: number) => void
  readonly restartEngine: (endpoint: string) => void
  readonly beginShutdown: (host: HostId) => void
  readonly findHolder: () => HostId | undefined
  readonly findOwner: (endpoint: string) => HostId | undefined
  /** When the host's current sub-lease ends. */
  readonly findSubLeaseEnd: (host: HostId) => number
  readonly countMessages: (kind: string) => number
}

export interface ZoneSimulationOptions {
  readonly hosts: number
  readonly seed: number
  readonly zones?: number
  readonly settings?: Readonly<Record<string, number>>
}
