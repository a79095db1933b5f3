/**
 * The quotas of accounts on an entry host. The relay asks it for each request; it admits by the shares that the leader published
 * and counts units for the reports to the leader. Without contact to a leader, it keeps to a local bucket per account.
 */
import type { Account, AccountName, AccountQuota, DurationMs, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { FleetMessage } from '@catkinferry/wire.messages'
import { FIRST_REPORT_PERIOD_MS, MAX_RETRY_MS, MS_PER_SECOND, PARTIAL_TIMEOUT_MS, REPORT_INTERVAL_MS, SHARE_TIMEOUT_MS, UNLIMITED_TIMEOUT_MS } from './constants.ts'
import { MIN_BURST } from './quotaController.ts'

/** The mean of what was admitted recently covers about this much time. */
const RECENT_MS = 10_000
/** `recent` is updated only while `fleet.quotas` arrive on time, so that what is admitted before a loss of contact shows does not count. */
const RECENT_CONTACT_MS = 400
const MIN_OBSERVED_PART = 0.2
/** A bucket of an account that has few requests on this host fills for up to this long: the window in which quotas are kept. */
const MAX_SAVED_MS = 8_000
/** In contact, the local bucket of an account is refilled by this factor: at a steady demand it would otherwise be empty half of the time when the contact is lost. */
const CONTACT_REFILL = 1.5
/** A local bucket owes at most this much of its rate. */
const MAX_DEBT_MS = 4_000
/** Part of an even share that an account gets in any case if it was limited when the contact was lost; the sum over hosts has to stay near what they admitted. */
const LIMITED_EVEN_PART = 0.1
/** Counts of an account without requests are dropped after this time. No admitted request comes back later as one that has not run. */
const IDLE_ACCOUNT_MS = 60_000
const PRUNE_INTERVAL_MS = 10_000
/** Refused units are forgotten with this time constant when the leader is not heard from. */
const LOCAL_REFUSED_MS = 2_000
/** `Retry-After` is spread over a quarter, so that refused callers do not come back together. */
const RETRY_SPREAD = 0.25

export type UsageRow = readonly [AccountName, number, number]
type QuotasMessage = Extract<FleetMessage, { kind: 'fleet.quotas' }>

export type QuotaDecision =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly retryAfterMs: DurationMs }

export interface UsageReport {
  readonly rows: readonly UsageRow[]
  /** Time that the numbers cover, if it is not the usual interval. */
  readonly overMs?: DurationMs
}

export interface QuotaMeterOptions {
  /** Number of entry hosts of the fleet, as far as known. */
  readonly getEntryCount: () => number
  /** From 0 (included) to 1 (excluded). */
  readonly nextFraction: () => number
}

export interface QuotaMeter {
  /** Counts a request of `units` and decides whether it is admitted. Accounts without a quota are always admitted and not counted. */
  readonly tryTake: (account: Account, units: number, now: MonotonicMs) => QuotaDecision
  /** Gives the units of an admitted request back that has not run. */
  readonly giveBack: (account: Account, units: number) => void
  /** Applies the shares that a leader published; those of an earlier term are ignored. */
  readonly receiveQuotas: (quotas: QuotasMessage, now: MonotonicMs) => void
  /** Takes what was counted since it was called last; the first report to another leader covers a longer time. Undefined if there is nothing to report, or no leader. */
  readonly takeReport: (leader: HostId | undefined, now: MonotonicMs) => UsageReport | undefined
  /** Number of accounts that it keeps counts of. */
  readonly getSize: () => number
}

interface Row {
  asked: number
  admitted: number
  /** Admitted units that the present leader is told of and that may still be given back. */
  returnable: number
  /** Units per second admitted over the last 10 s. */
  recent: number
  /** Units of the share that are not used yet; negative after a request larger than them was admitted. */
  credit: number
  /** Part of a request's units from which the credit suffices. Random for each admitted request, so that the hosts' admissions do not coincide. */
  threshold: number
  level: number
  levelAt: MonotonicMs
  /** Units of the largest request. */
  maxUnits: number
  /** Units refused lately without contact to a leader. */
  refused: number
  refusedAt: MonotonicMs
  usedAt: MonotonicMs
}

