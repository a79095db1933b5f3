/**
 * Chooses the rows of `fleet.quotas`. Few limited accounts are all listed each time; of many, those whose change matters most and
 * those that were sent longest ago, so that the bytes for entry hosts are bounded.
 */
import type { AccountName, DurationMs, MonotonicMs } from '@catkinferry/core.types'
import { MAX_ROWS } from './constants.ts'

/** Rows of a partial message that are kept for changes; the others renew the oldest ones. */
const CHANGED_ROWS = MAX_ROWS / 2
/** The end of a limit is told this many times, in case a link breaks. */
const END_REPEATS = 2

/** Account, share of the units asked for that may be admitted, and the time to retry. */
export type QuotaRow = readonly [AccountName, number, DurationMs]

export interface Limit {
  readonly row: QuotaRow
  /** Units per second that the account asks for. */
  readonly demand: number
}

export interface PublishedShares {
  /** Whether entry hosts may hold a share of the account. */
  readonly has: (account: AccountName) => boolean
  /** Chooses the rows to send of the limited accounts and of those that are published; the latter have a share of 1. */
  readonly choose: (limits: readonly Limit[], now: MonotonicMs) => { readonly rows: readonly QuotaRow[], readonly isPartial: boolean }
  readonly clear: () => void
}

interface Sent {
  share: number
  at: MonotonicMs
  /** How often the end of the limit was told. */
  ends: number
}

const NOT_SENT: Sent = { share: 1, at: Number.NEGATIVE_INFINITY, ends: 0 }

/** Creates a table of shares of which none is published. */
export function createPublishedShares (): PublishedShares {
  const sent = new Map<AccountName, Sent>()

  function record ([account, share]: QuotaRow, now: MonotonicMs): void {
    const ends = share < 1 ? 0 : (sent.get(account)?.ends ?? 0) + 1
    if (ends >= END_REPEATS) sent.delete(account)
    else sent.set(account, { share, at: now, ends })
  }

  function choosePart (limits: readonly Limit[]): readonly QuotaRow[] {
    const scored = limits.map(({ row, demand }) => {
      const { share, at } = sent.get(row[0]) ?? NOT_SENT
      return { row, at, change: Math.abs(row[1] - share) * demand }
    })
    const changed = scored.toSorted((a, b) => b.change - a.change).slice(0, CHANGED_ROWS)
    const chosen = new Set(changed.map(({ row }) => row))
    const oldest = scored.filter(({ row }) => !chosen.has(row)).toSorted((a, b) => a.at - b.at).slice(0, MAX_ROWS - chosen.size)
    return [...chosen, ...oldest.map(({ row }) => row)]
  }

  return {
    has: account => sent.has(account),
    choose: (limits, now) => {
      const limited = limits.filter(({ row }) => row[1] < 1)
      if (limited.length <= MAX_ROWS) {
        sent.clear()
        for (const { row } of limited) record(row, now)
        return { rows: limited.map(({ row }) => row), isPartial: false }
      }
      const rows = choosePart(limits)
      for (const row of rows) record(row, now)
      return { rows, isPartial: true }
    },
    clear: () => sent.clear()
  }
}
