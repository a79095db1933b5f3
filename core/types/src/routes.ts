/** Route tables: versioned configurations of the pools that requests go to, and of the limits of callers. */
import type { Account, AccountChanges } from './accounts.ts'
import type { AdapterName, DurationMs, ModelId } from './ids.ts'

/** Whether the requests of a route can be repeated. A stream cannot, unless it may be resumed. */
export const RouteKind = { IDEMPOTENT: 'idempotent', NON_IDEMPOTENT: 'nonIdempotent', STREAM: 'stream' } as const
export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/** A share of a route's requests. Weights are relative. */
export interface RouteShare {
  readonly pool: string
  readonly weight: number
}

export interface Route {
  readonly name: string
  /** `Host` header, lower case. */
  readonly host: string
  /** Starts and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** A broken stream may be continued at another endpoint after its last event. */
  readonly resumable: boolean
  /** Longest time for which a caller waits. */
  readonly timeoutMs: DurationMs
  /** Latency objective for the first event of a stream, or the end of any other answer. */
  readonly objectiveMs: DurationMs
  /** Longest pause between two events of a stream that still meets the objective. */
  readonly maxPauseMs?: DurationMs
  /** 0 is the most urgent. */
  readonly priority: number
  /** Maximum number of endpoints that one request may be sent to. */
  readonly maxEndpoints: number
  readonly shares: readonly RouteShare[]
  /** Present if callers need no key. */
  readonly isPublic?: true
}

/** A base model served by a pool of engines. */
export interface PoolModel {
  readonly model: ModelId
  readonly weightsMb: number
  /** Duration of a load from the weight store. */
  readonly loadMs: DurationMs
  readonly adapterMb: number
}

/** Capacity of the engines of a pool. */
export interface EnginePool {
  /** Maximum number of requests that one engine runs at once. */
  readonly batchLimit: number
  readonly weightsMb: number
  readonly adapterPlaces: number
  /** Loads of base models per second that the weight store allows, over all engines. */
  readonly modelLoadsPerSecond: number
  readonly models: readonly PoolModel[]
}

/** A group of endpoints that routes send requests to. */
export interface Pool {
  readonly name: string
  readonly healthPath: string
  /** Maximum number of connections to one endpoint from all hosts together. */
  readonly maxConnections: number
  /** Absent on plain services. */
  readonly engine?: EnginePool
}

/** Limits of the size and duration of a caller's request. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: DurationMs
  readonly idleTimeoutMs: DurationMs
}

/** One complete version of the configuration. Higher versions replace lower ones. */
export interface RouteTable {
  readonly version: number
  readonly routes: readonly Route[]
  readonly pools: readonly Pool[]
  readonly limits: CallerLimits
  /** Absent if callers need no keys; with an empty list, no key is valid. */
  readonly accounts?: readonly Account[]
}

/** What leads from one version of the route table to a later one. */
export interface RouteChanges {
  readonly from: number
  readonly version: number
  /** Routes that were added or changed. */
  readonly set: readonly Route[]
  /** Host and path prefix of each removed route, joined. */
  readonly removed: readonly string[]
  readonly pools: readonly Pool[]
  readonly limits: CallerLimits
  /** Absent if the accounts are the same, and in messages of releases without accounts; null if the later version has none. */
  readonly accounts?: AccountChanges | null
}

/** The newest announced version of an adapter. */
export interface AnnouncedVersion {
  readonly model: ModelId
  readonly adapter: AdapterName
  readonly version: number
  /** Increases with each announcement. */
  readonly sequence: number
}
