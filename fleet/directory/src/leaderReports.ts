/** Tells the leader what this host runs and what it sees of the health of endpoints: at intervals, and at once where one falls silent. */
import type { AdapterKey, EndpointId, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { createHealthReports } from './healthReports.ts'
import { createUseReports } from './useReports.ts'

/** How often the leader is told. */
const INTERVAL_MS = 400

/** Least time between two reports, where an endpoint falls silent or is heard again. */
const MIN_INTERVAL_MS = 50

export interface LeaderReports {
  readonly run: (context: RunContext, leader: HostId | undefined) => void
  readonly getNextAt: () => MonotonicMs
  readonly noteBegun: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  readonly noteEnded: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  readonly noteFailed: (endpoint: EndpointId) => void
  readonly setSilent: (endpoint: EndpointId, silent: boolean) => void
  /** Requests at an endpoint that the last report told of. */
  readonly getTold: (endpoint: EndpointId) => number
}

/** Creates reports of nothing. */
export function createLeaderReports (): LeaderReports {
  const uses = createUseReports()
  const health = createHealthReports()
  let dueAt = 0
  let sentAt = Number.NEGATIVE_INFINITY

  function getNextAt (): MonotonicMs {
    return health.isUrgent() ? sentAt + MIN_INTERVAL_MS : dueAt
  }

  function run (context: RunContext, leader: HostId | undefined): void {
    if (context.now < getNextAt()) return
    sentAt = context.now
    dueAt = context.now + INTERVAL_MS
    if (leader === undefined) return
    const report = uses.take()
    const seen = health.take()
    if (report.length + seen.length > 0) context.send(leader, { kind: 'fleet.use', uses: report, ...(seen.length > 0 ? { health: seen } : {}) })
  }

  return { run, getNextAt, noteBegun: uses.noteBegun, noteEnded: uses.noteEnded, noteFailed: health.noteFailed, setSilent: health.setSilent, getTold: uses.getTold }
}