interface Share {
  readonly share: number
  readonly retryAfterMs: DurationMs
  readonly until: MonotonicMs
}

interface MeterState {
  readonly opts: QuotaMeterOptions
  readonly rows: Map<AccountName, Row>
  /** Rows with units since the last report. */
  readonly dirty: Set<AccountName>
  /** Reports of the last `RECAP_MS`, the oldest first. */
  readonly taken: Array<{ readonly at: MonotonicMs, readonly rows: readonly UsageRow[] }>
  /** Share, time to retry, and until when it holds, by limited account. */
  shares: Map<AccountName, Share>
  term: number
  heardAt: MonotonicMs
  reportedTo: HostId | undefined
  /** The local buckets were empty then. */
  startedAt: MonotonicMs | undefined
  /** Time over which `recent` was formed. */
  observedMs: DurationMs
  /** Part of the full mean that this time gives: soon after the start, it covers less than its time constant. */
  observedPart: number
  takenAt: MonotonicMs
  prunedAt: MonotonicMs
}

const ADMITTED: QuotaDecision = { admitted: true }

/** Units per second that this host may admit of an account without a leader. */
function computeLocalRate (state: MeterState, name: AccountName, row: Row, quota: AccountQuota): number {
  const even = quota.ratePerSecond / Math.max(1, state.opts.getEntryCount())
  const recent = row.recent / state.observedPart
  return Math.min(quota.ratePerSecond, Math.max(recent, state.shares.has(name) ? even * LIMITED_EVEN_PART : even))
}

/** Refills the local bucket and returns its capacity. It is charged in contact with a leader, too, so that losing the contact brings no new burst. */
function refillLocal (row: Row, quota: AccountQuota, rate: number, isInContact: boolean, now: MonotonicMs): number {
  const capacity = Math.max(quota.burst * rate / quota.ratePerSecond, Math.min(row.maxUnits, rate * MAX_SAVED_MS / MS_PER_SECOND))
  row.level = Math.min(capacity, row.level + rate * (isInContact ? CONTACT_REFILL : 1) * (now - row.levelAt) / MS_PER_SECOND)
  row.levelAt = now
  return capacity
}

/** Admits as many units of the requests as the share says, in sum rather than by chance for each, with a random phase. */
function tryTakeShare (state: MeterState, row: Row, share: number, units: number): boolean {
  if (share <= 0) return false
  row.credit += share * units
  if (row.credit < row.threshold * units) return false
  row.credit -= units
  row.threshold = state.opts.nextFraction()
  return true
}

/** Admits from the local bucket. A request that is larger than it can ever hold is admitted with probability level / units; the bucket is emptied either way. */
function tryTakeLocal (state: MeterState, row: Row, units: number, capacity: number): boolean {
  if (row.level <= 0) return false
  if (units > capacity) {
    const isAdmitted = state.opts.nextFraction() * units < row.level
    row.level = isAdmitted ? units : 0
    return isAdmitted
  }
  if (row.level < row.threshold * units) return false
  row.threshold = state.opts.nextFraction()
  return true
}

function getRow (state: MeterState, name: AccountName, now: MonotonicMs): Row {
  const known = state.rows.get(name)
  if (known !== undefined) return known
  const row: Row = { asked: 0, admitted: 0, returnable: 0, recent: 0, credit: 0, threshold: state.opts.nextFraction(), level: 0, levelAt: state.startedAt ?? now, maxUnits: 0, refused: 0, refusedAt: now, usedAt: now }
  state.rows.set(name, row)
  return row
}

