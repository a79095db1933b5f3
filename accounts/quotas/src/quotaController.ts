/**
 * The quotas of accounts on the leader: one bucket per account over all entry hosts, charged by their reports, and the share of
 * the units asked for that may be admitted now. Only accounts with traffic have a row, so idle accounts cost nothing.
 */
import type { Account, AccountName, AccountQuota, DurationMs, HostId, MonotonicMs, QuotaUnit } from '@catkinferry/core.types'
import { createAccountDemand } from './accountDemand.ts'
import type { AccountDemand } from './accountDemand.ts'
import { MAX_RETRY_MS, MS_PER_SECOND, QUOTAS_INTERVAL_MS, FIRST_REPORT_PERIOD_MS, REPORT_INTERVAL_MS, SILENT_AFTER_MS, SILENT_HOST_RETENTION_MS, WARM_UP_MS } from './constants.ts'
import { createHostUsage } from './hostUsage.ts'
import type { HostUsage, SilentUsage } from './hostUsage.ts'
import { createPublishedShares } from './publishedShares.ts'
import type { Limit, PublishedShares, QuotaRow } from './publishedShares.ts'
import type { UsageRow } from './quotaMeter.ts'

/** A positive level is spent within about this time, and a debt paid back. */
const SPEND_MS = 700
const REPAY_MS = 2_000
/** Units admitted within about this time are not in any report yet: half an interval, the delay of the report, and that of the last shares. */
const UNREPORTED_MS = 400
/** Hosts without contact may admit this part of the rate uncounted. It is well below the overage of 0.1 that quotas allow, and keeps the limits of other hosts unchanged when a few hosts fail. */
const UNCOUNTED_SILENT_PART = 0.05
/** An account stays limited for this long after its share last was below 1, so that it does not change with each message. */
const LIMIT_END_MS = 2_000
/** Shares are published at once if an account that exceeds its rate asks for this many times as much as at the last update. */
const URGENT_RISE = 1.4
/** Reports are out of all windows of the demand after this time. */
const QUIET_MS = 1_000
/** Refused units are remembered with this time constant, for `Retry-After`. */
const REFUSED_MS = 2_000
/** A limit that was lowered leaves at most this much of the new rate as a debt: it binds one window after it is in force. */
const MAX_LOWERED_DEBT_MS = 2_000
/** Reports leave at most this much of the rate as a debt, so that a false report does not lock an account out for good. Twice the window in which quotas are kept. */
const MAX_DEBT_MS = 16_000
/** A share rises by at most this factor an interval: reports that are late look like a demand that has ended. */
const MAX_SHARE_RISE = 1.5
const LOWEST_RISING_SHARE = 0.05
/**
 * Smallest burst that is counted: twice the largest usual request. With a smaller burst, single requests put small accounts into
 * debt. Well below the slack of 17,000 tokens that quotas allow.
 */
export const MIN_BURST: Readonly<Record<QuotaUnit, number>> = { tokens: 5_000, requests: 2 }
/** Shares are sent with this many steps. */
const SHARE_STEPS = 10_000

export interface AccountTotals {
  readonly account: AccountName
  readonly asked: number
  readonly admitted: number
  /** Undefined unless the account is limited now. */
  readonly share?: number
}

export interface LimitChange {
  readonly account: AccountName
  readonly isLimited: boolean
  readonly share: number
  readonly ratePerSecond: number
  /** Units per second that are asked for. */
  readonly demand: number
}

export interface QuotaUpdate {
  /** The accounts that are limited now; undefined before the reports of all hosts can have arrived. */
  readonly rows: readonly QuotaRow[] | undefined
  /** `rows` are only those that changed most and those that were sent longest ago; a share of 1 ends a limit. */
  readonly isPartial: boolean
  readonly changes: readonly LimitChange[]
}

export interface QuotaReport {
  readonly rows: readonly UsageRow[]
  /** Time that the numbers cover; undefined for the usual interval. */
  readonly overMs?: DurationMs
}

export interface HostContact {
  /** Entry hosts and when each was last heard from. */
  readonly heard: Iterable<readonly [HostId, MonotonicMs]>
  /** For how long what a silent host may admit is counted. */
  readonly silentHostRetentionMs?: DurationMs
}

