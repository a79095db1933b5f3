/**
 * Requests in progress at each endpoint, summed by the leader over the reports of all entry hosts and sent back to the hosts
 * at intervals, so that their relays choose endpoints by the load of all. Totals of endpoints in a host's own region have a
 * higher byte rate limit than those of other regions. The leader also chooses engines by the totals.
 */
import type { EndpointId, HostId, MonotonicMs, RegionId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { AdapterUse } from '@catkinferry/wire.messages'
import { USE_REPORT_TTL_MS } from './constants.ts'

/** Minimum interval between two rounds. */
const MIN_ROUND_INTERVAL_MS = 200
/**
 * Size of one total, and byte rates of the totals sent to a host, for its own region and for all others. Together the rates are
 * under half of the control traffic allowed for a host.
 */
const BYTES_PER_TOTAL = 16
const OWN_REGION_BYTES_PER_SECOND = 2_500
const OTHER_REGIONS_BYTES_PER_SECOND = 1_500
const MS_PER_SECOND = 1_000
/** Every this many rounds all totals are sent instead of only the changed ones. */
const ROUNDS_PER_FULL_UPDATE = 10

interface Report {
  readonly at: MonotonicMs
  readonly running: ReadonlyMap<EndpointId, number>
}

/** The rounds sent to the hosts of one region about the endpoints of one region. */
interface Round {
  nextAt: MonotonicMs
  count: number
  lastTotals: ReadonlyMap<EndpointId, number>
}

export interface LoadTotalsOptions {
  readonly getHostRegion: (host: HostId) => RegionId | undefined
  readonly getEndpointRegion: (endpoint: EndpointId) => RegionId | undefined
}

export interface LoadTotals {
  /** Records what a host runs now, in place of its previous report. */
  readonly receive: (from: HostId, uses: readonly AdapterUse[], now: MonotonicMs) => void
  readonly get: (endpoint: EndpointId) => number
  /** Counts the hosts with requests at an endpoint. */
  readonly countUsingHosts: (endpoint: EndpointId) => number
  /** Updates the totals and sends those that are due, if the interval between rounds has passed. */
  readonly flush: (context: RunContext, hosts: readonly HostId[]) => void
  readonly clear: () => void
  readonly getNextAt: () => MonotonicMs
}

function groupHostsByRegion (hosts: readonly HostId[], getRegion: LoadTotalsOptions['getHostRegion']): Map<RegionId, HostId[]> {
  const groups = new Map<RegionId, HostId[]>()
  for (const host of hosts) {
    const region = getRegion(host)
    if (region === undefined) continue
    const group = groups.get(region)
    if (group === undefined) groups.set(region, [host])
    else group.push(host)
  }
  return groups
}

function listChanges (totals: ReadonlyMap<EndpointId, number>, lastTotals: ReadonlyMap<EndpointId, number>): Array<readonly [EndpointId, number]> {
  const changed = [...totals].filter(([endpoint, count]) => lastTotals.get(endpoint) !== count)
  const ended = [...lastTotals].filter(([endpoint, count]) => count !== 0 && !totals.has(endpoint)).map(([endpoint]) => [endpoint, 0] as const)
  return [...changed, ...ended]
}

/** Creates totals without reports. */
export function createLoadTotals (opts: LoadTotalsOptions): LoadTotals {
  const reports = new Map<HostId, Report>()
  const rounds = new Map<string, Round>()
  let totals = new Map<EndpointId, number>()
  let updateAt = 0
  /** Regions in the previous round, so that the end of their last requests is sent too. */
  let lastRegions: ReadonlySet<RegionId> = new Set()

  function updateTotals (now: MonotonicMs): void {
    updateAt = now + MIN_ROUND_INTERVAL_MS
    totals = new Map()
    for (const [host, { at, running }] of reports) {
      if (now - at > USE_REPORT_TTL_MS) reports.delete(host)
      else for (const [endpoint, count] of running) if (count > 0) totals.set(endpoint, (totals.get(endpoint) ?? 0) + count)
    }
  }

  function groupTotalsByRegion (): Map<RegionId, Map<EndpointId, number>> {
    const groups = new Map<RegionId, Map<EndpointId, number>>()
    for (const [endpoint, count] of totals) {
      const region = opts.getEndpointRegion(endpoint)
      if (region === undefined) continue
      const group = groups.get(region) ?? new Map<EndpointId, number>()
      groups.set(region, group.set(endpoint, count))
    }
    return groups
  }

  /** Sends the totals of one region's endpoints to the hosts of the same or another region. */
  function sendRound (region: RegionId, regionTotals: ReadonlyMap<EndpointId, number>, to: { readonly key: string, readonly hosts: readonly HostId[], readonly bytesPerSecond: number }, context: RunContext): void {
    const round = rounds.get(to.key) ?? { nextAt: 0, count: 0, lastTotals: new Map() }
    rounds.set(to.key, round)
    if (context.now < round.nextAt) return
    const whole = round.count % ROUNDS_PER_FULL_UPDATE === 0
    const running = whole ? [...regionTotals] : listChanges(regionTotals, round.lastTotals)
    round.count += 1
    round.lastTotals = regionTotals
    round.nextAt = context.now + Math.max(MIN_ROUND_INTERVAL_MS, running.length * BYTES_PER_TOTAL * MS_PER_SECOND / to.bytesPerSecond)
    if (running.length === 0 && !whole) return
    const message = { kind: 'fleet.load', region, whole, running } as const
    for (const host of to.hosts) context.send(host, message)
  }

  function sendRounds (context: RunContext, hosts: readonly HostId[]): void {
    const groups = groupTotalsByRegion()
    const regions = new Set([...groups.keys(), ...lastRegions])
    lastRegions = regions
    for (const [hostRegion, group] of groupHostsByRegion(hosts, opts.getHostRegion)) {
      for (const region of regions) {
        const bytesPerSecond = region === hostRegion ? OWN_REGION_BYTES_PER_SECOND : OTHER_REGIONS_BYTES_PER_SECOND / Math.max(1, regions.size - 1)
        sendRound(region, groups.get(region) ?? new Map(), { key: `${hostRegion}|${region}`, hosts: group, bytesPerSecond }, context)
      }
    }
  }

  return {
    receive: (from, uses, now) => {
      const running = new Map<EndpointId, number>()
      for (const use of uses) running.set(use.endpoint, (running.get(use.endpoint) ?? 0) + use.running)
      reports.set(from, { at: now, running })
    },
    get: endpoint => totals.get(endpoint) ?? 0,
    countUsingHosts: endpoint => {
      let count = 0
      for (const { running } of reports.values()) if ((running.get(endpoint) ?? 0) > 0) count += 1
      return count
    },
    flush: (context, hosts) => {
      if (context.now < updateAt) return
      updateTotals(context.now)
      sendRounds(context, hosts)
    },
    clear: () => {
      reports.clear()
      rounds.clear()
      totals = new Map()
    },
    getNextAt: () => updateAt
  }
}
