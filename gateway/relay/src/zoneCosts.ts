/**
 * Costs of the zones for the choice of an endpoint. Collects the load figures of each pool's zones for the zone choice when a
 * request needs them, and records where requests were sent. Used by the target finder.
 */
import type { DurationMs, MonotonicMs, RegionId } from '@catkinferry/core.types'
import type { DirectoryEndpoint, OthersLoad } from '@catkinferry/fleet.directory'
import { createLinkMeter, createZoneChoice, getConstantCost } from '@catkinferry/routing.zone-choice'
import type { TransferBytes, ZoneChoice, ZoneCosts, ZoneFigures, ZoneLocation } from '@catkinferry/routing.zone-choice'
import type { ChosenEndpoint } from './chooseEndpoint.ts'
import { estimateLoad, estimateSlowdown, recordRelativeRunTime } from './endpointLinks.ts'
import type { EndpointLink } from './endpointLinks.ts'
import type { Exchange, Target } from './exchange.ts'
import type { RelayOptions } from './relayOptions.ts'
import type { LogFields } from './relayState.ts'
import type { RunTimes } from './runTimes.ts'

/** Minimum interval between two looks at all endpoints of a pool. The figures themselves change every 200 ms at most. */
const REFRESH_INTERVAL_MS = 100
/** Assumed size of a response before the first one of the pool (the largest usual one, since a link that is full delays all its traffic), and size of the head of a request. */
const DEFAULT_RESPONSE_BYTES = 20_000
const HEAD_BYTES = 500
/** Weight of a new sample in the averages of a pool. */
const SMOOTHING_FACTOR = 0.05
/** More requests in flight at an endpoint than this multiple of its slots say nothing more, or are false. */
const MAX_LOAD_PER_SLOT = 3

interface PoolState {
  readonly choice: ZoneChoice
  /** Whether an endpoint has reported how long work takes on its machine. Without such reports all endpoints count as equal, and the constants apply. */
  isUneven: boolean
  refreshedAt: MonotonicMs
  /** Average size of requests and responses; undefined before the first one. */
  requestBytes: number | undefined
  responseBytes: number | undefined
  /** Average run time of a token; undefined while no request has told its tokens. */
  tokenMs: DurationMs | undefined
}

export interface ZoneCostsOptions {
  readonly relay: Pick<RelayOptions, 'location' | 'clock' | 'directory' | 'random' | 'observer' | 'getEntryCount'>
  readonly runTimes: RunTimes
  readonly getLink: (exchange: Exchange, row: DirectoryEndpoint) => EndpointLink
  readonly getSlots: (exchange: Exchange, link: EndpointLink) => number
  /** Whether the endpoint takes requests, as far as this host knows. */
  readonly isServing: (exchange: Exchange, row: DirectoryEndpoint, link: EndpointLink) => boolean
}

export interface RelayZones {
  readonly getCosts: (exchange: Exchange) => ZoneCosts
  /** Log fields of a request that leaves its zone. */
  readonly describe: (exchange: Exchange, chosen: Pick<ChosenEndpoint, 'endpoint' | 'zoneCostMs'>) => LogFields
  readonly recordSent: (exchange: Exchange, target: Target) => void
  /** Records a response that was delivered whole. */
  readonly recordDelivered: (exchange: Exchange, target: Target, response: { readonly runMs: DurationMs, readonly bytes: number }) => void
}

/** Requests in flight at an endpoint by the larger of what its hosts and the endpoint itself report: either may be wrong, and too much traffic is worse than too little. */
export function estimateInFlight (link: EndpointLink, othersLoad: OthersLoad | undefined, slots: number, now: MonotonicMs): number {
  const byHosts = link.inFlight + (othersLoad?.running ?? 0)
  return Math.min(MAX_LOAD_PER_SLOT * slots, Math.max(byHosts, estimateLoad(link, undefined, now)))
}

interface ZoneSum extends ZoneLocation {
  endpoints: number
  slots: number
  inFlight: number
  speed: number
}

/** Collects the figures of all zones of a pool. */
function collectFigures (opts: ZoneCostsOptions, exchange: Exchange, now: MonotonicMs): ZoneFigures[] {
  const { relay: { directory }, runTimes } = opts
  const sums = new Map<string, ZoneSum>()
  const heardAt = new Map<RegionId, MonotonicMs>()
  for (const row of directory.listEndpoints(exchange.pool.name)) {
    const link = opts.getLink(exchange, row)
    if (!opts.isServing(exchange, row, link)) continue
    const othersLoad = directory.getOthersLoad(row.endpoint)
    if (othersLoad !== undefined) heardAt.set(row.region, Math.max(heardAt.get(row.region) ?? Number.NEGATIVE_INFINITY, othersLoad.at))
    const slots = Math.max(1, opts.getSlots(exchange, link))
    const sum = sums.get(row.zone) ?? { zone: row.zone, region: row.region, endpoints: 0, slots: 0, inFlight: 0, speed: 0 }
    sums.set(row.zone, sum)
    sum.endpoints += 1
    sum.slots += slots
    sum.inFlight += estimateInFlight(link, othersLoad, slots, now)
    sum.speed += slots / (link.relativeRunTime * estimateSlowdown(link, now))
  }
  // The totals of a region come in one message, which leaves out endpoints without requests and those with as many as before.
  const newestAt = Math.max(...heardAt.values(), Number.NEGATIVE_INFINITY)
  const getAge = (region: RegionId): DurationMs | undefined => {
    const at = heardAt.get(region) ?? newestAt
    return at === Number.NEGATIVE_INFINITY ? undefined : now - at
  }
  const runMs = runTimes.get(exchange.pool.name)
  return [...sums.values()].map(sum => ({ ...sum, ageMs: getAge(sum.region), speed: sum.speed / sum.slots, runMs }))
}

