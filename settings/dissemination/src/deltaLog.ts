/** The latest deltas of a host, kept to update subscribers without a transfer of the full state. */
import type { RevisionDelta } from '@catkinferry/wire.messages'

/** Maximum number of deltas, and of changed nodes in them; the newest delta is always kept. */
const MAX_DELTAS = 512
const MAX_NODES = 10_000

export interface DeltaLog {
  /** Adds a delta. If it does not directly follow the last one, the log is cleared first. */
  readonly add: (delta: RevisionDelta) => void
  /** The deltas after a revision; undefined if some are no longer kept. */
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
