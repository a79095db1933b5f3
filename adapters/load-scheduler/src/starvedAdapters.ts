/**
 * Adapters whose callers are refused again and again, and the share of loads that they get. Pattern: ageing. In a lasting overload
 * the order by priority and by callers on time always prefers the same adapters, and the others would never be loaded. The leader
 * of a fleet records refusals and completed loads here, and asks before it begins loads.
 */
import type { AdapterKey, DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** An adapter counts as starved this long after its first refusal: callers who were told to return have returned by then. */
const STARVED_AFTER_MS = 3_000
/** While its callers are late anyway, it waits this long for one who can be on time: as long as work counts as returning. */
const STARVED_LATE_AFTER_MS = 10_000
/** It was refused this often by then. */
const MIN_REFUSALS = 2
/** Refusals are forgotten this long after the last one, or if more adapters than this are refused. */
const RETENTION_MS = 60_000
const MAX_REFUSED_ADAPTERS = 20_000

/** An adapter that was refused this often over this time, and not loaded, is reported. */
const REPORTED_REFUSALS = 4
const REPORTED_AFTER_MS = 8_000

interface RefusedAdapter {
  readonly since: MonotonicMs
  /** When its turn began to come: at its first refusal, or when its load last failed. */
  waitsSince: MonotonicMs
  /** The most urgent priority of its refused callers. */
  priority: number
  lastAt: MonotonicMs
  refusals: number
}

/** An adapter that was asked for again and again and not loaded. */
export interface UnloadedAdapter {
  readonly adapterKey: AdapterKey
  readonly since: MonotonicMs
  readonly refusals: number
  readonly priority: number
}

export interface StarvedAdapters {
  readonly recordRefusal: (adapterKey: AdapterKey, opts: { readonly now: MonotonicMs, readonly priority: number }) => void
  /** Has an adapter whose load has failed wait anew, behind the others. */
  readonly recordFailure: (adapterKey: AdapterKey, now: MonotonicMs) => void
  /** Forgets the refusals of an adapter that was loaded. Returns how many there were. */
  readonly recordLoad: (adapterKey: AdapterKey) => number
  /**
   * Since when a starved adapter waits: its first refusal since its last load, or its last load that failed; undefined if the adapter is not starved. `isOnTime`: the load
   * would serve a caller on time.
   */
  readonly getStarvedSince: (adapterKey: AdapterKey, opts: { readonly now: MonotonicMs, readonly isOnTime: boolean }) => MonotonicMs | undefined
  /** Lists the adapters that were refused four times or more over 8 s and not loaded. */
  readonly listUnloaded: (now: MonotonicMs) => readonly UnloadedAdapter[]
  /** Number of adapters with refusals. */
  readonly getSize: () => number
  readonly clear: () => void
}

/** Creates an empty table. */
export function createStarvedAdapters (): StarvedAdapters {
  /** The least recently refused adapter first. */
  const rows = new Map<AdapterKey, RefusedAdapter>()

  function dropOldest (now: MonotonicMs): void {
    for (const [adapterKey, { lastAt }] of rows) {
      if (rows.size <= MAX_REFUSED_ADAPTERS && now - lastAt <= RETENTION_MS) return
      rows.delete(adapterKey)
    }
  }

  return {
    recordRefusal: (adapterKey, { now, priority }) => {
      const row = rows.get(adapterKey) ?? { since: now, waitsSince: now, lastAt: now, refusals: 0, priority }
      row.priority = Math.min(row.priority, priority)
      row.lastAt = now
      row.refusals += 1
      rows.delete(adapterKey)
      rows.set(adapterKey, row)
      dropOldest(now)
    },
    recordFailure: (adapterKey, now) => {
      const row = rows.get(adapterKey)
      if (row !== undefined) row.waitsSince = now
    },
    recordLoad: adapterKey => {
      const refusals = rows.get(adapterKey)?.refusals ?? 0
      rows.delete(adapterKey)
      return refusals
    },
    getStarvedSince: (adapterKey, { now, isOnTime }) => {
      const row = rows.get(adapterKey)
      const starvedAfterMs = isOnTime ? STARVED_AFTER_MS : STARVED_LATE_AFTER_MS
      if (row === undefined || row.refusals < MIN_REFUSALS || now - row.waitsSince < starvedAfterMs || now - row.lastAt > RETENTION_MS) return undefined
      return row.waitsSince
    },
    listUnloaded: now => [...rows]
      .filter(([, { since, lastAt, refusals }]) => refusals >= REPORTED_REFUSALS && lastAt - since >= REPORTED_AFTER_MS && now - lastAt <= RETENTION_MS)
      .map(([adapterKey, { since, refusals, priority }]) => ({ adapterKey, since, refusals, priority })),
    getSize: () => rows.size,
    clear: () => { rows.clear() }
  }
}

/** Share of the loads of a pool that go to starved adapters while other callers could use all of them. */
const STARVED_LOAD_SHARE = 0.25
/** Loads for starved adapters that may be saved up. */
const MAX_CREDIT = 2
/** Where no other load begins, each engine gives up a more popular adapter for a starved one once in this time on average. */
const ENGINE_INTERVAL_MS = 5_000

export interface StarvedLoadShare {
  /** Whether the next load goes to a starved adapter before others may use it. */
  readonly isDue: () => boolean
  /** Whether it may go to a starved adapter if no other can begin, in a pool with this number of engines. */
  readonly isDueUnused: (engines: number, now: MonotonicMs) => boolean
  readonly recordLoad: (isStarved: boolean, now: MonotonicMs) => void
}

/** Creates the share of one pool. */
export function createStarvedLoadShare (share = STARVED_LOAD_SHARE): StarvedLoadShare {
  let credit = 0
  let lastAt = Number.NEGATIVE_INFINITY
  const getIntervalMs = (engines: number): DurationMs => ENGINE_INTERVAL_MS / Math.max(1, engines)

  return {
    isDue: () => credit >= 1,
    isDueUnused: (engines, now) => share > 0 && now - lastAt >= getIntervalMs(engines),
    recordLoad: (isStarved, now) => {
      if (isStarved) {
        credit = Math.max(0, credit - 1)
        lastAt = now
      } else credit = Math.min(MAX_CREDIT, credit + share / (1 - share))
    }
  }
}
