/** Options of a host core. */
import type { HostLocation, NodePath, PeerRow, WallMs } from '@catkinferry/core.types'
import type { StoredState } from '@catkinferry/wire.messages'

export interface HostOptions {
  readonly self: HostLocation
  /** The host's own node in the fleet tree. */
  readonly path: NodePath
  /** Name of the deployment; hosts of different groups refuse each other's links. */
  readonly group: string
  /** All hosts named in the settings file, this one included. */
  readonly peers: readonly PeerRow[]
  /** State read from the disk at start; absent on hosts that are not voters. */
  readonly stored?: StoredState
  /** Limits at which a voter compacts its log; the defaults if absent. */
  readonly compaction?: { readonly minBytes: number, readonly tailEntries: number }
  readonly seed: number
  /** Wall-clock time at 0 on the monotonic clock. */
  readonly wallAtZeroMs: WallMs
  /** Monotonic time of creation. */
  readonly startedAt: number
}
