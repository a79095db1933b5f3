/** Requests of operators to a host's operator API, and the replies. */
import type { Failure } from '@catkinferry/core.errors'
import type { ChangeId, ClaimKey, HostId, NodePath, RequestId } from './ids.ts'

export const OperatorRole = { READ: 'read', WRITE: 'write', ADMIN: 'admin' } as const
export type OperatorRole = typeof OperatorRole[keyof typeof OperatorRole]

/** The operator, as authenticated by the operator API. */
export interface OperatorIdentity {
  readonly name: string
  readonly role: OperatorRole
  /** Address the request came from. */
  readonly from: string
}

/** A settings change of one node. `values` sets keys, `unset` removes overrides, `remove` deletes the node. */
export interface NodeChange {
  readonly path: NodePath
  /** Revision of the node that the operator saw; 0 for a node that does not exist. */
  readonly expectedRevision: number
  readonly values?: Readonly<Record<string, unknown>>
  readonly unset?: readonly string[]
  readonly remove?: boolean
}

export type OperatorRequest = { readonly operator: OperatorIdentity } & OperatorCall

/** Queries and commands of the operator API, by kind. */
export type OperatorCall =
  | { readonly kind: 'settings.change', readonly changeId: ChangeId, readonly changes: readonly NodeChange[], readonly dryRun: boolean, readonly deadlineMs: number }
  | { readonly kind: 'settings.get', readonly path: NodePath, readonly effective: boolean, readonly explain: boolean, readonly fresh: boolean }
  | { readonly kind: 'settings.list', readonly path: NodePath, readonly limit: number, readonly after?: string }
  | { readonly kind: 'settings.status' }
  | { readonly kind: 'audit.list', readonly afterSequence: number, readonly limit: number, readonly path?: NodePath, readonly who?: string }
  | { readonly kind: 'claims.get', readonly claimKey: ClaimKey }
  | { readonly kind: 'claims.list', readonly state?: string, readonly limit: number }
  | { readonly kind: 'claims.resolve', readonly changeId: ChangeId, readonly claimKey: ClaimKey, readonly resolution: 'done' | 'notRun', readonly note: string, readonly deadlineMs: number }
  | { readonly kind: 'voters.status' }
  | { readonly kind: 'voters.replace', readonly changeId: ChangeId, readonly remove?: HostId, readonly add?: HostId, readonly deadlineMs: number }
  | { readonly kind: 'status' }
  | { readonly kind: 'endpoints.list' }
  | { readonly kind: 'zones.list' }
  | { readonly kind: 'explain', readonly requestId: RequestId }

/** Reply to an operator. `body` is plain data, shown as JSON or as a table. */
export type OperatorReply =
  | { readonly ok: true, readonly body: unknown }
  /** `outcome: 'unknown'`: the answer was lost; the operator can resend the request with the same change id. */
  | { readonly ok: false, readonly failure: Failure, readonly outcome: 'refused' | 'unknown', readonly body?: unknown }
