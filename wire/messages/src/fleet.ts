/** Messages between the hosts of a fleet that forms from seed nodes: presence, route versions, adapter versions, endpoints and loads. */
import type { AccountName, AdapterKey, AdapterName, DurationMs, EndpointId, EndpointKind, HostId, ModelId, RegionId, RequestId, RequestTrait, RouteChanges, RouteTable, ZoneId } from '@catkinferry/core.types'

/** Stands for endpoints whose version the platform does not report. */
export const UNREPORTED_VERSION = ''

export const FleetRole = { ENTRY: 'entry', CORE: 'core' } as const
export type FleetRole = typeof FleetRole[keyof typeof FleetRole]

/** Versions of the state distributed by core hosts that a host has. */
export interface HeldState {
  readonly routesVersion: number
  /** Sequence number of the newest announced adapter version. */
  readonly announcedSequence: number
  /** Term of the leader that distributed the endpoints, and sequence number of the last change received from it. */
  readonly endpointsTerm: number
  readonly endpointsSequence: number
  /** Revision of what is quarantined; hosts of earlier releases send none. */
  readonly quarantineRevision?: number
}

/** An entry host that takes requests from other entry hosts. */
export interface RelayPeer {
  /** `ip:port` at which it takes them. */
  readonly address: string
  readonly zone: ZoneId
  readonly region: RegionId
}

/** What an endpoint last said of the requests that it takes from all hosts together. */
export interface NamedLimit {
  /** Requests a second; undefined if it names no limit any more. */
  readonly perSecond?: number
  /** Requests a second that it can turn away without crashing; undefined if it names no such number any more. */
  readonly rejectionsPerSecond?: number
  /** Time in ms since the request was sent whose response said so. */
  readonly agoMs: DurationMs
}

/** An endpoint as the leader distributes it to entry hosts. */
export interface FleetEndpoint {
  readonly endpoint: EndpointId
  readonly kind: EndpointKind
  readonly pool: string
  readonly zone: ZoneId
  readonly region: RegionId
  /** `ip:port` */
  readonly address: string
  readonly leaving: boolean
  /** When the platform started it, in Unix milliseconds; undefined if the platform does not tell. */
  readonly bornAt?: number
  /** Version of its software; undefined if the platform does not tell. */
  readonly softwareVersion?: string
  /** Several entry hosts have waiting requests there but receive no bytes, or its failure rate is higher than that of other endpoints. */
  readonly suspect: boolean
  /** Undefined if the leader knows of none. */
  readonly limit?: NamedLimit
  readonly models: readonly ModelId[]
  readonly resident: readonly AdapterKey[]
}

/** One adapter that became resident at an endpoint, or no longer is. */
export interface ResidencyChange {
  readonly endpoint: EndpointId
  readonly adapterKey: AdapterKey
  readonly resident: boolean
}

/** Requests of an entry host for one adapter at an endpoint: begun since its last report, and running now. */
export interface AdapterUse {
  readonly endpoint: EndpointId
  readonly adapterKey: AdapterKey
  readonly begun: number
  readonly running: number
}

/** Health of an endpoint as observed by a host since its last report. */
export interface EndpointHealth {
  readonly endpoint: EndpointId
  /** Number of failed attempts. */
  readonly failed: number
  /** Requests wait there, and no connection has received a byte for longer than the limit. */
  readonly silent: boolean
  /** The host can open no connection to it. */
  readonly unreachable?: boolean
  /** It announced that it is leaving, while the leader still lists it as serving. `bornAt` names the instance that said so. */
  readonly leaving?: boolean
  readonly bornAt?: number
  /** What the instance `limitBornAt` last said of its limit, if it did since the last report. */
  readonly limit?: NamedLimit
  readonly limitBornAt?: number
}

/** Adapter slots of an engine as the leader knows them. */
export interface MirroredSlots {
  readonly endpoint: EndpointId
  readonly bornAt?: number
  /** Model, adapter, version, whether it is resident (otherwise being loaded or evicted), and how much longer an order may be executed late, in ms. */
  readonly slots: ReadonlyArray<readonly [ModelId, AdapterName, number, boolean, DurationMs]>
}