function recordAdmitted (row: Row, units: number, rate: number): QuotaDecision {
  row.admitted += units
  row.returnable += units
  row.level = Math.max(row.level - units, -Math.max(rate * MAX_DEBT_MS / MS_PER_SECOND, units))
  return ADMITTED
}

/** Time in which the local rate refills what was refused lately. */
function computeLocalRetryMs (row: Row, units: number, rate: number, now: MonotonicMs): DurationMs {
  row.refused = row.refused * Math.exp((row.refusedAt - now) / LOCAL_REFUSED_MS) + units
  row.refusedAt = now
  return (row.refused - Math.min(0, row.level)) / rate * MS_PER_SECOND
}

function tryTake (state: MeterState, account: Account, units: number, now: MonotonicMs): QuotaDecision {
  const { name, quota } = account
  if (quota === undefined || quota.ratePerSecond <= 0) return ADMITTED
  // A request larger than all that the quota allows in a window can never run within it, and must not use up the quota of others.
  if (units > quota.burst + quota.ratePerSecond * MAX_SAVED_MS / MS_PER_SECOND + MIN_BURST[quota.unit]) return { admitted: false, retryAfterMs: MAX_RETRY_MS }
  const row = getRow(state, name, now)
  row.usedAt = now
  row.asked += units
  state.dirty.add(name)
  row.maxUnits = Math.max(row.maxUnits, units)
  const limit = state.shares.get(name)
  const silentMs = now - state.heardAt
  const isInContact = silentMs <= (limit === undefined ? UNLIMITED_TIMEOUT_MS : SHARE_TIMEOUT_MS)
  const rate = computeLocalRate(state, name, row, quota)
  const capacity = refillLocal(row, quota, rate, isInContact, now)
  if (isInContact && limit !== undefined) row.level = Math.min(0, row.level)
  const isAdmitted = isInContact
    ? limit === undefined || tryTakeShare(state, row, limit.share, units)
    : tryTakeLocal(state, row, units, capacity)
  if (isAdmitted) return recordAdmitted(row, units, rate)
  const retryAfterMs = isInContact && limit !== undefined ? limit.retryAfterMs : computeLocalRetryMs(row, units, rate, now)
  return { admitted: false, retryAfterMs: Math.round(Math.min(MAX_RETRY_MS, retryAfterMs) * (1 + RETRY_SPREAD * state.opts.nextFraction())) }
}

function giveBack (state: MeterState, { name, quota }: Account, units: number): void {
  const row = state.rows.get(name)
  if (row === undefined || quota === undefined) return
  const returned = Math.min(units, row.returnable)
  if (returned <= 0) return
  row.returnable -= returned
  row.asked -= returned
  row.admitted -= returned
  row.level += returned
  const share = state.shares.get(name)?.share
  if (share !== undefined) row.credit = Math.min(units, row.credit + returned * (1 - share))
  state.dirty.add(name)
}

/** Drops the counts of accounts that had no requests for long. */
function dropIdle (state: MeterState, now: MonotonicMs): void {
  if (now - state.prunedAt < PRUNE_INTERVAL_MS) return
  state.prunedAt = now
  for (const [name, { until }] of state.shares) if (now > until) state.shares.delete(name)
  for (const [name, { usedAt }] of state.rows) if (now - usedAt > IDLE_ACCOUNT_MS && !state.dirty.has(name)) state.rows.delete(name)
}

/** Updates the means of what was admitted, unless the leader has not been heard from on time. */
function updateRecent (state: MeterState, fresh: ReadonlyMap<AccountName, number>, elapsedMs: DurationMs, now: MonotonicMs): void {
  if (now - state.heardAt > RECENT_CONTACT_MS || elapsedMs <= 0) return
  const kept = Math.exp(-elapsedMs / RECENT_MS)
  state.observedMs += Math.min(elapsedMs, RECENT_MS)
  state.observedPart = Math.max(MIN_OBSERVED_PART, 1 - Math.exp(-state.observedMs / RECENT_MS))
  for (const [name, row] of state.rows) row.recent = row.recent * kept + (fresh.get(name) ?? 0) * (1 - kept) / elapsedMs * MS_PER_SECOND
}