export interface QuotaController {
  /** Starts counting as a new leader: no bucket holds credit. */
  readonly begin: (now: MonotonicMs) => void
  /** Puts the accounts of another route table in force. */
  readonly setAccounts: (accounts: readonly Account[]) => void
  readonly hasQuotas: () => boolean
  readonly receive: (host: HostId, report: QuotaReport, now: MonotonicMs) => void
  /** Whether an account asks for so much more than at the last update that its share should be published at once. */
  readonly isUrgent: () => boolean
  /** Computes the shares. To be called at the interval of `fleet.quotas`. */
  readonly update: (contact: HostContact, now: MonotonicMs) => QuotaUpdate
  /** Units since the last call, by account, of accounts with traffic or a limit in force. */
  readonly takeTotals: () => readonly AccountTotals[]
  /** Number of accounts with a row. */
  readonly getActiveCount: () => number
}

interface AccountRow {
  readonly demand: AccountDemand
  /** Credit, or debt if negative, by what was reported. */
  level: number
  levelAt: MonotonicMs
  /** Units admitted before this leader began, or just after, by the hosts' first reports. */
  earlier: number
  /** Share that the units not reported yet were admitted by, on average. */
  recentShare: number
  /** Units per second asked for at the last update. */
  knownDemand: number
  /** Units per second that were set aside for silent hosts at the last update. */
  reserve: number
  share: number
  limitedUntil: MonotonicMs
  reportedAt: MonotonicMs
  isLimited: boolean
  refused: number
  refusedAt: MonotonicMs
  totals: { asked: number, admitted: number }
}

interface ControllerState {
  quotas: ReadonlyMap<AccountName, AccountQuota>
  readonly rows: Map<AccountName, AccountRow>
  readonly usage: HostUsage
  begunAt: MonotonicMs
  silent: SilentUsage
  isUrgent: boolean
  readonly published: PublishedShares
  hostCount: number
}

const NONE_SILENT: SilentUsage = { count: 0, rates: new Map() }

function createRow (state: ControllerState, { ratePerSecond, burst }: AccountQuota, now: MonotonicMs): AccountRow {
  return {
    demand: createAccountDemand(),
    level: Math.min(burst, ratePerSecond * (now - state.begunAt) / MS_PER_SECOND),
    levelAt: now,
    earlier: 0,
    recentShare: 1,
    knownDemand: 0,
    reserve: 0,
    share: 1,
    limitedUntil: Number.NEGATIVE_INFINITY,
    reportedAt: now,
    isLimited: false,
    refused: 0,
    refusedAt: now,
    totals: { asked: 0, admitted: 0 }
  }
}

/** Units per second that are set aside for hosts without contact: their last rates, or an even share if that is more, as each of them may admit. */
function computeReserve ({ silent, hostCount }: ControllerState, name: AccountName, { ratePerSecond }: AccountQuota): number {
  if (silent.count === 0) return 0
  const even = ratePerSecond * silent.count / Math.max(1, hostCount)
  return Math.max(0, Math.min(ratePerSecond, Math.max(silent.rates.get(name) ?? 0, even) - ratePerSecond * UNCOUNTED_SILENT_PART))
}

/** Charges what was admitted before this leader began as far as rate and burst did not allow it. */
function applyEarlierUsage (row: AccountRow, { ratePerSecond, burst }: AccountQuota, admitted: number): void {
  const allowed = burst + ratePerSecond * FIRST_REPORT_PERIOD_MS / MS_PER_SECOND
  const before = Math.max(0, row.earlier - allowed)
  row.earlier += admitted
  row.level -= Math.max(0, row.earlier - allowed) - before
}

/** Part of the units of a report that this leader has not counted: a host may repeat what it has reported, or what was counted while it was silent. */
function computeUncounted (state: ControllerState, host: HostId, overMs: DurationMs | undefined, now: MonotonicMs): number {
  const reportedAt = state.usage.getReportedAt(host)
  return overMs === undefined || reportedAt === undefined ? 1 : Math.min(1, (now - reportedAt) / Math.max(1, overMs))
}

