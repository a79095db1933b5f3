/**
 * Collects the requests that lost their connections to an endpoint, for the leader, which finds the prompt part that all crashes
 * have in common. Reports are repeated for a while: a message may be lost, and a new leader knows nothing of earlier crashes.
 */
import type { EndpointId, HostId, MonotonicMs, PromptPart } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { CrashReport } from '@catkinferry/wire.messages'

/** Connections that break within this time of the previous one belong to the same crash. */
const CRASH_SPAN_MS = 1_000
const MIN_REPORT_INTERVAL_MS = 50
const REPEAT_INTERVAL_MS = 2_000
/** Reports are repeated for this long; of more than `MAX_REPORTS` the oldest are dropped. */
const RETENTION_MS = 60_000
const MAX_REPORTS = 16
/** Limit on the prompts of each sort in a report. */
const MAX_PROMPTS = 32

/** How far the response to a request had come when its connection broke. A sound one had come further than one that crashes its endpoint. */
export const ResponseProgress = { WAITING: 'waiting', BEGUN: 'begun', SOUND: 'sound' } as const
export type ResponseProgress = typeof ResponseProgress[keyof typeof ResponseProgress]

export interface BrokenRequest {
  readonly endpoint: EndpointId
  readonly bornAt?: number
  readonly promptParts: readonly PromptPart[]
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
  readonly endpoint: EndpointId
  readonly bornAt?: number
  readonly firstAt: MonotonicMs
  lastAt: MonotonicMs
  broken: number
  readonly prompts: Readonly<Record<ResponseProgress, Map<string, readonly PromptPart[]>>>
  isChanged: boolean
}

function createRow ({ endpoint, bornAt }: BrokenRequest, now: MonotonicMs): Row {
  return { endpoint, bornAt, firstAt: now, lastAt: now, broken: 0, prompts: { waiting: new Map(), begun: new Map(), sound: new Map() }, isChanged: true }
}

function buildReport ({ endpoint, bornAt, firstAt, broken, prompts }: Row, now: MonotonicMs): CrashReport {
  return { endpoint, bornAt, agoMs: now - firstAt, broken, begun: [...prompts.begun.values()], waiting: [...prompts.waiting.values()] }
}

/** Creates empty reports. */
export function createCrashReports (): CrashReports {
  const rows = new Map<string, Row>()
  let sentTo: HostId | undefined
  let sentAt = Number.NEGATIVE_INFINITY
  /** While no leader is known. */
  let pausedUntil = Number.NEGATIVE_INFINITY

  const hasChanges = (): boolean => [...rows.values()].some(({ isChanged }) => isChanged)

  function dropOld (now: MonotonicMs): void {
    for (const [key, { lastAt }] of rows) if (now - lastAt > RETENTION_MS || rows.size > MAX_REPORTS) rows.delete(key)
  }

  function countBroken (row: Row, now: MonotonicMs): void {
    row.broken += 1
    row.lastAt = now
    row.isChanged = true
  }

  return {
    record: (request, now) => {
      const key = `${request.endpoint}|${request.bornAt}`
      const known = rows.get(key)
      const row = known !== undefined && now - known.lastAt <= CRASH_SPAN_MS ? known : createRow(request, now)
      rows.delete(key)
      rows.set(key, row)
      countBroken(row, now)
      const prompts = row.prompts[request.progress]
      if (request.promptParts.length > 0 && prompts.size < MAX_PROMPTS) prompts.set(request.promptParts.join(), request.promptParts)
    },
    recordUnreachable: ({ endpoint, bornAt }, now) => {
      const row = rows.get(`${endpoint}|${bornAt}`)
      if (row !== undefined && now - row.lastAt <= CRASH_SPAN_MS) countBroken(row, now)
    },
    run: (context, leader) => {
      const { now } = context
      dropOld(now)
      if (rows.size === 0) return
      if (leader === undefined) {
        pausedUntil = now + MIN_REPORT_INTERVAL_MS
        return
      }
      const isRepeat = leader !== sentTo || now - sentAt >= REPEAT_INTERVAL_MS
      if (!isRepeat && (!hasChanges() || now - sentAt < MIN_REPORT_INTERVAL_MS)) return
      const due = [...rows.values()].filter(({ isChanged }) => isRepeat || isChanged)
      sentTo = leader
      sentAt = now
      for (const row of due) row.isChanged = false
      context.send(leader, { kind: 'fleet.crashes', crashes: due.map(row => buildReport(row, now)) })
    },
    getNextAt: () => rows.size === 0 ? Infinity : Math.max(pausedUntil, sentAt + (hasChanges() ? MIN_REPORT_INTERVAL_MS : REPEAT_INTERVAL_MS))
  }
}
