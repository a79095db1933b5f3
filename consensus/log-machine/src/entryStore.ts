/**
 * Keeps the entries of the replicated log in memory, except those that were dropped after a snapshot. Part of the
 * machine's state, read to replicate and to apply entries.
 */
import type { LogEntry } from '@catkinferry/wire.messages'
import { estimateBytes } from './estimateBytes.ts'

export interface EntryStore {
  /** Index of the first entry; `getLastIndex() + 1` when there is none. */
  readonly getFirstIndex: () => number
  readonly getLastIndex: () => number
  /** Term of an entry or of the one before the first; undefined for any other index. */
  readonly getTerm: (index: number) => number | undefined
  readonly get: (index: number) => LogEntry | undefined
  /** Estimated bytes of the entries from `from` to `to`, both included. */
  readonly getBytes: (from: number, to: number) => number
  /** Returns entries from `index` on within both limits, but at least one if there is any. */
  readonly list: (opts: { readonly index: number, readonly maxEntries: number, readonly maxBytes: number }) => LogEntry[]
  readonly add: (entries: readonly LogEntry[]) => void
  /** Removes the entry at this index and all later ones. */
  readonly truncateFrom: (index: number) => void
  /** Removes all entries up to and including this index. */
  readonly compactTo: (index: number) => void
  /** Removes all entries; the next one follows `index`. */
  readonly reset: (index: number, term: number) => void
}

/** Creates a store whose first entry follows `baseIndex`. */
export function createEntryStore (baseIndex: number, baseTerm: number): EntryStore {
  let base = { index: baseIndex, term: baseTerm }
  let entries: LogEntry[] = []
  /** Estimated bytes of all entries up to each one, counted since the store was created. */
  let sums: number[] = []
  let baseSum = 0

  const getLastIndex = (): number => base.index + entries.length
  const getTerm = (index: number): number | undefined => index === base.index ? base.term : entries[index - base.index - 1]?.term
  const getSum = (index: number): number => index <= base.index ? baseSum : sums[Math.min(index, getLastIndex()) - base.index - 1] ?? baseSum

  return {
    getFirstIndex: () => base.index + 1,
    getLastIndex,
    getTerm,
    getBytes: (from, to) => Math.max(0, getSum(to) - getSum(from - 1)),
    get: index => entries[index - base.index - 1],
    list: ({ index, maxEntries, maxBytes }) => {
      const from = index - base.index - 1
      const limit = getSum(index - 1) + maxBytes
      let to = from
      while (to < entries.length && to - from < maxEntries) {
        if (to > from && getSum(base.index + to + 1) > limit) break
        to++
      }
      return entries.slice(from, to)
    },
    add: added => {
      for (const entry of added) {
        entries.push(entry)
        sums.push((sums.at(-1) ?? baseSum) + estimateBytes(entry))
      }
    },
    truncateFrom: index => {
      const kept = Math.max(0, index - base.index - 1)
      entries.length = Math.min(entries.length, kept)
      sums.length = entries.length
    },
    compactTo: index => {
      const term = getTerm(index)
      if (index <= base.index || term === undefined) return
      baseSum = getSum(index)
      entries = entries.slice(index - base.index)
      sums = sums.slice(index - base.index)
      base = { index, term }
    },
    reset: (index, term) => {
      base = { index, term }
      entries = []
      sums = []
      baseSum = 0
    }
  }
}
