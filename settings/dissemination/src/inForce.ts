/** The settings in force at this host. Their revision only ever rises. */
import { createSettingsTree } from '@catkinferry/settings.tree'
import type { SettingsTree } from '@catkinferry/settings.tree'
import type { RevisionDelta } from '@catkinferry/wire.messages'
import { createDeltaLog } from './deltaLog.ts'

/** What a voter's replicated state gives the dissemination. */
export interface VoterState {
  /** The committed tree; another object after a snapshot was restored. */
  readonly getTree: () => SettingsTree
  readonly listDeltasAfter: (revision: number) => readonly RevisionDelta[] | undefined
}

export interface SettingsInForce {
  readonly getTree: () => SettingsTree
  readonly getRevision: () => number
  /** Changes whenever the tree is another object, so that ids of its nodes no longer hold. */
  readonly getEpoch: () => number
  /** Applies the deltas that follow on the revision in force and ignores older ones; false where the first leaves a gap. */
  readonly applyDeltas: (deltas: readonly RevisionDelta[]) => boolean
  /** Takes a whole tree where it is newer. */
  readonly replaceTree: (tree: SettingsTree) => void
  /** On voters: takes the committed tree unless it is older than what is in force. */
  readonly followVoter: () => void
  /** On voters: a change was committed. */
  readonly recordCommitted: (delta: RevisionDelta) => void
  readonly listDeltasAfter: (revision: number) => readonly RevisionDelta[] | undefined
}

const COPY_BATCH_IDS = 10_000

function copyTree (from: SettingsTree): SettingsTree {
  const copy = createSettingsTree()
  for (let id = 0; id < from.getIdLimit(); id += COPY_BATCH_IDS) {
    for (const node of from.listIds(id, COPY_BATCH_IDS)) copy.putNode(node)
  }
  copy.setRevision(from.getRevision())
  return copy
}

/** Creates the settings in force: the voter's own tree where there is one, else an empty one. `firstEpoch` differs from process to process. */
export function createSettingsInForce (voterState: VoterState | undefined, firstEpoch: number): SettingsInForce {
  let tree = voterState?.getTree() ?? createSettingsTree()
  let epoch = firstEpoch
  const log = createDeltaLog()

  function setTree (next: SettingsTree): void {
    tree = next
    epoch++
  }

  function applyDeltas (deltas: readonly RevisionDelta[]): boolean {
    for (const delta of deltas) {
      if (delta.revision <= tree.getRevision()) continue
      if (delta.revision !== tree.getRevision() + 1) return false
      // The voter's own tree follows the log alone.
      if (tree === voterState?.getTree()) setTree(copyTree(tree))
      tree.applyDelta(delta)
      log.add(delta)
    }
    return true
  }

  function followVoter (): void {
    const committed = voterState?.getTree()
    if (committed === undefined || committed === tree || committed.getRevision() < tree.getRevision()) return
    if (committed.getRevision() > tree.getRevision()) log.clear()
    setTree(committed)
  }

  return {
    getTree: () => tree,
    getRevision: () => tree.getRevision(),
    getEpoch: () => epoch,
    applyDeltas,
    replaceTree: next => {
      if (next.getRevision() <= tree.getRevision()) return
      log.clear()
      setTree(next)
    },
    followVoter,
    recordCommitted: delta => {
      followVoter()
      if (tree === voterState?.getTree()) log.add(delta)
    },
    listDeltasAfter: revision => {
      const logged = log.listAfter(revision)
      return logged?.at(-1)?.revision === tree.getRevision() ? logged : voterState?.listDeltasAfter(revision)
    }
  }
}
