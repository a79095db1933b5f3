/**
 * Health of endpoints over all entry hosts. One host sends few requests to each endpoint; together they see within half a
 * second that one has fallen silent, or that its answers fail more often than those of others.
 */
import type { DurationMs, EndpointId, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { AdapterUse, EndpointHealth } from '@catkinferry/wire.messages'

/** Hosts that find an endpoint silent: at least, and as a share of those with requests there. */
const MIN_SILENT_HOSTS = 2
const SILENT_HOSTS_SHARE = 0.6
/** A report older than this is not counted. */
const REPORT_MS = 1_200
/** Span over which failures are counted. */
const FAILURE_WINDOW_MS = 2_000
/** Failures that make an endpoint suspect: at least, as a share of its requests, and beyond the share of the rest of its pool. */
const MIN_FAILURES = 5
const FAILURE_SHARE = 0.25
const EXCESS_SHARE = 0.15
/** An endpoint is suspect for this long; twice as long each time it is found so again, up to a bound. */
const SUSPECT_MS = 1_000
const MAX_SUSPECT_MS = 8_000
/** After this long without suspicion it begins with the shortest time again. */
const FORGET_MS = 10_000
/** Beyond this share of a pool no more of it become suspect: what is seen then is not the endpoints' fault. */
const MAX_SUSPECT_SHARE = 0.5

interface HostView {
  readonly silent: boolean
  readonly running: number
  readonly at: MonotonicMs
}

interface HealthRow {
  readonly views: Map<HostId, HostView>
  outcomes: Array<{ readonly at: MonotonicMs, readonly begun: number, readonly failed: number }>
  suspectUntil: MonotonicMs
  holdMs: DurationMs
}

/** What has changed about an endpoint, with the figures that decided it. */
export interface HealthChange {
  readonly endpoint: EndpointId
  readonly suspect: boolean
  readonly silentHosts: number
  readonly usingHosts: number
  readonly failed: number
  readonly begun: number
}

export interface EndpointHealthBoard {
  readonly receive: (from: HostId, uses: readonly AdapterUse[], health: readonly EndpointHealth[], now: MonotonicMs) => void
  /** Weighs the endpoints of each pool; gives those whose suspicion has changed. */
  readonly update: (pools: Iterable<readonly EndpointId[]>, now: MonotonicMs) => readonly HealthChange[]
  readonly isSuspect: (endpoint: EndpointId) => boolean
  readonly drop: (endpoint: EndpointId) => void
  readonly clear: () => void
}

interface Counts {
  readonly silentHosts: number
  readonly usingHosts: number
  readonly failed: number
  readonly begun: number
}

function countViews ({ views, outcomes }: HealthRow): Counts {
  let silentHosts = 0
  let usingHosts = 0
  for (const { silent, running } of views.values()) {
    if (silent) silentHosts += 1
    if (silent || running > 0) usingHosts += 1
  }
  const failed = outcomes.reduce((sum, row) => sum + row.failed, 0)
  const begun = outcomes.reduce((sum, row) => sum + row.begun, 0)
  return { silentHosts, usingHosts, failed, begun: Math.max(begun, failed) }
}

function dropOld (row: HealthRow, now: MonotonicMs): void {
  for (const [host, { at }] of row.views) if (now - at > REPORT_MS) row.views.delete(host)
  row.outcomes = row.outcomes.filter(({ at }) => now - at <= FAILURE_WINDOW_MS)
}

function isSilent ({ silentHosts, usingHosts }: Counts): boolean {
  return silentHosts >= MIN_SILENT_HOSTS && silentHosts >= SILENT_HOSTS_SHARE * usingHosts
}

/** `all`: counts of the whole pool, this endpoint's included. */
function isFailing ({ failed, begun }: Counts, all: { readonly failed: number, readonly begun: number }): boolean {
  if (failed < MIN_FAILURES || failed / begun < FAILURE_SHARE) return false
  const othersShare = (all.failed - failed) / Math.max(1, all.begun - begun)
  return failed / begun >= othersShare + EXCESS_SHARE
}

interface Seen {
  running: number
  begun: number
  failed: number
  silent: boolean
}

/** Joins the two parts of a report by endpoint. */
function collectSeen (uses: readonly AdapterUse[], health: readonly EndpointHealth[]): Map<EndpointId, Seen> {
  const seen = new Map<EndpointId, Seen>()
  const getSeen = (endpoint: EndpointId): Seen => {
    const facts = seen.get(endpoint) ?? { running: 0, begun: 0, failed: 0, silent: false }
    seen.set(endpoint, facts)
    return facts
  }
  for (const { endpoint, begun, running } of uses) {
    const facts = getSeen(endpoint)
    facts.begun += begun
    facts.running += running
  }
  for (const { endpoint, failed, silent } of health) {
    const facts = getSeen(endpoint)
    facts.failed += failed
    facts.silent = silent
  }
  return seen
}

/** Creates an empty board. */
export function createEndpointHealthBoard (): EndpointHealthBoard {
  const rows = new Map<EndpointId, HealthRow>()
  const suspects = new Set<EndpointId>()

  function getRow (endpoint: EndpointId): HealthRow {
    const known = rows.get(endpoint)
    if (known !== undefined) return known
    const row: HealthRow = { views: new Map(), outcomes: [], suspectUntil: Number.NEGATIVE_INFINITY, holdMs: SUSPECT_MS }
    rows.set(endpoint, row)
    return row
  }

  function receive (from: HostId, uses: readonly AdapterUse[], health: readonly EndpointHealth[], now: MonotonicMs): void {
    const seen = collectSeen(uses, health)
    // A report tells all that its host runs: where it names no endpoint, the host knows nothing of that one any more.
    for (const [endpoint, { views }] of rows) if (!seen.has(endpoint)) views.delete(from)
    for (const [endpoint, { running, begun, failed, silent }] of seen) {
      const row = getRow(endpoint)
      row.views.set(from, { silent, running, at: now })
      if (begun + failed > 0) row.outcomes.push({ at: now, begun, failed })
    }
  }

  /** Gives the change; undefined where suspicion stays as it is. */
  function updateRow (endpoint: EndpointId, counts: Counts, isBad: boolean, now: MonotonicMs): HealthChange | undefined {
    const row = getRow(endpoint)
    const wasSuspect = suspects.has(endpoint)
    if (isBad && now >= row.suspectUntil) {
      row.holdMs = now - row.suspectUntil > FORGET_MS ? SUSPECT_MS : Math.min(MAX_SUSPECT_MS, row.holdMs * 2)
      row.suspectUntil = now + row.holdMs
      row.outcomes = []
    }
    const suspect = now < row.suspectUntil
    if (suspect === wasSuspect) return undefined
    if (suspect) suspects.add(endpoint)
    else suspects.delete(endpoint)
    return { endpoint, suspect, ...counts }
  }

  function updatePool (endpoints: readonly EndpointId[], now: MonotonicMs): HealthChange[] {
    const counted = endpoints.filter(endpoint => rows.has(endpoint)).map(endpoint => {
      const row = getRow(endpoint)
      dropOld(row, now)
      return { endpoint, counts: countViews(row) }
    })
    const all = { failed: counted.reduce((sum, { counts }) => sum + counts.failed, 0), begun: counted.reduce((sum, { counts }) => sum + counts.begun, 0) }
    const most = Math.floor(endpoints.length * MAX_SUSPECT_SHARE)
    let count = endpoints.filter(endpoint => suspects.has(endpoint)).length
    const changes: HealthChange[] = []
    for (const { endpoint, counts } of counted) {
      const mayBe = suspects.has(endpoint) || count < most
      const change = updateRow(endpoint, counts, mayBe && (isSilent(counts) || isFailing(counts, all)), now)
      if (change === undefined) continue
      count += change.suspect ? 1 : -1
      changes.push(change)
    }
    return changes
  }

  return {
    receive,
    update: (pools, now) => [...pools].flatMap(endpoints => updatePool(endpoints, now)),
    isSuspect: endpoint => suspects.has(endpoint),
    drop: endpoint => {
      rows.delete(endpoint)
      suspects.delete(endpoint)
    },
    clear: () => {
      rows.clear()
      suspects.clear()
    }
  }
}
