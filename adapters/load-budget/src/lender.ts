/** Lends the part of the load rate that is not in the floors to the zones that want it. */
import { MAX_CLOCK_DRIFT_FRACTION } from '@catkinferry/core.constants'
import type { DurationMs, MonotonicMs, ZoneId } from '@catkinferry/core.types'

/** What one zone was lent; it may act on any of the promises that have not ended. */
interface Loan {
  promises: readonly { readonly extra: number, readonly until: MonotonicMs }[]
  wanted: number
}

function countLent (loan: Loan): number {
  return loan.promises.reduce((most, { extra }) => Math.max(most, extra), 0)
}

export interface Lender {
  /** Nothing is lent before `from`: loans of an earlier lender may still run. */
  readonly begin: (from: MonotonicMs) => void
  /** Computes and records what a zone is lent. */
  readonly lend: (ask: { readonly zone: ZoneId, readonly wanted: number }, durationMs: DurationMs, now: MonotonicMs) => number
}

/** Nothing of the pool stays unlent: each zone counts as wanting this many more loads per second. */
const EVEN_PART = 0.2

/** Creates a lender of a pool of loads per second. */
export function createLender (opts: { readonly getPool: () => number }): Lender {
  const loans = new Map<ZoneId, Loan>()
  let lendsFrom = Infinity

  function computeShare (wanted: number, pool: number): number {
    let wantedByAll = 0
    for (const loan of loans.values()) wantedByAll += loan.wanted
    const zones = Math.max(1, loans.size)
    return pool * (wanted + EVEN_PART) / (wantedByAll + EVEN_PART * zones)
  }

  function lend (ask: { readonly zone: ZoneId, readonly wanted: number }, durationMs: DurationMs, now: MonotonicMs): number {
    if (now < lendsFrom) return 0
    const pool = opts.getPool()
    const loan = loans.get(ask.zone) ?? { promises: [], wanted: 0 }
    loans.set(ask.zone, loan)
    loan.wanted = ask.wanted
    let lentToOthers = 0
    for (const [zone, other] of loans) {
      other.promises = other.promises.filter(({ until }) => until > now)
      if (zone === ask.zone) continue
      if (other.promises.length === 0) loans.delete(zone)
      else lentToOthers += countLent(other)
    }
    const extra = Math.max(0, Math.min(computeShare(ask.wanted, pool), pool - lentToOthers))
    loan.promises = [...loan.promises, { extra, until: now + durationMs * (1 + MAX_CLOCK_DRIFT_FRACTION) }]
    return extra
  }

  return {
    begin: from => {
      loans.clear()
      lendsFrom = from
    },
    lend
  }
}
