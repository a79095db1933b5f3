/** What each entry host admits of each account, as it last reported it: the leader counts it on for hosts that have gone silent. */
import type { AccountName, DurationMs, HostId, MonotonicMs } from '@catkinferry/core.types'
import { MS_PER_SECOND, SILENT_AFTER_MS } from './constants.ts'

/** The rate of a host covers about this much time; hosts keep to their mean of 10 s, and this follows a rise sooner. */
const RATE_MS = 4_000
/** Rates below this many units per second are dropped. */
const MIN_RATE = 5
const PRUNE_INTERVAL_MS = 2_000

export interface SilentUsage {
  /** Hosts that are silent now. */
  readonly count: number
  /** Units per second that they admitted together when they were last heard from, by account. */
  readonly rates: ReadonlyMap<AccountName, number>
}

export interface HostUsage {
  /** Time of the last report of a host; undefined if there is none. */
  readonly getReportedAt: (host: HostId) => MonotonicMs | undefined
  readonly recordReport: (host: HostId, now: MonotonicMs) => void
  readonly add: (host: HostId, account: AccountName, admitted: number, now: MonotonicMs) => void
  /** Records when hosts were last heard from, and forgets those that have been silent for longer than `countedMs`. */
  readonly update: (heard: Iterable<readonly [HostId, MonotonicMs]>, countedMs: DurationMs, now: MonotonicMs) => SilentUsage
  /** Number of hosts that are not forgotten, and of rates kept. */
  readonly getSize: () => { readonly hosts: number, readonly rates: number }
  readonly clear: () => void
}

interface Rate {
  units: number
  at: MonotonicMs
}

interface HostRow {
  heardAt: MonotonicMs
  reportedAt: MonotonicMs | undefined
  readonly rates: Map<AccountName, Rate>
}

function computeRate ({ units, at }: Rate, now: MonotonicMs): number {
  return Math.max(0, units) * Math.exp((at - now) / RATE_MS) / RATE_MS * MS_PER_SECOND
}

/** Creates an empty table. */
export function createHostUsage (): HostUsage {
  const hosts = new Map<HostId, HostRow>()
  let prunedAt = Number.NEGATIVE_INFINITY

  function getRow (host: HostId, now: MonotonicMs): HostRow {
    const known = hosts.get(host)
    if (known !== undefined) return known
    const row: HostRow = { heardAt: now, reportedAt: undefined, rates: new Map() }
    hosts.set(host, row)
    return row
  }

  function dropLowRates (now: MonotonicMs): void {
    if (now - prunedAt < PRUNE_INTERVAL_MS) return
    prunedAt = now
    for (const { heardAt, rates } of hosts.values()) {
      if (now - heardAt > SILENT_AFTER_MS) continue
      for (const [account, rate] of rates) if (computeRate(rate, now) < MIN_RATE) rates.delete(account)
    }
  }

  return {
    getReportedAt: host => hosts.get(host)?.reportedAt,
    recordReport: (host, now) => {
      const row = getRow(host, now)
      row.heardAt = now
      row.reportedAt = now
    },
    add: (host, account, admitted, now) => {
      const { rates } = getRow(host, now)
      const rate = rates.get(account)
      if (rate === undefined) rates.set(account, { units: admitted, at: now })
      else {
        rate.units = rate.units * Math.exp((rate.at - now) / RATE_MS) + admitted
        rate.at = now
      }
    },
    update: (heard, countedMs, now) => {
      for (const [host, heardAt] of heard) {
        const row = getRow(host, heardAt)
        row.heardAt = Math.max(row.heardAt, heardAt)
      }
      dropLowRates(now)
      const silent = new Map<AccountName, number>()
      let count = 0
      for (const [host, { heardAt, rates }] of hosts) {
        const silentMs = now - heardAt
        if (silentMs > countedMs) hosts.delete(host)
        else if (silentMs > SILENT_AFTER_MS) {
          count += 1
          for (const [account, rate] of rates) silent.set(account, (silent.get(account) ?? 0) + computeRate(rate, heardAt))
        }
      }
      return { count, rates: silent }
    },
    getSize: () => ({ hosts: hosts.size, rates: [...hosts.values()].reduce((sum, { rates }) => sum + rates.size, 0) }),
    clear: () => hosts.clear()
  }
}
