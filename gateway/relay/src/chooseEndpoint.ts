/** Chooses the endpoint with the lowest estimated cost, in milliseconds, for one attempt of a request. Called by the target finder. */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'
import type { DirectoryEndpoint, OthersLoad } from '@catkinferry/fleet.directory'
import { estimateLoad, hasIdleConnection } from './endpointLinks.ts'
import type { EndpointLink } from './endpointLinks.ts'
import type { RelayLocation } from './relayOptions.ts'

/** Cost of an endpoint with all slots in use compared with an idle one; proportional below that. */
const FULL_LOAD_COST_MS = 120
const OTHER_ZONE_COST_MS = 3
/** Latency and traffic price of a request and its response between two regions. */
const OTHER_REGION_COST_MS = 60
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
  /** Estimated number of requests that run or wait there. */
  readonly load: number
}

export interface ChooseOptions {
  readonly candidates: readonly Candidate[]
  readonly location: RelayLocation
  /** Average run time of a request in the pool, from which the wait for a slot is estimated. */
  readonly runMs: DurationMs
  /** Number of requests that an endpoint runs at once. */
  readonly getSlots: (link: EndpointLink) => number
  readonly now: MonotonicMs
  /** Random number from 0 to 1, drawn for each candidate. */
  readonly nextFraction: () => number
}

function computeDistanceCost ({ zone, region }: DirectoryEndpoint, location: RelayLocation): DurationMs {
  if (zone === location.zone) return 0
  return region === location.region ? OTHER_ZONE_COST_MS : OTHER_REGION_COST_MS
}

function findFastestFirstByte (candidates: readonly Candidate[]): DurationMs {
  return Math.min(...candidates.map(({ link }) => link.firstByteMs ?? Infinity))
}

/** Returns the candidate with the lowest cost; undefined if there is none. */
export function chooseEndpoint (opts: ChooseOptions): ChosenEndpoint | undefined {
  const { candidates, location, now, runMs, nextFraction } = opts
  const fastestMs = findFastestFirstByte(candidates)
  let best: ChosenEndpoint | undefined
  for (const { endpoint, link, othersLoad } of candidates) {
    const load = estimateLoad(link, othersLoad, now)
    const slots = Math.max(1, opts.getSlots(link))
    const queued = Math.max(0, load + 1 - slots)
    const slowFirstByteMs = link.firstByteMs === undefined || fastestMs === Infinity ? 0 : (link.firstByteMs - fastestMs) * FIRST_BYTE_WEIGHT
    const openBreakerMs = link.breaker.isAllowed(now) ? 0 : OPEN_BREAKER_COST_MS
    const costMs = FULL_LOAD_COST_MS * Math.min(1, load / slots) + runMs * queued / slots + slowFirstByteMs + openBreakerMs + (link.silent ? SILENT_COST_MS : 0) + computeDistanceCost(endpoint, location) + (hasIdleConnection(link) ? 0 : NEW_CONNECTION_COST_MS) + MAX_JITTER_COST_MS * nextFraction()
    if (best === undefined || costMs < best.costMs) best = { endpoint, link, othersLoad, costMs, load }
  }
  return best
}
