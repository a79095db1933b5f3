/**
 * Counts of the leader by which one can tell why an adapter was not loaded: what callers were told, for which loads, and how often
 * an adapter was refused before. Read once a second for the metrics page; their number does not depend on the number of adapters.
 */

/** What became of a caller that waited for an adapter. */
export const LoadRequestOutcome = { GRANTED: 'granted', OVERLOADED: 'overloaded', OVERDUE: 'overdue', LEADER_CHANGED: 'leaderChanged' } as const
export type LoadRequestOutcome = typeof LoadRequestOutcome[keyof typeof LoadRequestOutcome]

/** For whom a load began: callers in their order, an adapter refused again and again, or none that waits now. */
export const LoadCause = { CALLERS: 'callers', STARVED: 'starved', AHEAD: 'ahead' } as const
export type LoadCause = typeof LoadCause[keyof typeof LoadCause]

/** Priorities are counted from 0 up to this one, with all that are less urgent. */
const MAX_COUNTED_PRIORITY = 9
/** Counts of refusals that are kept until they are read. */
const MAX_KEPT_REFUSALS = 10_000

export interface LoadCountTotals {
  readonly requests: ReadonlyArray<{ readonly outcome: LoadRequestOutcome, readonly priority: number, readonly count: number }>
  readonly loads: ReadonlyArray<{ readonly cause: LoadCause, readonly count: number }>
  /** For each adapter that was loaded after refusals, how many there were. */
  readonly refusalsBeforeLoad: readonly number[]
}

export interface LoadCounts {
  readonly recordOutcome: (outcome: LoadRequestOutcome, priority: number) => void
  readonly recordLoadBegun: (cause: LoadCause) => void
  readonly recordLoaded: (refusals: number) => void
  /** Returns what was counted since the last call. */
  readonly take: () => LoadCountTotals
}

/** Limits a priority to those that are counted apart. */
export function getCountedPriority (priority: number): number {
  return Math.min(MAX_COUNTED_PRIORITY, Math.max(0, Math.round(priority)))
}

/** Creates counts of 0. */
export function createLoadCounts (): LoadCounts {
  let requests = new Map<string, { readonly outcome: LoadRequestOutcome, readonly priority: number, count: number }>()
  let loads = new Map<LoadCause, number>()
  let refusalsBeforeLoad: number[] = []

  return {
    recordOutcome: (outcome, priority) => {
      const counted = getCountedPriority(priority)
      const key = `${outcome}|${counted}`
      const row = requests.get(key) ?? { outcome, priority: counted, count: 0 }
      row.count += 1
      requests.set(key, row)
    },
    recordLoadBegun: cause => { loads.set(cause, (loads.get(cause) ?? 0) + 1) },
    recordLoaded: refusals => {
      if (refusals > 0 && refusalsBeforeLoad.length < MAX_KEPT_REFUSALS) refusalsBeforeLoad.push(refusals)
    },
    take: () => {
      const totals = { requests: [...requests.values()], loads: [...loads].map(([cause, count]) => ({ cause, count })), refusalsBeforeLoad }
      requests = new Map()
      loads = new Map()
      refusalsBeforeLoad = []
      return totals
    }
  }
}
