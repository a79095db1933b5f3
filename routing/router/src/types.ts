/** What a choice of endpoint is made from, and what it gives. */
import type { AdapterKey, DurationMs, EndpointId, EndpointView, MonotonicMs, ZoneSummary } from '@catkinferry/core.types'
import type { OwnAsks } from './ownAsks.ts'
import type { PrefixIndex } from './prefixIndex.ts'

export interface RouterWeights {
  readonly loadStallWeight: number
  readonly batchFillWeight: number
  readonly prefixMissMs: DurationMs
  readonly spillCostPerKilobyteMs: DurationMs
  readonly spillQueueMs: DurationMs
}

export interface RouteAsk {
  readonly pool: string
  readonly adapterKey: AdapterKey
  readonly prefixHash?: string
  /** Size of the request's body, only read where it may leave the region. */
  readonly getPayloadBytes: () => number
  readonly now: MonotonicMs
  /** Endpoints that this request must not be sent to now. */
  readonly isAvoided: (endpoint: EndpointId) => boolean
  readonly mayLeaveZone: boolean
}

/** Parts of a cost, each in milliseconds. */
export interface CostParts {
  readonly totalMs: number
  readonly queueMs: DurationMs
  readonly stallMs: DurationMs
  readonly prefixMs: DurationMs
  readonly fillMs: DurationMs
}

/** Another zone, whose contact host chooses the endpoint. */
export interface ZoneChoice {
  readonly kind: 'zone'
  readonly summary: ZoneSummary
  readonly costMs: number
  readonly queueMs: DurationMs
}

export type RouteChoice =
  | { readonly kind: 'endpoint', readonly endpoint: EndpointView, readonly cost: CostParts, readonly weighed: number }
  | ZoneChoice
  | { readonly kind: 'none', readonly reason: 'noEndpoint' | 'allBusy' }

export interface Router {
  readonly choose: (ask: RouteAsk, weights: RouterWeights) => RouteChoice
  readonly noteAsked: (endpoint: EndpointId, adapterKey: AdapterKey, now: MonotonicMs) => void
  /** The ask was refused or given up. */
  readonly noteAskDropped: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  readonly noteDispatched: (endpoint: EndpointId, prefixHash: string | undefined, now: MonotonicMs) => void
  readonly receiveCache: (endpoint: EndpointId, change: 'stored' | 'dropped', prefixHashes: readonly string[], now: MonotonicMs) => void
}

/** What the router remembers of one endpoint. */
export interface EndpointMemory {
  readonly hash: number
  readonly asks: OwnAsks
  readonly prefixes: PrefixIndex
}

/** An endpoint that is weighed. `weight` is its rendezvous weight for the adapter, `isAsked`: this host has just asked for the adapter there. */
export interface Candidate {
  readonly endpoint: EndpointView
  readonly memory: EndpointMemory
  readonly weight: number
  readonly isAsked: boolean
  /** Place among the endpoints that gather a cold adapter, from 0. */
  readonly coldRank: number
  /** Expected time of a load; one figure for all that gather, since they share the zone's load budget. */
  readonly loadMs: DurationMs
}
