/** Order of the loads of one endpoint. */
import type { AdapterKey, MonotonicMs } from '@catkinferry/core.types'

/** An adapter that should be loaded. All asks that wait for it share the one load. */
export interface LoadWish {
  readonly adapterKey: AdapterKey
  /** Rank of the most urgent waiting ask by class, deadline and age; lower goes first. `Infinity`: nobody waits. */
  readonly bestRank: number
  readonly waiting: number
  readonly waitingSince: MonotonicMs
  readonly ratePerSecond: number
}

/** A wait by one more ask counts as this much earlier rank, in milliseconds. */
const RANK_MS_PER_WAITING = 250
const MAX_COUNTED_WAITING = 20

/** Computes the place of a wish; lower goes first. */
export function computeLoadRank (wish: LoadWish): number {
  return wish.bestRank - RANK_MS_PER_WAITING * Math.min(wish.waiting, MAX_COUNTED_WAITING)
}

/** Sorts wishes, the one to load first in front: live waits before prefetches, then by rate. */
export function sortLoadWishes (wishes: readonly LoadWish[]): readonly LoadWish[] {
  return wishes.toSorted((a, b) => {
    const rankA = computeLoadRank(a)
    const rankB = computeLoadRank(b)
    if (rankA !== rankB) return rankA < rankB ? -1 : 1
    return b.ratePerSecond - a.ratePerSecond
  })
}