function findDistance ({ zone, region }: ZoneLocation, own: ZoneLocation): 'zone' | 'region' | 'other' {
  if (zone === own.zone) return 'zone'
  return region === own.region ? 'region' : 'other'
}

function computeAverage (average: number, sample: number): number {
  return average + (sample - average) * SMOOTHING_FACTOR
}

/** Creates the zone choices of a relay, one for each pool once it is used. */
export function createRelayZones (opts: ZoneCostsOptions): RelayZones {
  const { relay } = opts
  const { location, clock, directory } = relay
  const pools = new Map<string, PoolState>()
  const meter = createLinkMeter()
  /** Hosts that share the links of this region. */
  let hostCount = 1

  function getPool ({ pool: { name } }: Exchange): PoolState {
    const known = pools.get(name)
    if (known !== undefined) return known
    const created: PoolState = { isUneven: false, choice: createZoneChoice({ location, nextFraction: relay.random.nextFraction }), refreshedAt: Number.NEGATIVE_INFINITY, requestBytes: undefined, responseBytes: undefined, tokenMs: undefined }
    pools.set(name, created)
    return created
  }

  function updateFigures (state: PoolState, exchange: Exchange, now: MonotonicMs): void {
    state.refreshedAt = now
    state.isUneven ||= directory.listEndpoints(exchange.pool.name).some(row => opts.getLink(exchange, row).reportedLoad?.load.slowdown !== undefined)
    if (!state.isUneven) return
    const figures = collectFigures(opts, exchange, now)
    hostCount = relay.getEntryCount() / Math.max(1, new Set(figures.map(({ region }) => region)).size)
    state.choice.update({ figures, usual: { ...getBytes(exchange), requestBytes: state.requestBytes ?? HEAD_BYTES, objectiveMs: exchange.route.objectiveMs }, now })
  }

  function getBytes (exchange: Exchange): TransferBytes {
    return { requestBytes: exchange.body.length + HEAD_BYTES, responseBytes: getPool(exchange).responseBytes ?? DEFAULT_RESPONSE_BYTES }
  }

  return {
    getCosts: exchange => {
      const now = clock.getMonotonicMs()
      const state = getPool(exchange)
      if (now - state.refreshedAt >= REFRESH_INTERVAL_MS) updateFigures(state, exchange, now)
      if (!state.isUneven) return { getCostMs: other => getConstantCost(other, location) }
      const bytes = getBytes(exchange)
      return state.choice.getCosts({ ...bytes, objectiveMs: exchange.route.objectiveMs, hasRoom: region => meter.hasRoom(region, hostCount, now) })
    },
    describe: (exchange, { endpoint: { zone }, zoneCostMs }) => {
      if (zone === location.zone) return {}
      const share = getPool(exchange).choice.getShare(zone)
      return { zone, zoneCostMs: Math.round(zoneCostMs), zoneShare: share === undefined ? undefined : Math.round(share * 1_000) / 1_000 }
    },
    recordSent: (exchange, target) => {
      const row = directory.getEndpoint(target.endpoint)
      if (row === undefined) return
      const state = getPool(exchange)
      const bytes = getBytes(exchange)
      state.requestBytes = computeAverage(state.requestBytes ?? bytes.requestBytes, bytes.requestBytes)
      state.choice.recordSent(row.zone)
      relay.observer.count('requests_sent', { distance: findDistance(row, location) })
      if (row.region !== location.region) meter.record(row.region, bytes, clock.getMonotonicMs())
    },
    recordDelivered: (exchange, target, { runMs, bytes }) => {
      const state = getPool(exchange)
      const region = directory.getEndpoint(target.endpoint)?.region ?? location.region
      // The expected size was counted when the request was sent.
      if (region !== location.region) meter.record(region, { requestBytes: 0, responseBytes: Math.max(0, bytes - getBytes(exchange).responseBytes) }, clock.getMonotonicMs())
      state.responseBytes = computeAverage(state.responseBytes ?? bytes, bytes)
      const { tokens = 0 } = exchange.facts
      if (!state.isUneven || target.hasFreeSlot !== true || tokens <= 0) return
      state.tokenMs = computeAverage(state.tokenMs ?? runMs / tokens, runMs / tokens)
      recordRelativeRunTime(target.link, runMs / tokens / state.tokenMs)
    }
  }
}
