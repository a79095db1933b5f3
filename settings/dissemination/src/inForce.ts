/** The settings in force at this host. Their revision never decreases. */
import { createSettingsTree } from '@catkinferry/settings.tree'
import type { SettingsTree } from '@catkinferry/settings.tree'
import type { RevisionDelta } from '@catkinferry/wire.messages'
import { createDeltaLog } from './deltaLog.ts'

/** The part of a voter's replicated state that the dissemination reads. */
export interface VoterState {
  /** The committed tree; a new object after a snapshot was restored. */
  readonly getTree: () => SettingsTree
  readonly listDeltasAfter: (revision: number) => readonly RevisionDelta[] | undefined
}

export interface SettingsInForce {
  readonly getTree: () => SettingsTree
  readonly getRevision: () => number
  /** Changes whenever the tree is replaced by another object, which makes its node ids invalid. */
  readonly getEpoch: () => number
  /** Applies the deltas that follow the revision in force and ignores older ones. Returns false at the first gap. */
  readonly applyDeltas: (deltas: readonly RevisionDelta[]) => boolean
  /** Replaces the whole tree if the new one has a higher revision. */
  readonly replaceTree: (tree: SettingsTree) => void
  /** On voters: uses the committed tree unless its revision is below the one in force. */
  readonly followVoter: () => void
  /** On voters: records a committed change. */
  readonly recordCommitted: (delta: RevisionDelta) => void
  readonly listDeltasAfter: (revision: number) => readonly RevisionDelta[] | undefined
}

/** Node ids that are copied at a time. */
const COPY_BATCH_IDS = 10_000

function copyTree (from: SettingsTree): SettingsTree {
  const copy = createSettingsTree()
  for (let id = 0; id < from.getIdLimit(); id += COPY_BATCH_IDS) {
    for (const node of from.listNodesByIdRange(id, COPY_BATCH_IDS)) copy.putNode(node)
  }
  copy.setRevision(from.getRevision())
  return copy
}

/** Creates the settings in force: the voter's own tree, or an empty one on other hosts. `firstEpoch` is random, so that epochs of different processes differ. */
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
      // The voter's own tree may be changed by the log only, so deltas from others go into a copy.
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
