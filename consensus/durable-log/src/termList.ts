/**
 * Keeps the term of each entry on disk for the durable log, which does not hold the entries in memory. Filled when the
 * folder is opened and updated on each write; used to check that entries are contiguous and to compare a new snapshot
 * with the log.
 */
import type { LogEntry } from '@catkinferry/wire.messages'

export interface TermList {
  /** Index of the entry before the first one in the list. */
  readonly getBaseIndex: () => number
  readonly getLastIndex: () => number
  /** Adds the terms of entries that follow the last one. */
  readonly add: (entries: readonly LogEntry[]) => void
  /** Removes the entry at `index` and all later ones. */
  readonly truncateFrom: (index: number) => void
  /**
   * Removes all entries up to `index`, the last one that a snapshot covers; `term` is its term in the snapshot. Removes
   * the later entries too if the list has no entry at `index` or one of another term.
   */
  readonly compactTo: (index: number, term: number) => void
}

/** Creates a list that begins after `baseIndex`. */
export function createTermList (baseIndex: number, baseTerm: number): TermList {
  let base = { index: baseIndex, term: baseTerm }
  let terms: number[] = []
  const getTerm = (index: number): number | undefined => index === base.index ? base.term : terms[index - base.index - 1]
  return {
    getBaseIndex: () => base.index,
    getLastIndex: () => base.index + terms.length,
    add: entries => { for (const { term } of entries) terms.push(term) },
    truncateFrom: index => { terms.length = Math.min(terms.length, Math.max(0, index - base.index - 1)) },
    compactTo: (index, term) => {
      if (index < base.index) return
      terms = getTerm(index) === term ? terms.slice(index - base.index) : []
      base = { index, term }
    }
  }
}
