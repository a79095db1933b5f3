/**
 * Finds unhealthy (suspect) endpoints from the reports of all entry hosts. The leader runs it every `HEALTH_INTERVAL_MS` and
 * publishes the suspects to entry hosts. One host sends few requests to each endpoint, but all hosts together detect within
 * half a second that an endpoint has fallen silent, or that its responses fail more often than those of other endpoints. That
 * hosts can open no connection to it is no evidence while another host uses it: then their own paths have failed.
 */
import type { DurationMs, EndpointId, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { AdapterUse, EndpointHealth } from '@catkinferry/wire.messages'

/** Hosts that must report an endpoint silent or unreachable to make it suspect: the minimum, and, of silence, the share of the hosts with requests there. */
const MIN_SILENT_HOSTS = 2
const MIN_SILENT_HOST_SHARE = 0.6
/** Reports of silence older than this are ignored, and so is the use by other hosts. */
const SILENCE_REPORT_TTL_MS = 1_200
/** Failures are counted in two halves of this window, so they cover between half of it and all of it. */
const FAILURE_WINDOW_MS = 2_000
/** Failures that make an endpoint suspect: the minimum count, the minimum share of its requests, and the minimum excess over the share in the rest of its pool. */
const MIN_FAILURES = 5
const MIN_FAILURE_SHARE = 0.25
const MIN_EXCESS_SHARE = 0.15
/** An endpoint stays suspect for this long. The time doubles each time it becomes suspect again, up to the maximum. */
const MIN_SUSPECT_MS = 1_000
const MAX_SUSPECT_MS = 8_000
/** After this long without suspicion the time starts from the minimum again. */
const SUSPECT_RESET_MS = 10_000
/** Once this share of a pool is suspect, no more of its endpoints become suspect: such a widespread failure is not the endpoints' fault. */
const MAX_SUSPECT_SHARE = 0.5

/** Requests and failures in one half of the window. */
interface WindowCounts {
  from: MonotonicMs
  begun: number
  failed: number
}

interface HealthRow {
  /** Hosts that report it silent, and the time of their last report. */
  readonly silenceReportedAt: Map<HostId, MonotonicMs>
  /** Hosts that can open no connection to it, and those that have used it without trouble, with the time of their last report. */
  readonly unreachableReportedAt: Map<HostId, MonotonicMs>
  readonly usedAt: Map<HostId, MonotonicMs>
  currentHalf: WindowCounts
  previousHalf: WindowCounts
  suspectUntil: MonotonicMs
  suspectMs: DurationMs
}

/** A change of the suspect state of an endpoint, with the counts that caused it. */
export interface HealthChange {
  readonly endpoint: EndpointId
  readonly suspect: boolean
  readonly silentHosts: number
  readonly unreachableHosts: number
  readonly usingHosts: number
  readonly failed: number
  readonly begun: number
}

/** Pools and usage of endpoints. */
export interface HealthPools {
  /** Undefined for an endpoint that is removed or leaving. */
  readonly getPool: (endpoint: EndpointId) => string | undefined
  readonly listEndpoints: (pool: string) => readonly EndpointId[]
  /** Entry hosts with requests at an endpoint. */
  readonly countUsingHosts: (endpoint: EndpointId) => number
}

export interface EndpointHealthTracker {
  readonly receive: (from: HostId, uses: readonly AdapterUse[], health: readonly EndpointHealth[], now: MonotonicMs) => void
  /** Evaluates the endpoints with reported problems and the suspects. Returns those whose suspect state has changed. */
  readonly update: (pools: HealthPools, now: MonotonicMs) => readonly HealthChange[]
  readonly isSuspect: (endpoint: EndpointId) => boolean
  /** Forgets an endpoint that is gone or has restarted. */
  readonly drop: (endpoint: EndpointId) => void
  readonly clear: () => void
}

interface EndpointCounts {
  readonly silentHosts: number
  readonly unreachableHosts: number
  readonly usingHosts: number
  readonly failed: number
  readonly begun: number
}

function rotateWindow (row: HealthRow, now: MonotonicMs): void {
  if (now - row.currentHalf.from <= FAILURE_WINDOW_MS / 2) return
  const isOld = now - row.currentHalf.from > FAILURE_WINDOW_MS
  row.previousHalf = isOld ? { from: now, begun: 0, failed: 0 } : row.currentHalf
  row.currentHalf = { from: now, begun: 0, failed: 0 }
}

function countOutcomes (row: HealthRow, now: MonotonicMs): { readonly failed: number, readonly begun: number } {
  rotateWindow(row, now)
  const { currentHalf, previousHalf } = row
  const failed = currentHalf.failed + previousHalf.failed
  return { failed, begun: Math.max(failed, currentHalf.begun + previousHalf.begun) }
}

function addCounts (row: HealthRow, { begun = 0, failed = 0 }: { begun?: number, failed?: number }, now: MonotonicMs): void {
  rotateWindow(row, now)
  row.currentHalf.begun += begun
  row.currentHalf.failed += failed
}

function dropOldReports (reports: Map<HostId, MonotonicMs>, now: MonotonicMs): void {
  for (const [host, at] of reports) if (now - at > SILENCE_REPORT_TTL_MS) reports.delete(host)
}

function countSilentHosts ({ silenceReportedAt }: HealthRow, now: MonotonicMs): number {
  dropOldReports(silenceReportedAt, now)
  return silenceReportedAt.size
}

/** Hosts that can open no connection to it; 0 while another host uses it without trouble. */
function countUnreachableHosts ({ unreachableReportedAt, usedAt }: HealthRow, now: MonotonicMs): number {
  dropOldReports(unreachableReportedAt, now)
  dropOldReports(usedAt, now)
  const isUsed = [...usedAt.keys()].some(host => !unreachableReportedAt.has(host))
  return isUsed ? 0 : unreachableReportedAt.size
}

function isUnreachable ({ unreachableHosts }: EndpointCounts): boolean {
  return unreachableHosts >= MIN_SILENT_HOSTS
}

function isSilent ({ silentHosts, usingHosts }: EndpointCounts): boolean {
  return silentHosts >= MIN_SILENT_HOSTS && silentHosts >= MIN_SILENT_HOST_SHARE * usingHosts
}

/** `poolCounts`: counts of the whole pool, including this endpoint's. */
function isFailing ({ failed, begun }: EndpointCounts, poolCounts: { readonly failed: number, readonly begun: number }): boolean {
  if (failed < MIN_FAILURES || failed / begun < MIN_FAILURE_SHARE) return false
  const othersShare = (poolCounts.failed - failed) / Math.max(1, poolCounts.begun - begun)
  return failed / begun >= othersShare + MIN_EXCESS_SHARE
}

function countPoolOutcomes (rows: ReadonlyMap<EndpointId, HealthRow>, endpoints: readonly EndpointId[], now: MonotonicMs): { failed: number, begun: number } {
  const all = { failed: 0, begun: 0 }
  for (const endpoint of endpoints) {
    const row = rows.get(endpoint)
    if (row === undefined) continue
    const { failed, begun } = countOutcomes(row, now)
    all.failed += failed
    all.begun += begun
  }
  return all
}

function createRow (now: MonotonicMs): HealthRow {
  const counted = { from: now, begun: 0, failed: 0 }
  return { silenceReportedAt: new Map(), unreachableReportedAt: new Map(), usedAt: new Map(), currentHalf: { ...counted }, previousHalf: counted, suspectUntil: Number.NEGATIVE_INFINITY, suspectMs: MIN_SUSPECT_MS }
}

interface Reachability {
  readonly receive: EndpointHealthTracker['receive']
  readonly clear: () => void
}

/** Records in the rows to which endpoints hosts can open no connection, and which they use without trouble. */
function createReachability (getRow: (endpoint: EndpointId, now: MonotonicMs) => HealthRow): Reachability {
  /** In each host's last report. */
  const unreachableByHost = new Map<HostId, readonly EndpointId[]>()
  return {
    receive: (from, uses, health, now) => {
      for (const endpoint of unreachableByHost.get(from) ?? []) getRow(endpoint, now).unreachableReportedAt.delete(from)
      const unreachable = health.filter(row => row.unreachable === true).map(({ endpoint }) => endpoint)
      if (unreachable.length > 0) unreachableByHost.set(from, unreachable)
      else unreachableByHost.delete(from)
      for (const endpoint of unreachable) getRow(endpoint, now).unreachableReportedAt.set(from, now)
      const troubled = new Set([...health.filter(({ failed, silent }) => failed > 0 || silent).map(({ endpoint }) => endpoint), ...unreachable])
      for (const { endpoint } of uses) if (!troubled.has(endpoint)) getRow(endpoint, now).usedAt.set(from, now)
      for (const endpoint of troubled) getRow(endpoint, now).usedAt.delete(from)
    },
    clear: () => unreachableByHost.clear()
  }
}

/** Creates a tracker without reports. */
export function createEndpointHealthTracker (): EndpointHealthTracker {
  const rows = new Map<EndpointId, HealthRow>()
  const suspects = new Set<EndpointId>()
  /** Endpoints with recently reported problems, and suspects. */
  const watched = new Set<EndpointId>()
  /** Silent endpoints in each host's last report. */
  const silentEndpointsByHost = new Map<HostId, readonly EndpointId[]>()
  const reachability = createReachability(getRow)

  function getRow (endpoint: EndpointId, now: MonotonicMs): HealthRow {
    const row = rows.get(endpoint) ?? createRow(now)
    rows.set(endpoint, row)
    return row
  }

  function receive (from: HostId, uses: readonly AdapterUse[], health: readonly EndpointHealth[], now: MonotonicMs): void {
    for (const { endpoint, begun } of uses) if (begun > 0) addCounts(getRow(endpoint, now), { begun }, now)
    reachability.receive(from, uses, health, now)
    for (const endpoint of silentEndpointsByHost.get(from) ?? []) rows.get(endpoint)?.silenceReportedAt.delete(from)
    silentEndpointsByHost.delete(from)
    const silent = health.filter(row => row.silent).map(({ endpoint }) => endpoint)
    if (silent.length > 0) silentEndpointsByHost.set(from, silent)
    for (const endpoint of silent) getRow(endpoint, now).silenceReportedAt.set(from, now)
    for (const { endpoint, failed } of health) {
      addCounts(getRow(endpoint, now), { failed }, now)
      watched.add(endpoint)
    }
  }

  /** Returns the change; undefined if the suspect state stays the same. */
  function updateRow (endpoint: EndpointId, counts: EndpointCounts, isUnhealthy: boolean, now: MonotonicMs): HealthChange | undefined {
    const row = getRow(endpoint, now)
    const wasSuspect = suspects.has(endpoint)
    if (isUnhealthy && now >= row.suspectUntil) {
      row.suspectMs = now - row.suspectUntil > SUSPECT_RESET_MS ? MIN_SUSPECT_MS : Math.min(MAX_SUSPECT_MS, row.suspectMs * 2)
      row.suspectUntil = now + row.suspectMs
      row.currentHalf = { from: now, begun: 0, failed: 0 }
      row.previousHalf = { from: now, begun: 0, failed: 0 }
    }
    const suspect = now < row.suspectUntil
    if (suspect === wasSuspect) return undefined
    if (suspect) suspects.add(endpoint)
    else suspects.delete(endpoint)
    return { endpoint, suspect, ...counts }
  }

  /** Whether an endpoint is unhealthy now. The rest of its pool is examined only if its own counts allow for that. */
  function isUnhealthy (endpoint: EndpointId, counts: EndpointCounts, pools: HealthPools, now: MonotonicMs): boolean {
    const pool = pools.getPool(endpoint)
    if (pool === undefined || (!isSilent(counts) && !isUnreachable(counts) && counts.failed < MIN_FAILURES)) return false
    const endpoints = pools.listEndpoints(pool)
    const otherSuspects = endpoints.filter(other => other !== endpoint && suspects.has(other)).length
    if (!suspects.has(endpoint) && otherSuspects >= Math.floor(endpoints.length * MAX_SUSPECT_SHARE)) return false
    return isSilent(counts) || isUnreachable(counts) || isFailing(counts, countPoolOutcomes(rows, endpoints, now))
  }

  function update (pools: HealthPools, now: MonotonicMs): readonly HealthChange[] {
    const changes: HealthChange[] = []
    for (const endpoint of watched) {
      const row = getRow(endpoint, now)
      const silentHosts = countSilentHosts(row, now)
      const counts = { silentHosts, unreachableHosts: countUnreachableHosts(row, now), usingHosts: Math.max(silentHosts, pools.countUsingHosts(endpoint)), ...countOutcomes(row, now) }
      const change = updateRow(endpoint, counts, isUnhealthy(endpoint, counts, pools, now), now)
      if (change !== undefined) changes.push(change)
      if (counts.silentHosts + row.unreachableReportedAt.size + counts.failed === 0 && !suspects.has(endpoint)) watched.delete(endpoint)
    }
    return changes
  }

  return {
    receive,
    update,
    isSuspect: endpoint => suspects.has(endpoint),
    drop: endpoint => {
      rows.delete(endpoint)
      suspects.delete(endpoint)
      watched.delete(endpoint)
    },
    clear: () => {
      rows.clear()
      suspects.clear()
      watched.clear()
      silentEndpointsByHost.clear()
      reachability.clear()
    }
  }
}
