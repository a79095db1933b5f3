/** What a host core is created with. */
import type { HostPlace, NodePath, PeerRow, WallMs } from '@catkinferry/core.types'
import type { StoredState } from '@catkinferry/wire.messages'

export interface HostOptions {
  readonly self: HostPlace
  /** The host's own node in the fleet tree. */
  readonly path: NodePath
  /** Name of the deployment; hosts of different groups refuse each other. */
  readonly group: string
  /** All hosts named in the settings file, this one included. */
  readonly peers: readonly PeerRow[]
  /** What the disk held at start; absent on hosts that do not vote. */
  readonly stored?: StoredState
  /** When a voter compacts its log; the usual bounds when absent. */
  readonly compaction?: { readonly minBytes: number, readonly tailEntries: number }
  readonly seed: number
  /** Wall time at 0 on the monotonic clock. */
  readonly wallAtZeroMs: WallMs
  /** Monotonic time of creation. */
  readonly startedAt: number
}
