/** Inputs and results of the choice between zones. */
import type { DurationMs, MonotonicMs, RegionId, ZoneId } from '@catkinferry/core.types'

export interface ZoneLocation {
  readonly zone: ZoneId
  readonly region: RegionId
}

/** What is known of the endpoints of a pool in one zone; only those that take requests count. */
export interface ZoneFigures extends ZoneLocation {
  readonly endpoints: number
  /** Requests that they run at once. */
  readonly slots: number
  /** Requests that run or wait there, from all hosts. */
  readonly inFlight: number
  /** Age of the load figures; undefined if there are none. */
  readonly ageMs: DurationMs | undefined
  /** Speed relative to the other zones; 1 is the usual one. */
  readonly speed: number
  /** Average run time of a request. */
  readonly runMs: DurationMs
}

export interface TransferBytes {
  readonly requestBytes: number
  /** Expected size of the response. */
  readonly responseBytes: number
}

export interface CostRequest extends TransferBytes {
  /** Latency objective of its route. */
  readonly objectiveMs: DurationMs
  /** Whether the link to the region has room for the bytes of the request. */
  readonly hasRoom: (region: RegionId) => boolean
}

/**
 * How costs of zones come about. `unknown`: constants, since figures are missing or late, or there is one zone. `spare`: constants,
 * since all zones have spare capacity, except that nothing leaves over a full link. `shares`: planned shares, since a zone lacks capacity.
 */
export const PlanMode = { UNKNOWN: 'unknown', SPARE: 'spare', SHARES: 'shares' } as const
export type PlanMode = typeof PlanMode[keyof typeof PlanMode]

export interface ZoneUpdate {
  readonly figures: readonly ZoneFigures[]
  /** Usual size of a request, and its latency objective. */
  readonly usual: TransferBytes & { readonly objectiveMs: DurationMs }
  readonly now: MonotonicMs
}

/** Costs of the zones for one request. */
export interface ZoneCosts {
  /** In ms, of an endpoint at this location. */
  readonly getCostMs: (location: ZoneLocation) => DurationMs
}

export interface ZoneChoice {
  /** Takes new figures of all zones with endpoints; changes shares by a step if one is due. */
  readonly update: (update: ZoneUpdate) => void
  readonly getCosts: (request: CostRequest) => ZoneCosts
  /** Records where a request was sent. */
  readonly recordSent: (zone: ZoneId) => void
  readonly getMode: () => PlanMode
  /** Share of requests that may go to the zone; undefined where shares are not planned. */
  readonly getShare: (zone: ZoneId) => number | undefined
}
