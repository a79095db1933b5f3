/** Receives the full state in parts. It comes into force only when it is complete. */
import type { HostId } from '@catkinferry/core.types'
import { createSettingsTree } from '@catkinferry/settings.tree'
import type { SettingsTree } from '@catkinferry/settings.tree'
import type { RevisionDelta, SettingsMessage } from '@catkinferry/wire.messages'

type Part = Extract<SettingsMessage, { kind: 'settings.part' }>

/** What to request next, or the complete tree. */
export type TransferStep = { readonly kind: 'askPart', readonly part: number } | { readonly kind: 'askDeltas', readonly after: number } | { readonly kind: 'done', readonly tree: SettingsTree } | { readonly kind: 'ignored' }

export interface Transfer {
  readonly isActive: () => boolean
  readonly receivePart: (from: HostId, part: Part) => TransferStep
  /** Receives the deltas that bring parts read at different revisions to one revision. */
  readonly receiveDeltas: (from: HostId, deltas: readonly RevisionDelta[]) => TransferStep
  /** The step to request again after a lost message. */
  readonly getPendingStep: () => TransferStep
  readonly cancel: () => void
}

interface Progress {
  readonly from: HostId
  readonly epoch: number
  readonly tree: SettingsTree
  /** Index of the next expected part. */
  nextPart: number
  parts: number
  /** Revision at which the sender read the latest part. */
  lastPartRevision: number
}

/** Creates an inactive transfer. */
export function createTransfer (): Transfer {
  let progress: Progress | undefined

  function begin (from: HostId, part: Part): Progress {
    const tree = createSettingsTree()
    tree.setRevision(part.revision)
    return { from, epoch: part.epoch, tree, nextPart: 0, parts: part.parts, lastPartRevision: part.revision }
  }

  function getNextStep (current: Progress): TransferStep {
    if (current.nextPart < current.parts) return { kind: 'askPart', part: current.nextPart }
    if (current.tree.getRevision() < current.lastPartRevision) return { kind: 'askDeltas', after: current.tree.getRevision() }
    return { kind: 'done', tree: current.tree }
  }

  function advance (current: Progress): TransferStep {
    const step = getNextStep(current)
    if (step.kind === 'done') progress = undefined
    return step
  }

  return {
    isActive: () => progress !== undefined,
    receivePart: (from, part) => {
      const isOtherTransfer = progress === undefined || progress.from !== from || progress.epoch !== part.epoch
      if (isOtherTransfer && part.part !== 0) {
        progress = undefined
        return { kind: 'ignored' }
      }
      const current = progress === undefined || isOtherTransfer ? begin(from, part) : progress
      progress = current
      if (part.part !== current.nextPart) return { kind: 'ignored' }
      for (const node of part.nodes) current.tree.putNode(node)
      current.nextPart++
      current.parts = part.parts
      current.lastPartRevision = part.revision
      return advance(current)
    },
    receiveDeltas: (from, deltas) => {
      const current = progress
      if (current === undefined || current.from !== from || current.nextPart < current.parts) return { kind: 'ignored' }
      for (const delta of deltas) {
        if (delta.revision === current.tree.getRevision() + 1) current.tree.applyDelta(delta)
      }
      return advance(current)
    },
    getPendingStep: () => progress === undefined ? { kind: 'ignored' } : getNextStep(progress),
    cancel: () => { progress = undefined }
  }
}
