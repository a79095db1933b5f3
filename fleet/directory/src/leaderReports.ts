/**
 * Reports to the leader the requests that this entry host runs, the endpoint health it sees and what accounts use: at intervals, and sooner when
 * an endpoint falls silent, responds again or announces that it is leaving. Run by the directory.
 */
import type { AdapterKey, EndpointId, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { UsageReport } from '@catkinferry/accounts.quotas'
import type { RunContext } from '@catkinferry/host.events'
import { createHealthReports } from './healthReports.ts'
import type { HealthReports } from './healthReports.ts'
import { createUseReports } from './useReports.ts'

/** Interval of reports without urgent changes. */
const REPORT_INTERVAL_MS = 400

/** Minimum interval between two reports when an endpoint falls silent, responds again or announces that it is leaving. */
const MIN_REPORT_INTERVAL_MS = 50

export interface LeaderReports {
  readonly run: (context: RunContext, leader: HostId | undefined) => void
  readonly getNextAt: () => MonotonicMs
  readonly recordBegun: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  readonly recordEnded: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  readonly recordFailed: (endpoint: EndpointId) => void
  readonly setSilent: HealthReports['setSilent']
  readonly setUnreachable: HealthReports['setUnreachable']
  readonly recordLeaving: (endpoint: EndpointId, bornAt: number | undefined) => void
  readonly recordLimit: HealthReports['recordLimit']
  /** Running requests at an endpoint in the last report. */
  readonly getReported: (endpoint: EndpointId) => number
}

export interface LeaderReportsOptions {
  /** Whether the leader lists this instance of an endpoint as serving. */
  readonly isListedServing: (endpoint: EndpointId, bornAt: number | undefined) => boolean
  /** Takes the units of accounts that were counted since it was called last, for this leader. */
  readonly takeAccountUsage: (leader: HostId | undefined, now: MonotonicMs) => UsageReport | undefined
}

/** Creates empty reports. */
export function createLeaderReports ({ isListedServing, takeAccountUsage }: LeaderReportsOptions): LeaderReports {
  const uses = createUseReports()
  const health = createHealthReports(isListedServing)
  let dueAt = 0
  let sentAt = Number.NEGATIVE_INFINITY

  function getNextAt (): MonotonicMs {
    return health.isUrgent() ? sentAt + MIN_REPORT_INTERVAL_MS : dueAt
  }

  function run (context: RunContext, leader: HostId | undefined): void {
    if (context.now < getNextAt()) return
    sentAt = context.now
    dueAt = context.now + REPORT_INTERVAL_MS
    const usage = takeAccountUsage(leader, context.now)
    if (leader === undefined) return
    const report = uses.take()
    const seen = health.take(context.now)
    if (report.length + seen.length === 0 && usage === undefined) return
    const accounts = usage === undefined ? {} : { accounts: usage.rows, ...(usage.overMs === undefined ? {} : { accountsOverMs: usage.overMs }) }
    context.send(leader, { kind: 'fleet.use', uses: report, ...(seen.length > 0 ? { health: seen } : {}), ...accounts })
  }

  return { run, getNextAt, recordBegun: uses.recordBegun, recordEnded: uses.recordEnded, recordFailed: health.recordFailed, setSilent: health.setSilent, setUnreachable: health.setUnreachable, recordLeaving: health.recordLeaving, recordLimit: health.recordLimit, getReported: uses.getReported }
}
