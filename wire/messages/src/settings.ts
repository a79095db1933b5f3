/** Messages that carry settings from the leader over zone relays to hosts. */
import type { HostId, NodePath } from '@catkinferry/core.types'

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

export type SettingsMessage =
  /** From a voter to a relay, or a relay to a host of its zone. `deltas` are contiguous. */
  | { readonly kind: 'settings.deltas', readonly deltas: readonly RevisionDelta[], readonly highest: number }
  /** Asks for what follows `after`. */
  | { readonly kind: 'settings.ask', readonly after: number }
  /** Answer to an ask that lies before the kept deltas: all nodes, in parts. */
  | { readonly kind: 'settings.part', readonly revision: number, readonly part: number, readonly parts: number, readonly nodes: readonly NodeDelta[] }
  /** Applied revisions by host, gathered by the relay. */
  | { readonly kind: 'settings.applied', readonly applied: readonly { readonly host: HostId, readonly revision: number }[] }