/** Applies the rows of a message; a complete one ends the limits of accounts that it does not list. */
function applyShares (state: MeterState, rows: QuotasMessage['rows'], isPartial: boolean, now: MonotonicMs): void {
  if (!isPartial) state.shares.clear()
  for (const [name, share, retryAfterMs] of rows) {
    if (share < 1) state.shares.set(name, { share, retryAfterMs, until: isPartial ? now + PARTIAL_TIMEOUT_MS : Infinity })
    else state.shares.delete(name)
  }
}

/** Merges the retained reports by account. */
function mergeReports (state: MeterState): UsageRow[] {
  const sums = new Map<AccountName, [number, number]>()
  for (const { rows } of state.taken) {
    for (const [name, asked, admitted] of rows) {
      const sum = sums.get(name) ?? [0, 0]
      sums.set(name, [sum[0] + asked, sum[1] + admitted])
    }
  }
  return [...sums].map(([name, [asked, admitted]]) => [name, Math.max(0, asked), Math.max(0, admitted)])
}

function takeReport (state: MeterState, leader: HostId | undefined, now: MonotonicMs): UsageReport | undefined {
  state.startedAt ??= now
  const rows: UsageRow[] = []
  const fresh = new Map<AccountName, number>()
  for (const name of state.dirty) {
    const row = state.rows.get(name)
    if (row === undefined || (row.asked === 0 && row.admitted === 0)) continue
    rows.push([name, row.asked, row.admitted])
    fresh.set(name, row.admitted)
    row.asked = 0
    row.admitted = 0
  }
  state.dirty.clear()
  const elapsedMs = now - state.takenAt
  updateRecent(state, fresh, elapsedMs, now)
  state.takenAt = now
  while (state.taken[0] !== undefined && now - state.taken[0].at > FIRST_REPORT_PERIOD_MS - REPORT_INTERVAL_MS) state.taken.shift()
  if (rows.length > 0) state.taken.push({ at: now, rows })
  dropIdle(state, now)
  if (leader === undefined) return undefined
  if (leader === state.reportedTo) return rows.length === 0 ? undefined : { rows, ...(elapsedMs > REPORT_INTERVAL_MS * 1.5 ? { overMs: Math.round(elapsedMs) } : {}) }
  state.reportedTo = leader
  const recap = mergeReports(state)
  const admittedBy = new Map(recap.map(([name, , admitted]) => [name, admitted]))
  for (const [name, row] of state.rows) row.returnable = Math.min(row.returnable, admittedBy.get(name) ?? 0)
  return recap.length === 0 ? undefined : { rows: recap, overMs: FIRST_REPORT_PERIOD_MS }
}

/** Creates the meter of an entry host that has heard from no leader yet. */
export function createQuotaMeter (opts: QuotaMeterOptions): QuotaMeter {
  const state: MeterState = {
    opts,
    rows: new Map(),
    dirty: new Set(),
    taken: [],
    shares: new Map(),
    term: Number.NEGATIVE_INFINITY,
    heardAt: Number.NEGATIVE_INFINITY,
    reportedTo: undefined,
    startedAt: undefined,
    observedMs: 0,
    observedPart: MIN_OBSERVED_PART,
    takenAt: Number.NEGATIVE_INFINITY,
    prunedAt: Number.NEGATIVE_INFINITY
  }
  return {
    tryTake: (account, units, now) => tryTake(state, account, units, now),
    giveBack: (account, units) => giveBack(state, account, units),
    receiveQuotas: ({ term, rows, isPartial = false }, now) => {
      if (term < state.term) return
      state.term = term
      state.heardAt = now
      applyShares(state, rows, isPartial, now)
    },
    takeReport: (leader, now) => takeReport(state, leader, now),
    getSize: () => state.rows.size
  }
}