/** Requests whose connections to an endpoint broke within a short time, as one entry host saw it. */
export interface CrashReport {
  /** Tells the reports of one host on the same instance apart. */
  readonly number?: number
  readonly endpoint: EndpointId
  readonly bornAt?: number
  /** Time since the first connection broke, in ms. */
  readonly agoMs: DurationMs
  /** Number of broken connections. */
  readonly broken: number
  /** Traits of requests whose response had just begun, and of those whose response had not begun: shared prompt parts, in order, then the whole request. */
  readonly begun: ReadonlyArray<readonly RequestTrait[]>
  readonly waiting: ReadonlyArray<readonly RequestTrait[]>
}

export type FleetMessage =
  /** `relayAddress`: where an entry host takes requests from others; left out while it reaches no endpoints. `confirmId`: asks the core host to confirm the newest route version; releases without accounts ignore it. `commandSet`: the newest set of log commands that a core host can apply; 1 if absent. */
  | { readonly kind: 'fleet.hello', readonly role: FleetRole, readonly zone: ZoneId, readonly region: RegionId, readonly held: HeldState, readonly relayAddress?: string, readonly confirmId?: number, readonly commandSet?: number }
  /** Sent by a core host: `routesVersion` was the newest one at some time after the hello with this `confirmId` arrived. */
  | { readonly kind: 'fleet.confirmed', readonly confirmId: number, readonly routesVersion: number }
  /** Sent by the leader: the accounts that are limited now, the share of the units asked for that may be admitted, and the time in ms after which a refused caller may come back. Accounts that are not listed are not limited, unless `isPartial`: then a share of 1 ends a limit, and accounts that are not listed stay as they are. Sent at intervals while any account has a quota, also without rows: entry hosts tell by it that the leader counts. */
  | { readonly kind: 'fleet.quotas', readonly term: number, readonly rows: ReadonlyArray<readonly [AccountName, number, DurationMs]>, readonly isPartial?: true }
  /** Sent by a core host. `core` lists the core hosts that it has recently heard from; `entries` is the number of entry hosts. The leader names some `relayPeers` to entry hosts now and then. */
  | { readonly kind: 'fleet.welcome', readonly leader?: HostId, readonly inContact: boolean, readonly routesVersion: number, readonly core: readonly HostId[], readonly entries: number, readonly relayPeers?: readonly RelayPeer[] }
  | { readonly kind: 'fleet.routes', readonly table: RouteTable }
  /** The same for a large table, packed. */
  | { readonly kind: 'fleet.packedRoutes', readonly version: number, readonly packed: Uint8Array }
  /** Changes of a route table that the receiver has; ignored by a host that has another version. */
  | { readonly kind: 'fleet.routeChanges', readonly changes: RouteChanges }
  /** Adapter versions announced after sequence number `after`, up to `sequence`. */
  | { readonly kind: 'fleet.announced', readonly after: number, readonly sequence: number, readonly versions: ReadonlyArray<readonly [ModelId, AdapterName, number]> }
  /** `whole`: replaces the receiver's whole state; otherwise the changes that follow `sequence - 1` of the same term. */
  | { readonly kind: 'fleet.endpoints', readonly term: number, readonly sequence: number, readonly whole: boolean, readonly rows: readonly FleetEndpoint[], readonly gone: readonly EndpointId[], readonly residency: readonly ResidencyChange[] }
  /** Number of running requests by endpoint of a region, over all entry hosts. `whole`: endpoints of the region that are not listed run none. */
  | { readonly kind: 'fleet.load', readonly region: RegionId, readonly whole: boolean, readonly running: ReadonlyArray<readonly [EndpointId, number]> }
  /** All requests that the sender runs now; `adapterKey` is empty for requests without an adapter. `health`: endpoints that failed, are silent or announced that they are leaving. `accounts`: units that accounts with a quota have asked for, and those admitted, less those given back, since the last report. `accountsOverMs`: the time that these cover, if not the usual interval; the first report to another leader repeats what the host has reported lately. */
  | { readonly kind: 'fleet.use', readonly uses: readonly AdapterUse[], readonly health?: readonly EndpointHealth[], readonly accounts?: ReadonlyArray<readonly [AccountName, number, number]>, readonly accountsOverMs?: DurationMs }
  /** Sent by the leader to the other core hosts: slots of the engines that have changed. */
  | { readonly kind: 'fleet.slots', readonly term: number, readonly rows: readonly MirroredSlots[] }
  /** Sent by an entry host to the leader, and repeated for a while. A report replaces an earlier one of the same number on the same instance of an endpoint. */
  | { readonly kind: 'fleet.crashes', readonly crashes: readonly CrashReport[] }
  /** Prompt parts and whole requests of which the leader wants to know whether they are answered. Repeated as long as that is so. */
  | { readonly kind: 'fleet.watchedParts', readonly parts: readonly RequestTrait[] }
  /** The watched ones that were answered, and the time in ms since the latest request with each was answered by an endpoint that went on working. */
  | { readonly kind: 'fleet.soundParts', readonly parts: ReadonlyArray<readonly [RequestTrait, DurationMs]> }
  /** All prompt parts and whole requests that are refused. */
  | { readonly kind: 'fleet.quarantine', readonly revision: number, readonly parts: readonly RequestTrait[] }
  /** Streams that the sender has begun since its report `after`: the ID of each, the software version at which it began, and for how long it may be resumed, in ms. `epoch` names one start of the sender. */
  | { readonly kind: 'fleet.streamOrigins', readonly epoch: number, readonly after: number, readonly sequence: number, readonly origins: ReadonlyArray<readonly [RequestId, string, DurationMs]> }
  /** The sender lacks the reports after this one. */
  | { readonly kind: 'fleet.originsMissing', readonly epoch: number, readonly after: number }
  /** Asks a core host for the software version at which a stream began, and for the versions of its service in the last `maxAgeMs`. `requestId` is empty if the caller did not name the stream. Releases before `pool` send and answer only the first. */
  | { readonly kind: 'fleet.originAsk', readonly askId: number, readonly requestId: RequestId, readonly pool?: string, readonly maxAgeMs?: DurationMs }
  /** Without `softwareVersion`, the core host does not know of the stream; without `versions`, it cannot tell which versions were in service. `isLeading`: it leads, and a majority has just answered it; absent from releases that do not say it. */
  | { readonly kind: 'fleet.originAnswer', readonly askId: number, readonly softwareVersion?: string, readonly versions?: readonly string[], readonly isLeading?: boolean }
  /** Adapters that the sender has begun to use, and those that it no longer uses, since its last such message. */
  | { readonly kind: 'fleet.slotUse', readonly begun: ReadonlyArray<readonly [EndpointId, AdapterKey]>, readonly ended: ReadonlyArray<readonly [EndpointId, AdapterKey]> }
  /** Requests an endpoint that has the adapter from the leader; the leader has the adapter loaded if there is none. `waitMs`: how long the caller waits for a load to begin, from when the leader may order one; `remainingMs`: how long it waits at most. `onTimeMs`: until then the adapter must be loaded for the answer to be on time. `workId`: the same for each attempt of a caller at the same work. `softwareVersion`: only engines of that version are granted. `copyBeyond`: requests one more replica besides those at these endpoints. */
  | { readonly kind: 'load.ask', readonly askId: number, readonly pool: string, readonly model: ModelId, readonly adapter?: AdapterName, readonly priority: number, readonly remainingMs: DurationMs, readonly waitMs?: DurationMs, readonly onTimeMs?: DurationMs, readonly workId?: string, readonly softwareVersion?: string, readonly copyBeyond?: readonly EndpointId[], readonly avoid: readonly EndpointId[] }
  | { readonly kind: 'load.given', readonly askId: number, readonly endpoint: EndpointId, readonly adapterKey?: AdapterKey }
  /** `isLeading`: false if the sender does not lead, or no longer does; absent from the leader and from releases that do not say it. */
  | { readonly kind: 'load.refused', readonly askId: number, readonly reason: string, readonly retryAfterMs: DurationMs, readonly isLeading?: boolean }