function receiveReport (state: ControllerState, host: HostId, { rows, overMs }: QuotaReport, now: MonotonicMs): void {
  const isFirst = state.usage.getReportedAt(host) === undefined
  const uncounted = computeUncounted(state, host, overMs, now)
  const recentPart = Math.min(1, REPORT_INTERVAL_MS / (overMs ?? REPORT_INTERVAL_MS))
  state.usage.recordReport(host, now)
  for (const [name, asked, admitted] of rows) {
    const quota = state.quotas.get(name)
    if (quota === undefined || !Number.isFinite(asked + admitted)) continue
    let row = state.rows.get(name)
    if (row === undefined) {
      row = createRow(state, quota, now)
      state.rows.set(name, row)
    }
    row.demand.add(asked * recentPart, now)
    row.reportedAt = now
    if (!state.isUrgent && row.demand.hasManyReports()) state.isUrgent = row.demand.getRate(now) > Math.max(row.knownDemand, quota.ratePerSecond) * URGENT_RISE
    if (isFirst && overMs !== undefined) applyEarlierUsage(row, quota, admitted)
    else row.level = Math.max(row.level - admitted * uncounted, -quota.ratePerSecond * MAX_DEBT_MS / MS_PER_SECOND)
    row.refused = Math.max(0, row.refused * Math.exp((row.refusedAt - now) / REFUSED_MS) + (asked - admitted) * recentPart)
    row.refusedAt = now
    row.totals.asked += asked * uncounted
    row.totals.admitted += admitted * uncounted
    state.usage.add(host, name, admitted * recentPart, now)
  }
}

/** Refills the bucket and computes the share of an account that may be admitted now. */
function updateShare (state: ControllerState, name: AccountName, row: AccountRow, quota: AccountQuota, now: MonotonicMs): { readonly demand: number, readonly debt: number } {
  const reserve = computeReserve(state, name, quota)
  const rate = quota.ratePerSecond - reserve
  // Hosts that have just gone silent may have used this since they were last heard from, and their part of the burst.
  if (reserve > row.reserve) row.level -= (reserve - row.reserve) * (SILENT_AFTER_MS / MS_PER_SECOND + quota.burst / quota.ratePerSecond)
  row.reserve = reserve
  const demand = row.demand.getRate(now)
  const elapsedMs = now - row.levelAt
  row.recentShare += (row.share - row.recentShare) * (1 - Math.exp(-elapsedMs / UNREPORTED_MS))
  row.knownDemand = demand
  const unreported = demand * row.recentShare * UNREPORTED_MS / MS_PER_SECOND
  row.level = Math.min(quota.burst + unreported, row.level + rate * elapsedMs / MS_PER_SECOND)
  row.levelAt = now
  const level = row.level - unreported
  const allowed = Math.max(0, rate + level / (level > 0 ? SPEND_MS : REPAY_MS) * MS_PER_SECOND)
  const wanted = demand <= allowed ? 1 : allowed / demand
  const highest = Math.max(row.share, LOWEST_RISING_SHARE) * MAX_SHARE_RISE ** (elapsedMs / QUOTAS_INTERVAL_MS)
  row.share = Math.round(Math.min(1, wanted, highest) * SHARE_STEPS) / SHARE_STEPS
  if (row.share < 1) row.limitedUntil = now + LIMIT_END_MS
  return { demand, debt: Math.max(0, -level) }
}

function computeRetryMs ({ refused, refusedAt }: AccountRow, { ratePerSecond }: AccountQuota, debt: number, now: MonotonicMs): DurationMs {
  const recent = refused * Math.exp((refusedAt - now) / REFUSED_MS)
  return Math.round(Math.min(MAX_RETRY_MS, (recent + debt) / ratePerSecond * MS_PER_SECOND))
}

/** Whether an account has no demand and no limit, and no silent host may use it, so that only its bucket refills. */
function isQuiet (state: ControllerState, name: AccountName, row: AccountRow, now: MonotonicMs): boolean {
  return state.silent.count === 0 && now - row.reportedAt > QUIET_MS && row.share === 1 && !row.isLimited && !state.published.has(name)
}

