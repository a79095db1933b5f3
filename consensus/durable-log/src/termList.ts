/** Keeps the term of each entry in the log, so that a new snapshot can be compared with the log. */
import type { LogEntry } from '@catkinferry/wire.messages'

export interface TermList {
  /** Index of the entry before the first one in the list. */
  readonly getBaseIndex: () => number
  readonly getLastIndex: () => number
  readonly add: (entries: readonly LogEntry[]) => void
  readonly truncateFrom: (index: number) => void
  /** Removes all entries up to a snapshot's last one, and all later ones too when the log has another term there. */
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
