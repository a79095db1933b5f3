/** Messages that distribute settings from the voters through zone relays to all hosts. */
import type { DurationMs, HostId, NodePath, ZoneId } from '@catkinferry/core.types'

/** The state of one settings node after a revision. `values` is undefined when the node was removed. */
export interface NodeDelta {
  readonly path: NodePath
  readonly nodeRevision: number
  readonly values?: Readonly<Record<string, unknown>>
}

/** All nodes that one revision changed. */
export interface RevisionDelta {
  readonly revision: number
  readonly nodes: readonly NodeDelta[]
}

/** The revision that a host has applied; undefined when the sender does not know it. */
export interface AppliedRevision {
  readonly host: HostId
  readonly revision?: number
}

export type SettingsMessage =
  /** Sent by a voter to a relay, or by a relay to a host of its zone; also the heartbeat. `deltas` are contiguous. `majorityAgeMs`: time since the sender last knew of a majority of voters; absent when it never did. */
  | { readonly kind: 'settings.deltas', readonly deltas: readonly RevisionDelta[], readonly highest: number, readonly majorityAgeMs?: DurationMs }
  /** Subscribes to the revisions after `after`. With `part`, requests that part of the full state. */
  | { readonly kind: 'settings.ask', readonly after: number, readonly part?: number }
  /** Ends a subscription. */
  | { readonly kind: 'settings.leave' }
  /** Answer to a `settings.ask` for revisions older than the retained deltas: all nodes, in parts. Each part is read at its own `revision`; parts of different epochs cannot be combined. */
  | { readonly kind: 'settings.part', readonly epoch: number, readonly revision: number, readonly part: number, readonly parts: number, readonly nodes: readonly NodeDelta[] }
  /** Applied revisions by host, reported towards a voter. */
  | { readonly kind: 'settings.applied', readonly applied: readonly AppliedRevision[] }
  /** All hosts of a zone except those in `exceptions` have applied `revision`. `forwarded`: sent by a voter, so the receiver does not forward it again. */
  | { readonly kind: 'settings.zoneApplied', readonly zone: ZoneId, readonly revision: number, readonly exceptions: readonly AppliedRevision[], readonly forwarded: boolean }
  /** Sent by a starting host: requests the revision in force at the receiver. */
  | { readonly kind: 'settings.probe', readonly probeId: number }
  /** `ready`: the sender's revision may be relied on. */
  | { readonly kind: 'settings.probeAnswer', readonly probeId: number, readonly revision: number, readonly ready: boolean }
