/** Read-only views that one subsystem gives the others. */
import type { EndpointRow } from './endpoints.ts'
import type { AdapterKey, AdapterName, DurationMs, EndpointId, HostId, ModelId, MonotonicMs, NodePath, RegionId, VersionName, ZoneId } from './ids.ts'

/** Where a host stands. */
export interface HostPlace {
  readonly host: HostId
  readonly zone: ZoneId
  readonly region: RegionId
}

/** A host that this one knows of from its settings file. */
export interface PeerRow extends HostPlace {
  /** `ip:port` of the peer link. */
  readonly address: string
  readonly voter: boolean
  readonly leaseVoter: boolean
}

/** An adapter version that may be asked for. */
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
  /** False until the host has taken the highest revision that it can reach. */
  readonly isReady: () => boolean
  /** Effective value of one key at a node: own override, nearest parent's, or the schema default. */
  readonly getValue: <T>(path: NodePath, key: string) => T
  readonly resolveAdapter: (adapter: AdapterName, version?: VersionName) => ResolvedAdapter | undefined
  readonly listAdapters: (opts: { after?: AdapterName, limit: number }) => readonly ResolvedAdapter[]
  /** Since when this host has heard nothing from the majority; undefined while in contact. */
  readonly getCutOffSince: () => MonotonicMs | undefined
}

/** An endpoint of this zone with what is known of its load. */
export interface EndpointView extends EndpointRow {
  readonly owner?: HostId
  readonly fencing: number
  /** True where the adapter is loaded as far as known. */
  readonly isResident: (adapterKey: AdapterKey) => boolean
  readonly isLoading: (adapterKey: AdapterKey) => boolean
  /** Running by report plus our own grants since. */
  readonly running: number
  readonly waiting: number
  readonly batchLimit: number
  readonly slots: number
  /** Slots that hold no pinned adapter. */
  readonly freeSlots: number
  /** Expected time that a load takes now, queueing for the load budget included. */
  readonly expectedLoadMs: DurationMs
  /** Recent time a request takes from dispatch to end. */
  readonly expectedRunMs: DurationMs
  readonly reportAgeMs: DurationMs
}

/** The zone as this host sees it. */
export interface ZoneView {
  /** True when grants can be had: this host can reach the lease holder or is it. */
  readonly isServing: (now: MonotonicMs) => boolean
  readonly getLeaseHolder: () => HostId | undefined
  readonly listHosts: () => readonly HostId[]
  readonly listEndpoints: (pool: string) => readonly EndpointView[]
  readonly getEndpoint: (endpoint: EndpointId) => EndpointView | undefined
  /** Other zones, nearest first, with the spare capacity they last reported for a pool. */
  readonly listOtherZones: (pool: string) => readonly ZoneSummary[]
}

/** What a zone tells other zones about a pool. */
export interface ZoneSummary {
  readonly zone: ZoneId
  readonly region: RegionId
  /** A host there that takes requests for grants from other zones. */
  readonly contact: HostId
  readonly freeCapacity: number
  readonly queueMs: DurationMs
  readonly ageMs: DurationMs
}