function update (state: ControllerState, { heard, silentHostRetentionMs: silentCountedMs = SILENT_HOST_RETENTION_MS }: HostContact, now: MonotonicMs): QuotaUpdate {
  state.silent = state.usage.update(heard, silentCountedMs, now)
  state.hostCount = state.usage.getSize().hosts
  state.isUrgent = false
  const limits: Limit[] = []
  const changes: LimitChange[] = []
  for (const [name, row] of state.rows) {
    const quota = state.quotas.get(name)
    if (quota === undefined) {
      state.rows.delete(name)
      if (state.published.has(name)) limits.push({ row: [name, 1, 0], demand: 0 })
      if (row.isLimited) changes.push({ account: name, isLimited: false, share: 1, ratePerSecond: 0, demand: 0 })
      continue
    }
    if (isQuiet(state, name, row, now)) {
      if (row.totals.asked <= 0 && row.level + quota.ratePerSecond * (now - row.levelAt) / MS_PER_SECOND >= quota.burst) state.rows.delete(name)
      continue
    }
    const { demand, debt } = updateShare(state, name, row, quota, now)
    if (row.share < 1 || state.published.has(name)) limits.push({ row: [name, row.share, computeRetryMs(row, quota, debt, now)], demand })
    const isLimited = now < row.limitedUntil
    if (isLimited !== row.isLimited) changes.push({ account: name, isLimited, share: row.share, ratePerSecond: quota.ratePerSecond, demand: Math.round(demand) })
    row.isLimited = isLimited
  }
  if (now - state.begunAt < WARM_UP_MS) return { rows: undefined, isPartial: false, changes }
  return { ...state.published.choose(limits, now), changes }
}

/** Resets a bucket to level 0; a host that leads again keeps debts. */
function resetBucket (row: AccountRow, quota: AccountQuota | undefined, now: MonotonicMs): void {
  row.level = Math.min(0, row.level + (quota?.ratePerSecond ?? 0) * (now - row.levelAt) / MS_PER_SECOND)
  row.levelAt = now
  row.earlier = 0
}

function setAccounts (state: ControllerState, accounts: readonly Account[]): void {
  const quotas = new Map<AccountName, AccountQuota>()
  for (const { name, quota } of accounts) if (quota !== undefined && quota.ratePerSecond > 0) quotas.set(name, { ...quota, burst: Math.max(quota.burst, MIN_BURST[quota.unit]) })
  for (const [name, row] of state.rows) {
    const quota = quotas.get(name)
    const known = state.quotas.get(name)
    if (quota === undefined || known === undefined) continue
    row.level = Math.min(row.level, quota.burst)
    if (quota.ratePerSecond < known.ratePerSecond) row.level = Math.max(row.level, -quota.ratePerSecond * MAX_LOWERED_DEBT_MS / MS_PER_SECOND)
  }
  state.quotas = quotas
}

/** Takes the units counted since the last call. */
function takeTotals (state: ControllerState): readonly AccountTotals[] {
  const taken: AccountTotals[] = []
  for (const [account, row] of state.rows) {
    // Units that were given back are subtracted from later ones, because counters only rise.
    const asked = Math.max(0, row.totals.asked)
    const admitted = Math.max(0, Math.min(asked, row.totals.admitted))
    if (asked === 0 && !row.isLimited) continue
    row.totals = { asked: row.totals.asked - asked, admitted: row.totals.admitted - admitted }
    taken.push({ account, asked, admitted, ...(row.isLimited ? { share: row.share } : {}) })
  }
  return taken
}

/** Creates the controller of a core host; it counts from `begin` on. */
export function createQuotaController (): QuotaController {
  const state: ControllerState = { quotas: new Map(), rows: new Map(), usage: createHostUsage(), begunAt: 0, silent: NONE_SILENT, isUrgent: false, published: createPublishedShares(), hostCount: 0 }
  return {
    begin: now => {
      for (const [name, row] of state.rows) resetBucket(row, state.quotas.get(name), now)
      state.usage.clear()
      state.published.clear()
      state.silent = NONE_SILENT
      state.begunAt = now
    },
    setAccounts: accounts => setAccounts(state, accounts),
    isUrgent: () => state.isUrgent,
    hasQuotas: () => state.quotas.size > 0,
    receive: (host, report, now) => receiveReport(state, host, report, now),
    update: (contact, now) => update(state, contact, now),
    takeTotals: () => takeTotals(state),
    getActiveCount: () => state.rows.size
  }
}
