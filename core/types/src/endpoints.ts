/** Endpoints as the system sees them. */
import type { AdapterKey, AdapterName, DurationMs, EndpointId, ModelId, RegionId, WallMs, ZoneId } from './ids.ts'

export const EndpointKind = { ENGINE: 'engine', SERVICE: 'service' } as const
export type EndpointKind = typeof EndpointKind[keyof typeof EndpointKind]

/** An endpoint as the platform list or the settings name it. */
export interface EndpointRow {
  readonly endpoint: EndpointId
  readonly kind: EndpointKind
  readonly zone: ZoneId
  readonly region: RegionId
  /** `http://ip:port` */
  readonly url: string
  /** The pool (role) it serves: a model pool for engines, a route for services. */
  readonly pool: string
  readonly model?: ModelId
  readonly leaving: boolean
}

/** What an engine reports of itself, with a lag. */
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
  /** True when the engine refuses orders with an old fencing number. */
  readonly checksFencing: boolean
  readonly highestFencing: number
  /** How old the figures were when the engine answered. */
  readonly ageMs: DurationMs
}

/** An order to an engine. Orders are idempotent. */
export type Order =
  | { readonly kind: 'load', readonly adapterKey: AdapterKey }
  | { readonly kind: 'evict', readonly adapterKey: AdapterKey }
  | { readonly kind: 'setRole', readonly pool: string }

/** How an order ended, as far as is known. */
export type OrderOutcome =
  | { readonly kind: 'done', readonly tookMs: DurationMs }
  | { readonly kind: 'refusedFencing', readonly highestFencing: number }
  | { readonly kind: 'failed', readonly reason: string }
  /** Never sent: the time limit had passed. */
  | { readonly kind: 'notSent' }
  /** Sent, answer lost. */
  | { readonly kind: 'unknown' }

/** A base model on an engine, with its adapters, as a platform's list names them. */
export interface ListedModel {
  readonly model: ModelId
  readonly adapters: ReadonlyArray<{ readonly adapter: AdapterName, readonly version: number }>
}

/** One start of an endpoint, as a platform's list names it, with a lag. */
export interface ListedEndpoint {
  /** Names one start; mostly another after a restart. */
  readonly endpoint: EndpointId
  /** When it started; tells a restart under the same name. */
  readonly bornAt?: WallMs
  readonly pool: string
  readonly zone: ZoneId
  /** `ip:port` */
  readonly address: string
  readonly leaving: boolean
  /** Undefined where the entry does not say. */
  readonly models?: readonly ListedModel[]
}

/** An order to an engine of a fleet. A load without an adapter loads the base model. */
export interface EngineOrder {
  readonly kind: 'load' | 'evict'
  readonly model: ModelId
  readonly adapter?: AdapterName
  readonly version?: number
}

/** How an engine answered an order. */
export const EngineOrderOutcome = {
  /** What was ordered holds already. */
  HOLDS: 'holds',
  /** It is being carried out. */
  ACCEPTED: 'accepted',
  /** Another order is in progress. */
  BUSY: 'busy',
  /** A higher fencing token was seen. */
  FENCED: 'fenced',
  /** Another endpoint has the address, or it does not know the model. */
  MISDIRECTED: 'misdirected',
  REFUSED: 'refused',
  /** No answer: it may have been accepted, or be carried out later. */
  UNANSWERED: 'unanswered',
  /** It never left this host. */
  NOT_SENT: 'notSent'
} as const
export type EngineOrderOutcome = typeof EngineOrderOutcome[keyof typeof EngineOrderOutcome]
