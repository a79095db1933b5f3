/**
 * Collects the requests that lost their connections to an endpoint, for the leader, which finds what all crashes have in common.
 * Reports are repeated for a while, since a message may be lost, and sent to each new leader, which knows nothing of earlier crashes.
 */
import type { EndpointId, HostId, MonotonicMs, RequestTrait } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { CrashReport } from '@catkinferry/wire.messages'

/** Connections that break within this time of the previous one belong to the same crash. */
const CRASH_SPAN_MS = 1_000
const MIN_REPORT_INTERVAL_MS = 50
const REPEAT_INTERVAL_MS = 2_000
/** Reports are repeated for this long, and kept for new leaders for longer; of more than `MAX_REPORTS` the oldest are dropped. */
const REPEATED_MS = 60_000
const RETENTION_MS = 300_000
const MAX_REPORTS = 32
/** Limit on the requests of each sort in a report. */
const MAX_REQUESTS = 64

/** How far the response to a request had come when its connection broke. A sound one had come further than one that crashes its endpoint. */
export const ResponseProgress = { WAITING: 'waiting', BEGUN: 'begun', SOUND: 'sound' } as const
export type ResponseProgress = typeof ResponseProgress[keyof typeof ResponseProgress]

export interface BrokenRequest {
  readonly endpoint: EndpointId
  readonly bornAt?: number
  readonly traits: readonly RequestTrait[]
  readonly progress: ResponseProgress
}

export interface CrashReports {
  readonly record: (request: BrokenRequest, now: MonotonicMs) => void
  /** Counts a failed connection to an endpoint that has just broken others, which confirms its crash. */
  readonly recordUnreachable: (instance: Pick<BrokenRequest, 'endpoint' | 'bornAt'>, now: MonotonicMs) => void
  readonly run: (context: RunContext, leader: HostId | undefined) => void
  readonly getNextAt: () => MonotonicMs
}

interface Row {
  /** Tells the reports of this host on one instance of an endpoint apart. */
  readonly number: number
  readonly endpoint: EndpointId
  readonly bornAt?: number
  readonly firstAt: MonotonicMs
  lastAt: MonotonicMs
  broken: number
  /** Traits of the requests. */
  readonly requests: Readonly<Record<ResponseProgress, Map<string, readonly RequestTrait[]>>>
  isChanged: boolean
}

function createRow ({ endpoint, bornAt }: BrokenRequest, number: number, now: MonotonicMs): Row {
  return { number, endpoint, bornAt, firstAt: now, lastAt: now, broken: 0, requests: { waiting: new Map(), begun: new Map(), sound: new Map() }, isChanged: true }
}

function buildReport ({ number, endpoint, bornAt, firstAt, broken, requests }: Row, now: MonotonicMs): CrashReport {
  return { number, endpoint, bornAt, agoMs: now - firstAt, broken, begun: [...requests.begun.values()], waiting: [...requests.waiting.values()] }
}

/** Creates empty reports. */
export function createCrashReports (): CrashReports {
  let rows: Row[] = []
  let nextNumber = 1
  let sentTo: HostId | undefined
  let sentAt = Number.NEGATIVE_INFINITY
  /** While no leader is known. */
  let pausedUntil = Number.NEGATIVE_INFINITY

  const hasChanges = (): boolean => rows.some(({ isChanged }) => isChanged)

  /** The report on a crash of an instance that is still going on. */
  function findCurrent ({ endpoint, bornAt }: Pick<BrokenRequest, 'endpoint' | 'bornAt'>, now: MonotonicMs): Row | undefined {
    return rows.findLast(row => row.endpoint === endpoint && row.bornAt === bornAt && now - row.lastAt <= CRASH_SPAN_MS)
  }

  function addRow (request: BrokenRequest, now: MonotonicMs): Row {
    const row = createRow(request, nextNumber++, now)
    rows = [...rows.slice(1 - MAX_REPORTS), row]
    return row
  }

  function countBroken (row: Row, now: MonotonicMs): void {
    row.broken += 1
    row.lastAt = now
    row.isChanged = true
  }

  return {
    record: (request, now) => {
      const row = findCurrent(request, now) ?? addRow(request, now)
      countBroken(row, now)
      const requests = row.requests[request.progress]
      if (request.traits.length > 0 && requests.size < MAX_REQUESTS) requests.set(request.traits.join(), request.traits)
    },
    recordUnreachable: (instance, now) => {
      const row = findCurrent(instance, now)
      if (row !== undefined) countBroken(row, now)
    },
    run: (context, leader) => {
      const { now } = context
      rows = rows.filter(({ lastAt }) => now - lastAt <= RETENTION_MS)
      if (rows.length === 0) return
      if (leader === undefined) {
        sentTo = undefined
        pausedUntil = now + MIN_REPORT_INTERVAL_MS
        return
      }
      const isNewLeader = leader !== sentTo
      const isRepeat = now - sentAt >= REPEAT_INTERVAL_MS
      if (!isNewLeader && !isRepeat && (!hasChanges() || now - sentAt < MIN_REPORT_INTERVAL_MS)) return
      const due = rows.filter(({ isChanged, lastAt }) => isNewLeader || isChanged || (isRepeat && now - lastAt <= REPEATED_MS))
      sentTo = leader
      sentAt = now
      if (due.length === 0) return
      for (const row of due) row.isChanged = false
      context.send(leader, { kind: 'fleet.crashes', crashes: due.map(row => buildReport(row, now)) })
    },
    getNextAt: () => rows.length === 0 ? Infinity : Math.max(pausedUntil, sentAt + (hasChanges() ? MIN_REPORT_INTERVAL_MS : REPEAT_INTERVAL_MS))
  }
}
