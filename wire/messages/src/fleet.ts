/** Messages of a fleet that forms from seeds: presence, route versions, adapter versions, endpoints and loads. */
import type { AdapterKey, AdapterName, DurationMs, EndpointId, EndpointKind, HostId, ModelId, RegionId, RouteTable, ZoneId } from '@catkinferry/core.types'

export const FleetRole = { ENTRY: 'entry', CORE: 'core' } as const
export type FleetRole = typeof FleetRole[keyof typeof FleetRole]

/** What a host holds of the state that core hosts hand out. */
export interface HeldState {
  readonly routesVersion: number
  /** Sequence of the newest announced adapter version held. */
  readonly announcedSequence: number
  /** Term of the leader whose endpoints are held, and the number of its last change. */
  readonly endpointsTerm: number
  readonly endpointsSequence: number
}

/** An endpoint as the leader hands it to entry hosts. */
export interface FleetEndpoint {
  readonly endpoint: EndpointId
  readonly kind: EndpointKind
  readonly pool: string
  readonly zone: ZoneId
  readonly region: RegionId
  /** `ip:port` */
  readonly address: string
  readonly leaving: boolean
  /** Several entry hosts wait in vain for bytes from it, or its answers fail more often than others'. */
  readonly suspect: boolean
  readonly models: readonly ModelId[]
  readonly resident: readonly AdapterKey[]
}

/** One adapter that came to an endpoint or went. */
export interface ResidencyChange {
  readonly endpoint: EndpointId
  readonly adapterKey: AdapterKey
  readonly resident: boolean
}

/** What an entry host ran at an endpoint since its last report. */
export interface AdapterUse {
  readonly endpoint: EndpointId
  readonly adapterKey: AdapterKey
  readonly begun: number
  readonly running: number
}

/** What a host has seen of an endpoint's health since its last report. */
export interface EndpointHealth {
  readonly endpoint: EndpointId
  /** Attempts that failed there. */
  readonly failed: number
  /** Requests wait there, and no byte has come on any connection for too long. */
  readonly silent: boolean
}

export type FleetMessage =
  | { readonly kind: 'fleet.hello', readonly role: FleetRole, readonly zone: ZoneId, readonly region: RegionId, readonly held: HeldState }
  /** From a core host. `core` lists the core hosts that it has heard lately; `entries` counts the entry hosts. */
  | { readonly kind: 'fleet.welcome', readonly leader?: HostId, readonly inContact: boolean, readonly routesVersion: number, readonly core: readonly HostId[], readonly entries: number }
  | { readonly kind: 'fleet.routes', readonly table: RouteTable }
  /** Announced versions after `after`, up to `sequence`. */
  | { readonly kind: 'fleet.announced', readonly after: number, readonly sequence: number, readonly versions: ReadonlyArray<readonly [ModelId, AdapterName, number]> }
  /** `whole`: replaces everything held; otherwise follows `sequence - 1` of the same term. */
  | { readonly kind: 'fleet.endpoints', readonly term: number, readonly sequence: number, readonly whole: boolean, readonly rows: readonly FleetEndpoint[], readonly gone: readonly EndpointId[], readonly residency: readonly ResidencyChange[] }
  /** Requests that run at the endpoints of a region, over all entry hosts. `whole`: endpoints of it that are not named run none. */
  | { readonly kind: 'fleet.load', readonly region: RegionId, readonly whole: boolean, readonly running: ReadonlyArray<readonly [EndpointId, number]> }
  /** All that the sender runs now; `adapterKey` is empty for requests without an adapter. `health`: endpoints with failures or silence. */
  | { readonly kind: 'fleet.use', readonly uses: readonly AdapterUse[], readonly health?: readonly EndpointHealth[] }
  /** Asks the leader for an endpoint that has the adapter; it is loaded where none has. `copyBeyond`: one more copy, besides these endpoints. */
  | { readonly kind: 'load.ask', readonly askId: number, readonly pool: string, readonly model: ModelId, readonly adapter?: AdapterName, readonly priority: number, readonly remainingMs: DurationMs, readonly copyBeyond?: readonly EndpointId[], readonly avoid: readonly EndpointId[] }
  | { readonly kind: 'load.given', readonly askId: number, readonly endpoint: EndpointId, readonly adapterKey?: AdapterKey }
  | { readonly kind: 'load.refused', readonly askId: number, readonly reason: string, readonly retryAfterMs: DurationMs }
