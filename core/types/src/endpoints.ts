/** Endpoints: how they are listed, what engines report, and the orders to engines. */
import type { AdapterKey, AdapterName, DurationMs, EndpointId, ModelId, MonotonicMs, RegionId, WallMs, ZoneId } from './ids.ts'

export const EndpointKind = { ENGINE: 'engine', SERVICE: 'service' } as const
export type EndpointKind = typeof EndpointKind[keyof typeof EndpointKind]

/** An endpoint as listed by the platform or in the settings. */
export interface EndpointRow {
  readonly endpoint: EndpointId
  readonly kind: EndpointKind
  readonly zone: ZoneId
  readonly region: RegionId
  /** `http://ip:port` */
  readonly url: string
  /** The pool (role) that it serves: a model pool for engines, a route for services. */
  readonly pool: string
  readonly model?: ModelId
  readonly leaving: boolean
}

/** State that an engine reports about itself; it lags behind. */
export interface EndpointReport {
  /** Changes whenever the engine restarts. */
  readonly instanceId: string
  readonly resident: readonly AdapterKey[]
  readonly loading: readonly AdapterKey[]
  /** Running requests by adapter. */
  readonly running: Readonly<Record<AdapterKey, number>>
  readonly runningCount: number
  readonly queuedCount: number
  readonly batchLimit: number
  readonly slots: number
  readonly pool: string
  /** True when the engine refuses orders with an old fencing token. */
  readonly checksFencing: boolean
  readonly highestFencing: number
  /** Age of the reported load when the engine answered. */
  readonly ageMs: DurationMs
}

/** An order to an engine. Orders are idempotent. */
export type Order =
  | { readonly kind: 'load', readonly adapterKey: AdapterKey }
  | { readonly kind: 'evict', readonly adapterKey: AdapterKey }
  | { readonly kind: 'setRole', readonly pool: string }

/** Outcome of an order, as far as known. */
export type OrderOutcome =
  | { readonly kind: 'done', readonly tookMs: DurationMs }
  | { readonly kind: 'refusedFencing', readonly highestFencing: number }
  | { readonly kind: 'failed', readonly reason: string }
  /** Never sent, because the time limit had passed. */
  | { readonly kind: 'notSent' }
  /** Sent, but the answer was lost. */
  | { readonly kind: 'unknown' }

/** A base model on an engine, with its adapters, as listed by the platform. */
export interface ListedModel {
  readonly model: ModelId
  readonly adapters: ReadonlyArray<{ readonly adapter: AdapterName, readonly version: number }>
}

/** One run of an endpoint, as listed by the platform with a lag. */
export interface ListedEndpoint {
  /** Identifies one run; usually changes on a restart. */
  readonly endpoint: EndpointId
  /** Start time; distinguishes a restart under the same name. */
  readonly bornAt?: WallMs
  /** Version of its software, not of its weights; undefined if the list does not tell. */
  readonly softwareVersion?: string
  readonly pool: string
  readonly zone: ZoneId
  /** `ip:port` */
  readonly address: string
  readonly leaving: boolean
  /** Undefined when the list does not contain them. */
  readonly models?: readonly ListedModel[]
}

/** An order to an engine of a fleet. A load without an adapter loads the base model. */
export interface EngineOrder {
  readonly kind: 'load' | 'evict'
  readonly model: ModelId
  readonly adapter?: AdapterName
  readonly version?: number
}

/** Answer of an engine to an order. */
export const EngineOrderOutcome = {
  /** The ordered state already exists. */
  HOLDS: 'holds',
  /** The order is being executed. */
  ACCEPTED: 'accepted',
  /** Another order is in progress. */
  BUSY: 'busy',
  /** A higher fencing token was seen. */
  FENCED: 'fenced',
  /** Another endpoint has the address now, or the engine does not know the model. */
  MISDIRECTED: 'misdirected',
  REFUSED: 'refused',
  /** No answer: the order may have been accepted, or may be executed later. */
  UNANSWERED: 'unanswered',
  /** The order never left this host: the engine cannot be reached. */
  NOT_SENT: 'notSent',
  /** The order never left this host: when it could be sent, the host might no longer be the leader. */
  POSTPONED: 'postponed'
} as const
export type EngineOrderOutcome = typeof EngineOrderOutcome[keyof typeof EngineOrderOutcome]

/** What an endpoint last said of the requests that it takes from all entry hosts together. */
export interface RequestLimit {
  /** Requests per second; undefined if it names no limit any more. */
  readonly perSecond?: number
  /** Requests per second that it can turn away for want of room without crashing; undefined if it can turn away any number. */
  readonly rejectionsPerSecond?: number
  /** When the request was sent whose response said so, on the clock of this host. */
  readonly at: MonotonicMs
}
