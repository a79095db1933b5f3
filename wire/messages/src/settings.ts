/** Messages that carry settings from the leader over zone relays to hosts. */
import type { DurationMs, HostId, NodePath, ZoneId } from '@catkinferry/core.types'

/** The state of one node after a revision. `undefined` values: the node was removed. */
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

/** The revision that a host has applied; undefined where the sender does not know. */
export interface AppliedRevision {
  readonly host: HostId
  readonly revision?: number
}

export type SettingsMessage =
  /** From a voter to a relay, or a relay to a host of its zone; also the heartbeat. `deltas` are contiguous. `majorityAgeMs`: how long ago the sender knew of a majority; absent when it never did. */
  | { readonly kind: 'settings.deltas', readonly deltas: readonly RevisionDelta[], readonly highest: number, readonly majorityAgeMs?: DurationMs }
  /** Subscribes to what follows `after`. With `part`, asks for that part of the full state. */
  | { readonly kind: 'settings.ask', readonly after: number, readonly part?: number }
  /** Ends a subscription. */
  | { readonly kind: 'settings.leave' }
  /** Answer to an ask that lies before the kept deltas: all nodes, in parts. Each part is read at its own `revision`; parts of another `epoch` do not fit together. */
  | { readonly kind: 'settings.part', readonly epoch: number, readonly revision: number, readonly part: number, readonly parts: number, readonly nodes: readonly NodeDelta[] }
  /** Applied revisions by host on their way to a voter. */
  | { readonly kind: 'settings.applied', readonly applied: readonly AppliedRevision[] }
  /** Every host of a zone has applied `revision`, but for the exceptions; `forwarded` between voters. */
  | { readonly kind: 'settings.zoneApplied', readonly zone: ZoneId, readonly revision: number, readonly exceptions: readonly AppliedRevision[], readonly forwarded: boolean }
  /** A starting host asks which revision is in force at the receiver. */
  | { readonly kind: 'settings.probe', readonly probeId: number }
  /** `ready`: the sender's revision may be relied on. */
  | { readonly kind: 'settings.probeAnswer', readonly probeId: number, readonly revision: number, readonly ready: boolean }
