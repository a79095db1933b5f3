/**
 * Limits on the requests a second that endpoints name in their responses, for all entry hosts together. Each host keeps to an
 * equal share by itself, so that the limit holds without a round trip: it sends in slots at equal intervals with a random phase.
 * A slot that is not used lapses; otherwise idle hosts would save one up each and send them all in the same moment.
 */
import type { DurationMs, MonotonicMs, RequestLimit } from '@catkinferry/core.types'
import type { EndpointInstance } from './endpointNotices.ts'

/** Limit on the instances remembered; the one that was heard of longest ago is dropped first. */
export const MAX_LIMITS = 20_000

/** Share of a limit that the slots of all hosts use: slots of several hosts may fall together. */
const USED_SHARE = 0.8
/** A slot lapses after this. */
const SLOT_MS = 500
/** Lowest rate assumed, in requests a second. Without any request no response could tell that the limit has ended. */
const MIN_PER_SECOND = 0.2
const MS_PER_SECOND = 1_000

export interface RequestLimits {
  /** Records what a response says. False if it changes nothing, or if something later is known. */
  readonly record: (instance: EndpointInstance, limit: RequestLimit, now: MonotonicMs) => boolean
  /** How long until this host may send a request to an instance; 0 if it may now. */
  readonly getDelayMs: (instance: EndpointInstance, now: MonotonicMs) => DurationMs
  /** Uses the slot of a request that is sent now. */
  readonly recordSent: (instance: EndpointInstance, now: MonotonicMs) => void
}

interface Row {
  limit: RequestLimit
  nextSlotAt: MonotonicMs
}

export interface RequestLimitsOptions {
  /** Number of entry hosts that share each limit. */
  readonly getHostCount: () => number
  /** Random number from 0 to 1. */
  readonly nextFraction: () => number
}

function formatKey ({ endpoint, bornAt }: EndpointInstance): string {
  return `${endpoint}|${bornAt}`
}

/** Creates limits of endpoints that have named none. */
export function createRequestLimits (opts: RequestLimitsOptions): RequestLimits {
  const rows = new Map<string, Row>()

  function getIntervalMs (perSecond: number): DurationMs {
    return Math.max(1, opts.getHostCount()) * MS_PER_SECOND / (Math.max(MIN_PER_SECOND, perSecond) * USED_SHARE)
  }

  /** Finds the row of an instance that names a limit, with the slots that have lapsed skipped. */
  function findLimited (instance: EndpointInstance, now: MonotonicMs): { readonly row: Row, readonly intervalMs: DurationMs } | undefined {
    const row = rows.size === 0 ? undefined : rows.get(formatKey(instance))
    if (row?.limit.perSecond === undefined) return undefined
    const intervalMs = getIntervalMs(row.limit.perSecond)
    const lapsedMs = now - SLOT_MS - row.nextSlotAt
    if (lapsedMs > 0) row.nextSlotAt += Math.ceil(lapsedMs / intervalMs) * intervalMs
    // The interval may have become shorter, with fewer hosts or a higher limit.
    row.nextSlotAt = Math.min(row.nextSlotAt, now + intervalMs)
    return { row, intervalMs }
  }

  return {
    record: (instance, limit, now) => {
      const key = formatKey(instance)
      const known = rows.get(key)
      if (known !== undefined && known.limit.at > limit.at) return false
      if (known === undefined && limit.perSecond === undefined) return false
      const wasLimited = known?.limit.perSecond !== undefined
      const nextSlotAt = wasLimited ? known.nextSlotAt : now + opts.nextFraction() * getIntervalMs(limit.perSecond ?? 0)
      rows.delete(key)
      rows.set(key, { limit, nextSlotAt })
      const [oldest] = rows.size > MAX_LIMITS ? rows.keys() : []
      if (oldest !== undefined) rows.delete(oldest)
      return known?.limit.perSecond !== limit.perSecond
    },
    getDelayMs: (instance, now) => Math.max(0, (findLimited(instance, now)?.row.nextSlotAt ?? now) - now),
    recordSent: (instance, now) => {
      const found = findLimited(instance, now)
      if (found !== undefined) found.row.nextSlotAt += found.intervalMs
    }
  }
}
