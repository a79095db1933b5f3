/** Chooses an endpoint for one request, by cost in milliseconds. */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'
import type { DirectoryEndpoint, OthersLoad } from '@catkinferry/fleet.directory'
import { estimateLoad, hasIdleConnection } from './endpointLinks.ts'
import type { EndpointLink } from './endpointLinks.ts'
import type { RelayPlace } from './relayOptions.ts'

/** Cost of a full batch or of all slots taken, over an idle endpoint. */
const FULL_COST_MS = 120
const OTHER_ZONE_COST_MS = 3
/** Time and price of a request and its answer over the link between two regions. */
const OTHER_REGION_COST_MS = 60
/** Cost of opening a connection where none is idle. */
const NEW_CONNECTION_COST_MS = 8
/** Cost of an endpoint that owes bytes for too long, by what this host alone sees. */
const SILENT_COST_MS = 300
/** Cost of an endpoint whose breaker is open; it is used where there is no other. */
const BROKEN_COST_MS = 100_000
/** Part of the usual time to the first byte that counts, over the fastest candidate's. */
const SLOWNESS_WEIGHT = 0.5

/**
 * Largest random cost that is added: hosts that know the same loads, all some time old, would otherwise send all that comes
 * meanwhile to the same endpoint, where prompts that are read at once hold up the streams of others.
 */
const SPREAD_COST_MS = 20

export interface Candidate {
  readonly endpoint: DirectoryEndpoint
  readonly link: EndpointLink
  /** Undefined where the leader has told nothing. */
  readonly others: OthersLoad | undefined
}

export interface ChosenEndpoint extends Candidate {
  readonly costMs: number
  /** Requests that run or wait there, as estimated. */
  readonly load: number
}

export interface ChooseOptions {
  readonly candidates: readonly Candidate[]
  readonly place: RelayPlace
  /** Time that a request of the pool usually runs: one that must wait for a slot waits for a share of it. */
  readonly runMs: DurationMs
  /** Requests that one endpoint runs at once. */
  readonly getSlots: (link: EndpointLink) => number
  readonly now: MonotonicMs
  /** From 0 to 1, drawn for each candidate. */
  readonly nextFraction: () => number
}

function computePlaceCost ({ zone, region }: DirectoryEndpoint, place: RelayPlace): DurationMs {
  if (zone === place.zone) return 0
  return region === place.region ? OTHER_ZONE_COST_MS : OTHER_REGION_COST_MS
}

function findFastest (candidates: readonly Candidate[]): DurationMs {
  return Math.min(...candidates.map(({ link }) => link.firstByteMs ?? Infinity))
}

/** Chooses the cheapest; undefined where there is no candidate. */
export function chooseEndpoint (opts: ChooseOptions): ChosenEndpoint | undefined {
  const { candidates, place, now, runMs, nextFraction } = opts
  const fastestMs = findFastest(candidates)
  let best: ChosenEndpoint | undefined
  for (const { endpoint, link, others } of candidates) {
    const load = estimateLoad(link, others, now)
    const slots = Math.max(1, opts.getSlots(link))
    const queued = Math.max(0, load + 1 - slots)
    const slowMs = link.firstByteMs === undefined || fastestMs === Infinity ? 0 : (link.firstByteMs - fastestMs) * SLOWNESS_WEIGHT
    const brokenMs = link.breaker.isAllowed(now) ? 0 : BROKEN_COST_MS
    const costMs = FULL_COST_MS * Math.min(1, load / slots) + runMs * queued / slots + slowMs + brokenMs + (link.silent ? SILENT_COST_MS : 0) + computePlaceCost(endpoint, place) + (hasIdleConnection(link) ? 0 : NEW_CONNECTION_COST_MS) + SPREAD_COST_MS * nextFraction()
    if (best === undefined || costMs < best.costMs) best = { endpoint, link, others, costMs, load }
  }
  return best
}
