/**
 * Limits on the requests a second that endpoints name in their responses, for all entry hosts together. Each host keeps to an
 * equal share by itself, so that the limit holds without a round trip: it sends in slots at equal intervals with a random phase.
 * A slot that is not used lapses; otherwise idle hosts would save one up each and send them all in the same moment.
 *
 * An endpoint may also name how many requests a second it can turn away for want of room. Each host then uses an equal share of
 * its room: so many requests in flight, or, where the share is less than one, one at a time at longer intervals.
 */
import type { DurationMs, MonotonicMs, RequestLimit } from '@catkinferry/core.types'
import type { EndpointInstance } from './endpointNotices.ts'

/** Limit on the instances remembered; the one that was heard of longest ago is dropped first. */
export const MAX_LIMITS = 20_000

/** Share of a limit that the slots of all hosts use: slots of several hosts may fall together. */
const USED_SHARE = 0.8
/** A slot lapses after this. */
const SLOT_MS = 500
/** Share of an endpoint's room that all hosts use together where it must turn few requests away. */
const USED_ROOM_SHARE = 0.75
/** The same where hosts take turns, since those of several hosts may fall together. */
const USED_TURN_SHARE = 0.5
/** Share of the rejections an endpoint can stand that all hosts may cause together. */
const USED_REJECTION_SHARE = 0.5
/** Longest pause of a host after an endpoint has turned a request of it away. */
const MAX_REJECTION_PAUSE_MS = 5_000
/** Lowest rate assumed, in requests a second. Without any request no response could tell that the limit has ended. */
const MIN_PER_SECOND = 0.2
const MS_PER_SECOND = 1_000

/** What a host knows of the room at an endpoint. */
export interface EndpointRoom {
  /** Requests that the endpoint runs at once. */
  readonly slots: number
  /** How long one of them takes. */
  readonly runMs: DurationMs
  /** Requests of this host in flight there. */
  readonly inFlight: number
}

export interface RequestLimits {
  /** Records what a response says. False if it changes nothing, or if something later is known. */
  readonly record: (instance: EndpointInstance, limit: RequestLimit, now: MonotonicMs) => boolean
  /** Whether any instance has named a limit. */
  readonly hasAny: () => boolean
  /** What an instance last said; undefined if it has said nothing. */
  readonly get: (instance: EndpointInstance) => RequestLimit | undefined
  /** How long until this host may send a request to an instance; 0 if it may now. */
  readonly getDelayMs: (instance: EndpointInstance, now: MonotonicMs) => DurationMs
  /** How long until this host has room at an instance that must turn few requests away; 0 if it has now. */
  readonly getRoomDelayMs: (instance: EndpointInstance, room: EndpointRoom, now: MonotonicMs) => DurationMs
  /** Records that an instance turned a request away for want of room. */
  readonly recordRejected: (instance: EndpointInstance, now: MonotonicMs) => void
  /** Uses the slot of a request that is sent now. */
  readonly recordSent: (instance: EndpointInstance, now: MonotonicMs) => void
}

interface Row {
  limit: RequestLimit
  nextSlotAt: MonotonicMs
  /** Next slot of a host whose share of the room is less than one request; undefined before its first. */
  nextTurnAt: MonotonicMs | undefined
  turnIntervalMs: DurationMs
  /** No request is sent before, because one was turned away. */
  pausedUntil: MonotonicMs
}

export interface RequestLimitsOptions {
  /** Number of entry hosts that share each limit. */
  readonly getHostCount: () => number
  /** Random number from 0 to 1. */
  readonly nextFraction: () => number
}

/** Returns the first slot that has not lapsed: the given one, or a later one at a multiple of the interval. */
function skipLapsed (slotAt: MonotonicMs, { intervalMs, slotMs, now }: { readonly intervalMs: DurationMs, readonly slotMs: DurationMs, readonly now: MonotonicMs }): MonotonicMs {
  const lapsedMs = now - slotMs - slotAt
  return lapsedMs > 0 ? slotAt + Math.ceil(lapsedMs / intervalMs) * intervalMs : slotAt
}

function isLimited ({ perSecond, rejectionsPerSecond }: Pick<RequestLimit, 'perSecond' | 'rejectionsPerSecond'>): boolean {
  return perSecond !== undefined || rejectionsPerSecond !== undefined
}

