/** The latest deltas of a host, kept to bring others up to date without the full state. */
import type { RevisionDelta } from '@catkinferry/wire.messages'

const MAX_DELTAS = 512
const MAX_NODES = 10_000

export interface DeltaLog {
  /** Adds the next delta; what does not follow on the last one empties the log first. */
  readonly add: (delta: RevisionDelta) => void
  /** The deltas after a revision; undefined where some are not kept. */
  readonly listAfter: (revision: number) => readonly RevisionDelta[] | undefined
  readonly clear: () => void
}

/** Creates an empty log. */
export function createDeltaLog (): DeltaLog {
  let deltas: RevisionDelta[] = []
  let nodes = 0

  function clear (): void {
    deltas = []
    nodes = 0
  }

  return {
    clear,
    add: delta => {
      const last = deltas.at(-1)
      if (last !== undefined && last.revision + 1 !== delta.revision) clear()
      deltas.push(delta)
      nodes += delta.nodes.length
      while (deltas.length > MAX_DELTAS || (nodes > MAX_NODES && deltas.length > 1)) nodes -= deltas.shift()!.nodes.length
    },
    listAfter: revision => {
      const first = deltas[0]
      if (first === undefined || first.revision > revision + 1) return undefined
      return deltas.slice(revision + 1 - first.revision)
    }
  }
}
