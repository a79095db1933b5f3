/** Chooses the endpoint with the lowest estimated cost, in milliseconds, for one attempt of a request. Called by the target finder. */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'
import type { DirectoryEndpoint, OthersLoad } from '@catkinferry/fleet.directory'
import { getConstantCost } from '@catkinferry/routing.zone-choice'
import type { ZoneCosts } from '@catkinferry/routing.zone-choice'
import { estimateLoad, estimateSlowdown, hasIdleConnection, SLOWDOWN_DECAY_MS } from './endpointLinks.ts'
import type { EndpointLink } from './endpointLinks.ts'
import type { RelayLocation } from './relayOptions.ts'

/** Cost of an endpoint with all slots in use compared with an idle one; proportional below that. */
const FULL_LOAD_COST_MS = 120
/** Cost of opening a connection if none is idle. */
const NEW_CONNECTION_COST_MS = 8
/** Cost of an endpoint that this host sees as silent. */
const SILENT_COST_MS = 300
/** Cost of an endpoint whose circuit breaker is open: it is used only if there is no other. */
const OPEN_BREAKER_COST_MS = 100_000
/** Weight of the average time to first byte in excess of the fastest candidate's. */
const FIRST_BYTE_WEIGHT = 0.5

/**
 * Largest random cost added. Without it, hosts with the same outdated load figures would send all their requests to one
 * endpoint, where processing many prompts at once delays the streams of other requests.
 */
const MAX_JITTER_COST_MS = 20

export interface Candidate {
  readonly endpoint: DirectoryEndpoint
  readonly link: EndpointLink
  /** Load from other entry hosts; undefined if the leader has not reported any. */
  readonly othersLoad: OthersLoad | undefined
}

export interface ChosenEndpoint extends Candidate {
  readonly costMs: number
  /** Part of the cost that its zone has for this request. */
  readonly zoneCostMs: DurationMs
  /** Estimated number of requests that run or wait there. */
  readonly load: number
}

export interface ChooseOptions {
  readonly candidates: readonly Candidate[]
  readonly location: RelayLocation
  /** Costs of the zones for this request; absent: the constants of the zone choice. */
  readonly zoneCosts?: ZoneCosts
  /** Average run time of a request in the pool, from which the wait for a slot is estimated. */
  readonly runMs: DurationMs
  /** Number of requests that an endpoint runs at once. */
  readonly getSlots: (link: EndpointLink) => number
  readonly now: MonotonicMs
  /** Random number from 0 to 1, drawn for each candidate. */
  readonly nextFraction: () => number
}

/** Whether an endpoint of the own zone may serve the request; otherwise it has to leave, whatever the share of requests that may. */
function hasOwnZone (candidates: readonly Candidate[], { zone }: RelayLocation, now: MonotonicMs): boolean {
  return candidates.some(({ endpoint, link }) => endpoint.zone === zone && !link.silent && link.breaker.isAllowed(now))
}

function getZoneCosts ({ candidates, location, zoneCosts, now }: ChooseOptions): ZoneCosts {
  return zoneCosts !== undefined && hasOwnZone(candidates, location, now) ? zoneCosts : { getCostMs: other => getConstantCost(other, location) }
}

/** Expected wait for a slot, and what a slowed endpoint loses of the time that it probably stays slow. */
function computeWait ({ link, load, slots }: { readonly link: EndpointLink, readonly load: number, readonly slots: number }, runMs: DurationMs, now: MonotonicMs): DurationMs {
  const slowdown = estimateSlowdown(link, now)
  const queued = Math.max(0, load + 1 - slots)
  const lostMs = slowdown > 1 ? Math.min(runMs, SLOWDOWN_DECAY_MS) * (1 - 1 / slowdown) : 0
  return runMs * slowdown * link.relativeRunTime * queued / slots + lostMs
}

function findFastestFirstByte (candidates: readonly Candidate[]): DurationMs {
  return Math.min(...candidates.map(({ link }) => link.firstByteMs ?? Infinity))
}

/** Returns the candidate with the lowest cost; undefined if there is none. */
export function chooseEndpoint (opts: ChooseOptions): ChosenEndpoint | undefined {
  const { candidates, now, runMs, nextFraction } = opts
  const zoneCosts = getZoneCosts(opts)
  const fastestMs = findFastestFirstByte(candidates)
  let best: ChosenEndpoint | undefined
  for (const { endpoint, link, othersLoad } of candidates) {
    const load = estimateLoad(link, othersLoad, now)
    const slots = Math.max(1, opts.getSlots(link))
    const slowFirstByteMs = link.firstByteMs === undefined || fastestMs === Infinity ? 0 : (link.firstByteMs - fastestMs) * FIRST_BYTE_WEIGHT
    const zoneCostMs = zoneCosts.getCostMs(endpoint)
    const openBreakerMs = link.breaker.isAllowed(now) ? 0 : OPEN_BREAKER_COST_MS
    const costMs = FULL_LOAD_COST_MS * Math.min(1, load / slots) + computeWait({ link, load, slots }, runMs, now) + slowFirstByteMs + openBreakerMs + (link.silent ? SILENT_COST_MS : 0) + zoneCostMs + (hasIdleConnection(link) ? 0 : NEW_CONNECTION_COST_MS) + MAX_JITTER_COST_MS * nextFraction()
    if (best === undefined || costMs < best.costMs) best = { endpoint, link, othersLoad, costMs, zoneCostMs, load }
  }
  return best
}
