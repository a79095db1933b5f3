/** Order of the adapter loads of one endpoint. The host that owns the endpoint sorts them each time it looks for a load to start. */
import type { AdapterKey, MonotonicMs } from '@catkinferry/core.types'

/** An adapter that should be loaded. All requests waiting for it share one load. */
export interface LoadCandidate {
  readonly adapterKey: AdapterKey
  /** Rank of the most urgent waiting request by class, deadline and age, in milliseconds; lower goes first. `Infinity`: none waits. */
  readonly bestRank: number
  /** Number of waiting requests; 0 for a prefetch. */
  readonly waiting: number
  /** When the most urgent waiting request was received. */
  readonly waitingSince: MonotonicMs
  /** Expected requests per second. */
  readonly ratePerSecond: number
}

/** Each waiting request lowers the rank by this much, up to a maximum number of requests. */
const RANK_MS_PER_WAITING = 250
const MAX_COUNTED_WAITING = 20

/** Computes the rank of a load; lower goes first. */
export function computeLoadRank (candidate: LoadCandidate): number {
  return candidate.bestRank - RANK_MS_PER_WAITING * Math.min(candidate.waiting, MAX_COUNTED_WAITING)
}

/** Sorts loads, the most urgent first: those with waiting requests by rank, then prefetches by request rate. */
export function sortLoadCandidates (candidates: readonly LoadCandidate[]): readonly LoadCandidate[] {
  return candidates.toSorted((a, b) => {
    const rankA = computeLoadRank(a)
    const rankB = computeLoadRank(b)
    if (rankA !== rankB) return rankA < rankB ? -1 : 1
    return b.ratePerSecond - a.ratePerSecond
  })
}
