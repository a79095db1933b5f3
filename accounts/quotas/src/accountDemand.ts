/** Units that an account has asked for lately, over all hosts, as the leader's controller knows them from reports. */
import type { MonotonicMs } from '@catkinferry/core.types'
import { MS_PER_SECOND } from './constants.ts'

const BIN_MS = 100
/** The short window follows a rise quickly; the long one prevents a single low report from ending a limit. Both hold whole report intervals. */
const SHORT_BINS = 4
const LONG_BINS = 8
/** The newest bins alone tell of a steep rise at once, if they hold so many reports that it is not chance, and show so much more. */
const NEWEST_BINS = 2
const MIN_REPORTS = 16
const STEEP_RISE = 1.5

export interface AccountDemand {
  /** Adds the units of a report. */
  readonly add: (units: number, now: MonotonicMs) => void
  /** Whether enough reports arrived lately to tell a steep rise. */
  readonly hasManyReports: () => boolean
  /** Units per second: the larger of the means over the windows. */
  readonly getRate: (now: MonotonicMs) => number
}

/** Creates the demand of an account that has asked for nothing. */
export function createAccountDemand (): AccountDemand {
  const bins = new Float64Array(LONG_BINS)
  const reports = new Uint16Array(LONG_BINS)
  let newest = 0

  /** Empties the bins that have passed out of the long window. */
  function clearExpiredBins (now: MonotonicMs): void {
    const bin = Math.floor(now / BIN_MS)
    for (let index = Math.max(newest + 1, bin - LONG_BINS + 1); index <= bin; index += 1) {
      bins[index & (LONG_BINS - 1)] = 0
      reports[index & (LONG_BINS - 1)] = 0
    }
    newest = Math.max(newest, bin)
  }

  /** Units per ms of the newest bins if they show a steep rise above `perMs`, and otherwise `perMs`. */
  function adjustForRise (perMs: number, units: number, count: number, now: MonotonicMs): number {
    const newestPerMs = units / Math.max(BIN_MS, now - (newest - NEWEST_BINS + 1) * BIN_MS)
    return count >= MIN_REPORTS && newestPerMs > perMs * STEEP_RISE ? newestPerMs : perMs
  }

  return {
    add: (units, now) => {
      clearExpiredBins(now)
      const index = newest & (LONG_BINS - 1)
      bins[index] = (bins[index] ?? 0) + units
      reports[index] = (reports[index] ?? 0) + 1
    },
    hasManyReports: () => (reports[newest & (LONG_BINS - 1)] ?? 0) + (reports[(newest - 1) & (LONG_BINS - 1)] ?? 0) >= MIN_REPORTS,
    getRate: now => {
      clearExpiredBins(now)
      let long = 0
      let short = 0
      let latest = 0
      let count = 0
      for (let age = 0; age < LONG_BINS; age += 1) {
        const index = (newest - age) & (LONG_BINS - 1)
        const units = bins[index] ?? 0
        long += units
        if (age < SHORT_BINS) short += units
        if (age >= NEWEST_BINS) continue
        latest += units
        count += reports[index] ?? 0
      }
      const perMs = Math.max(0, short / SHORT_BINS, long / LONG_BINS) / BIN_MS
      return adjustForRise(perMs, latest, count, now) * MS_PER_SECOND
    }
  }
}
