/** Inputs and results of the router, which the requests system uses, and the records that the router keeps. */
import type { AdapterKey, DurationMs, EndpointId, EndpointView, MonotonicMs, ZoneSummary } from '@catkinferry/core.types'
import type { PrefixIndex } from './prefixIndex.ts'
import type { RecentGrantRequests } from './recentGrantRequests.ts'

/** Weights of the parts of a cost, from the settings. */
export interface RouterWeights {
  readonly loadStallWeight: number
  readonly batchFillWeight: number
  readonly prefixMissMs: DurationMs
  readonly spillCostPerKilobyteMs: DurationMs
  /** A request stays in its zone while the queue wait there is no longer than this. */
  readonly spillQueueMs: DurationMs
}

export interface RouteRequest {
  readonly pool: string
  readonly adapterKey: AdapterKey
  readonly prefixHash?: string
  /** Returns the size of the request's body; called only if the request may go to another region. */
  readonly getPayloadBytes: () => number
  readonly now: MonotonicMs
  /** Returns whether the request must not be sent to this endpoint now. */
  readonly isAvoided: (endpoint: EndpointId) => boolean
  readonly mayLeaveZone: boolean
}

/** Parts of a cost in milliseconds: queue wait, load stall, prefix cache miss, and the reduction for batch fill, before weights. */
export interface CostParts {
  readonly totalMs: number
  readonly queueMs: DurationMs
  readonly stallMs: DurationMs
  readonly prefixMs: DurationMs
  readonly fillMs: DurationMs
}

/** A choice of another zone, whose contact host chooses the endpoint. */
export interface ZoneChoice {
  readonly kind: 'zone'
  readonly summary: ZoneSummary
  readonly costMs: number
  readonly queueMs: DurationMs
}

/** `weighed`: number of endpoints whose costs were compared. */
export type RouteChoice =
  | { readonly kind: 'endpoint', readonly endpoint: EndpointView, readonly cost: CostParts, readonly weighed: number }
  | ZoneChoice
  | { readonly kind: 'none', readonly reason: 'noEndpoint' | 'allBusy' }

export interface Router {
  readonly choose: (request: RouteRequest, weights: RouterWeights) => RouteChoice
  readonly recordGrantRequest: (endpoint: EndpointId, adapterKey: AdapterKey, now: MonotonicMs) => void
  /** Called when the grant request was refused or cancelled. */
  readonly recordGrantRequestDropped: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  readonly recordDispatch: (endpoint: EndpointId, prefixHash: string | undefined, now: MonotonicMs) => void
  readonly receiveCacheEvent: (endpoint: EndpointId, change: 'stored' | 'dropped', prefixHashes: readonly string[], now: MonotonicMs) => void
}

/** What the router keeps for one endpoint. `hash` is the hash of its id. */
export interface EndpointHistory {
  readonly hash: number
  readonly grantRequests: RecentGrantRequests
  readonly prefixes: PrefixIndex
}

/** An endpoint whose cost is compared. */
export interface Candidate {
  readonly endpoint: EndpointView
  readonly history: EndpointHistory
  /** Rendezvous weight for the adapter. */
  readonly weight: number
  /** True if this host has just requested a grant for the adapter there. */
  readonly isRequested: boolean
  /** Rank among the candidates for a cold adapter, from 0. */
  readonly coldRank: number
  /** Expected time of a load. The same for all candidates for a cold adapter, since they share the zone's load budget. */
  readonly loadMs: DurationMs
}
