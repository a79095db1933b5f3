/** Read-only views of one subsystem's state for the others: settings, endpoints and zone. */
import type { EndpointRow } from './endpoints.ts'
import type { AdapterKey, AdapterName, DurationMs, EndpointId, HostId, ModelId, MonotonicMs, NodePath, RegionId, VersionName, ZoneId } from './ids.ts'

/** Zone and region of a host. */
export interface HostLocation {
  readonly host: HostId
  readonly zone: ZoneId
  readonly region: RegionId
}

/** A host listed in the settings file. */
export interface PeerRow extends HostLocation {
  /** `ip:port` of the peer link. */
  readonly address: string
  readonly voter: boolean
  readonly leaseVoter: boolean
}

/** An adapter version that requests can use. */
export interface ResolvedAdapter {
  readonly adapter: AdapterName
  readonly version: VersionName
  readonly adapterKey: AdapterKey
  readonly model: ModelId
  readonly pool: string
}

/** Settings in force at this host. */
export interface SettingsView {
  /** Highest revision applied here. */
  readonly getRevision: () => number
  /** False until the host has applied the highest revision that it can reach. */
  readonly isReady: () => boolean
  /** Effective value of one key at a node: own override, nearest parent's, or the schema default. */
  readonly getValue: <T>(path: NodePath, key: string) => T
  readonly resolveAdapter: (adapter: AdapterName, version?: VersionName) => ResolvedAdapter | undefined
  readonly listAdapters: (opts: { after?: AdapterName, limit: number }) => readonly ResolvedAdapter[]
  /** Time since which this host has had no contact with the majority of voters; undefined while in contact. */
  readonly getCutOffSince: () => MonotonicMs | undefined
}

/** An endpoint of this zone with its known load. */
export interface EndpointView extends EndpointRow {
  readonly owner?: HostId
  readonly fencing: number
  /** True when the adapter is loaded, as far as known. */
  readonly isResident: (adapterKey: AdapterKey) => boolean
  readonly isLoading: (adapterKey: AdapterKey) => boolean
  /** Running requests by the last report, plus the grants issued since then. */
  readonly running: number
  readonly waiting: number
  readonly batchLimit: number
  readonly slots: number
  /** Slots that hold no pinned adapter. */
  readonly freeSlots: number
  /** Expected duration of a load, including the wait for the load budget. */
  readonly expectedLoadMs: DurationMs
  /** Recent duration of a request from dispatch to end. */
  readonly expectedRunMs: DurationMs
  readonly reportAgeMs: DurationMs
}

/** The zone as known to this host. */
export interface ZoneView {
  /** True when grants can be obtained: this host is the lease holder or can reach it. */
  readonly isServing: (now: MonotonicMs) => boolean
  readonly getLeaseHolder: () => HostId | undefined
  readonly listHosts: () => readonly HostId[]
  readonly listEndpoints: (pool: string) => readonly EndpointView[]
  /** Whether each pool of the zone has an endpoint whose load is known, as far as endpoints are listed; false if none is listed. */
  readonly hasEndpointStates: () => boolean
  readonly getEndpoint: (endpoint: EndpointId) => EndpointView | undefined
  /** Other zones, nearest first, with the spare capacity they last reported for a pool. */
  readonly listOtherZones: (pool: string) => readonly ZoneSummary[]
}

/** Summary of a pool that a zone reports to other zones. */
export interface ZoneSummary {
  readonly zone: ZoneId
  readonly region: RegionId
  /** A host of that zone that accepts grant requests from other zones. */
  readonly contact: HostId
  readonly freeCapacity: number
  readonly queueMs: DurationMs
  readonly ageMs: DurationMs
}
