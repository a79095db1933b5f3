/** Route configurations: whole versions of which requests go to which pool, and under which bounds. */
import type { AdapterName, DurationMs, ModelId } from './ids.ts'

/** What a route's requests allow. A stream is not idempotent, unless it may be resumed. */
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
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** A broken stream may go on at another endpoint after its last event. */
  readonly resumable: boolean
  /** Longest time a caller is kept waiting. */
  readonly timeoutMs: DurationMs
  /** Latency objective: first event of a stream, end of any other answer. */
  readonly objectiveMs: DurationMs
  /** Longest pause between the events of a stream that still counts as on time. */
  readonly maxPauseMs?: DurationMs
  /** 0 is the most urgent. */
  readonly priority: number
  /** Endpoints that one request may be sent to at most. */
  readonly maxEndpoints: number
  readonly shares: readonly RouteShare[]
}

/** A base model as a pool of engines serves it. */
export interface PoolModel {
  readonly model: ModelId
  readonly weightsMb: number
  /** Time of a load from the weight store. */
  readonly loadMs: DurationMs
  readonly adapterMb: number
}

/** What the engines of a pool have room for. */
export interface EnginePool {
  /** Requests that one engine runs at once. */
  readonly batchLimit: number
  readonly weightsMb: number
  readonly adapterPlaces: number
  /** Loads of base models that the weight store allows, per second over all engines. */
  readonly modelLoadsPerSecond: number
  readonly models: readonly PoolModel[]
}

/** Endpoints of one service. */
export interface Pool {
  readonly name: string
  readonly healthPath: string
  /** Connections that one endpoint takes from all hosts together. */
  readonly maxConnections: number
  /** Absent on plain services. */
  readonly engine?: EnginePool
}

/** Bounds on what a caller may send and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: DurationMs
  readonly idleTimeoutMs: DurationMs
}

/** One whole version. Higher versions replace lower ones. */
export interface RouteTable {
  readonly version: number
  readonly routes: readonly Route[]
  readonly pools: readonly Pool[]
  readonly limits: CallerLimits
}

/** The newest version of an adapter that was announced. */
export interface AnnouncedVersion {
  readonly model: ModelId
  readonly adapter: AdapterName
  readonly version: number
  /** Rises with each announcement. */
  readonly sequence: number
}