function formatKey ({ endpoint, bornAt }: EndpointInstance): string {
  return `${endpoint}|${bornAt}`
}

/** Creates limits of endpoints that have named none. */
export function createRequestLimits (opts: RequestLimitsOptions): RequestLimits {
  const rows = new Map<string, Row>()

  const findRow = (instance: EndpointInstance): Row | undefined => rows.size === 0 ? undefined : rows.get(formatKey(instance))

  function getIntervalMs (perSecond: number): DurationMs {
    return Math.max(1, opts.getHostCount()) * MS_PER_SECOND / (Math.max(MIN_PER_SECOND, perSecond) * USED_SHARE)
  }

  /** Finds the row of an instance that names a limit, with the slots that have lapsed skipped. */
  function findLimited (instance: EndpointInstance, now: MonotonicMs): { readonly row: Row, readonly intervalMs: DurationMs } | undefined {
    const row = findRow(instance)
    if (row?.limit.perSecond === undefined) return undefined
    const intervalMs = getIntervalMs(row.limit.perSecond)
    row.nextSlotAt = skipLapsed(row.nextSlotAt, { intervalMs, slotMs: SLOT_MS, now })
    // The interval may have become shorter, with fewer hosts or a higher limit.
    row.nextSlotAt = Math.min(row.nextSlotAt, now + intervalMs)
    return { row, intervalMs }
  }

  return {
    record: (instance, limit, now) => {
      const key = formatKey(instance)
      const known = rows.get(key)
      if (known !== undefined && known.limit.at > limit.at) return false
      if (known === undefined && !isLimited(limit)) return false
      const wasLimited = known?.limit.perSecond !== undefined
      const nextSlotAt = wasLimited ? known.nextSlotAt : now + opts.nextFraction() * getIntervalMs(limit.perSecond ?? 0)
      rows.delete(key)
      rows.set(key, { nextTurnAt: undefined, turnIntervalMs: 0, pausedUntil: Number.NEGATIVE_INFINITY, ...known, limit, nextSlotAt })
      const [oldest] = rows.size > MAX_LIMITS ? rows.keys() : []
      if (oldest !== undefined) rows.delete(oldest)
      return known?.limit.perSecond !== limit.perSecond || known?.limit.rejectionsPerSecond !== limit.rejectionsPerSecond
    },
    hasAny: () => rows.size > 0,
    get: instance => findRow(instance)?.limit,
    getRoomDelayMs: (instance, { slots, runMs, inFlight }, now) => {
      const row = findRow(instance)
      if (row?.limit.rejectionsPerSecond === undefined) return 0
      if (now < row.pausedUntil) return row.pausedUntil - now
      const share = USED_ROOM_SHARE * slots / Math.max(1, opts.getHostCount())
      if (inFlight >= Math.max(1, Math.floor(share))) return runMs / inFlight
      if (share >= 1) return 0
      const intervalMs = runMs / (share * USED_TURN_SHARE / USED_ROOM_SHARE)
      row.turnIntervalMs = intervalMs
      row.nextTurnAt = Math.min(now + intervalMs, skipLapsed(row.nextTurnAt ?? now + opts.nextFraction() * intervalMs, { intervalMs, slotMs: runMs, now }))
      return Math.max(0, row.nextTurnAt - now)
    },
    recordRejected: (instance, now) => {
      const row = findRow(instance)
      if (row?.limit.rejectionsPerSecond === undefined) return
      const allowedPerSecond = row.limit.rejectionsPerSecond * USED_REJECTION_SHARE / Math.max(1, opts.getHostCount())
      row.pausedUntil = now + Math.min(MAX_REJECTION_PAUSE_MS, MS_PER_SECOND / allowedPerSecond)
    },
    getDelayMs: (instance, now) => Math.max(0, (findLimited(instance, now)?.row.nextSlotAt ?? now) - now),
    recordSent: (instance, now) => {
      const row = findRow(instance)
      if (row?.nextTurnAt !== undefined) row.nextTurnAt += row.turnIntervalMs
      const found = findLimited(instance, now)
      if (found !== undefined) found.row.nextSlotAt += found.intervalMs
    }
  }
}
