/** Messages inside a zone and between zones: leases, ownership, grants, membership, load budget. */
import type { AdapterKey, AttemptId, DurationMs, EndpointId, EndpointRow, HostId, RequestId, ServiceClass, ZoneId } from '@catkinferry/core.types'

export type LeaseMessage =
  /** Asks a lease voter for the zone lease. `askId` is echoed so that the holder counts from when it asked. */
  | { readonly kind: 'lease.ask', readonly zone: ZoneId, readonly ballot: number, readonly askId: number, readonly durationMs: DurationMs }
  | { readonly kind: 'lease.answer', readonly zone: ZoneId, readonly ballot: number, readonly askId: number, readonly granted: boolean, readonly highestBallot: number, readonly remainingMs: DurationMs }
  | { readonly kind: 'lease.release', readonly zone: ZoneId, readonly ballot: number }

export type OwnershipMessage =
  /** From the lease holder to an owner: these endpoints until the sub-lease ends. */
  | { readonly kind: 'owner.assign', readonly zone: ZoneId, readonly ballot: number, readonly askId: number, readonly subLeaseMs: DurationMs, readonly endpoints: readonly AssignedEndpoint[] }
  | { readonly kind: 'owner.accept', readonly zone: ZoneId, readonly ballot: number, readonly askId: number }
  /** An owner asks for its sub-lease to be renewed; it counts the sub-lease from when it asked. */
  | { readonly kind: 'owner.renew', readonly zone: ZoneId, readonly askId: number, readonly highestFencing: number }
  | { readonly kind: 'owner.handBack', readonly zone: ZoneId, readonly endpoints: readonly EndpointId[] }

export interface AssignedEndpoint {
  readonly row: EndpointRow
  readonly fencing: number
  /** The new owner gives no order or grant before this much time has passed. */
  readonly waitMs: DurationMs
  /** A different owner held it before, whose grants may still run. */
  readonly takenOver: boolean
}

export type MembershipMessage =
  /** Host to lease holder and stand-by. */
  | { readonly kind: 'member.heartbeat', readonly zone: ZoneId, readonly startedAt: number, readonly leaving: boolean, readonly settingsRevision: number, readonly sequence: number }
  /** Lease holder to the hosts of its zone: who owns what, full or only what changed. */
  | { readonly kind: 'member.view', readonly zone: ZoneId, readonly ballot: number, readonly sequence: number, readonly full: boolean, readonly hosts: readonly HostId[], readonly endpoints: readonly OwnedEndpoint[], readonly removed: readonly EndpointId[], readonly zones: readonly ZoneDigest[] }
  | { readonly kind: 'member.askView', readonly zone: ZoneId }
  /** Owner to the hosts of its zone: state of its endpoints, only what changed. */
  | { readonly kind: 'member.endpoints', readonly states: readonly EndpointState[] }
  /** Lease holder to the lease holders of other zones. */
  | { readonly kind: 'member.digest', readonly digest: ZoneDigest }

export interface OwnedEndpoint {
  readonly row: EndpointRow
  readonly owner?: HostId
  readonly fencing: number
}

export interface EndpointState {
  readonly endpoint: EndpointId
  readonly resident: readonly AdapterKey[]
  readonly loading: readonly AdapterKey[]
  readonly running: number
  readonly waiting: number
  readonly batchLimit: number
  readonly slots: number
  readonly freeSlots: number
  readonly expectedLoadMs: DurationMs
  readonly expectedRunMs: DurationMs
}

export interface ZoneDigest {
  readonly zone: ZoneId
  readonly contact: HostId
  readonly sequence: number
  readonly pools: readonly { readonly pool: string, readonly freeCapacity: number, readonly queueMs: DurationMs }[]
}

export type GrantMessage =
  /** Entry host to owner: the right to use an adapter's slot. Without `endpoint`, a contact in another zone chooses. */
  | { readonly kind: 'grant.ask', readonly attemptId: AttemptId, readonly requestId: RequestId, readonly origin: HostId, readonly endpoint?: EndpointId, readonly pool: string, readonly adapterKey: AdapterKey, readonly serviceClass: ServiceClass, readonly remainingMs: DurationMs, readonly maxRunMs: DurationMs }
  /** `heldMs`: how long the owner held the ask. The grant may start until `askedAt + heldMs + startWithinMs` on the asker's clock. */
  | { readonly kind: 'grant.given', readonly attemptId: AttemptId, readonly endpoint: EndpointId, readonly url: string, readonly fencing: number, readonly heldMs: DurationMs, readonly startWithinMs: DurationMs, readonly loadStallMs: DurationMs }
  | { readonly kind: 'grant.refused', readonly attemptId: AttemptId, readonly endpoint?: EndpointId, readonly reason: GrantRefusal, readonly owner?: HostId, readonly retryAfterMs?: DurationMs }
  /** The attempt ended, never started, or is no longer wanted. */
  | { readonly kind: 'grant.release', readonly attemptId: AttemptId, readonly endpoint: EndpointId, readonly ran: boolean, readonly runMs: DurationMs }
  | { readonly kind: 'grant.cancel', readonly attemptId: AttemptId, readonly endpoint?: EndpointId }
  /** A new owner asks every host of the zone what it has running there. */
  | { readonly kind: 'grant.askActive', readonly endpoint: EndpointId, readonly fencing: number }
  | { readonly kind: 'grant.active', readonly endpoint: EndpointId, readonly fencing: number, readonly active: readonly { readonly attemptId: AttemptId, readonly adapterKey: AdapterKey, readonly remainingMs: DurationMs }[] }

export type GrantRefusal = 'notOwner' | 'leaving' | 'full' | 'deadline' | 'loadFailed' | 'noLease' | 'unknownEndpoint' | 'takingOver'

export type LoadBudgetMessage =
  | { readonly kind: 'budget.ask', readonly zone: ZoneId, readonly askId: number, readonly wanted: number, readonly using: number }
  | { readonly kind: 'budget.lend', readonly zone: ZoneId, readonly askId: number, readonly extra: number, readonly durationMs: DurationMs }
  /** Owner to the lease holder of its zone, and its answer. */
  | { readonly kind: 'budget.take', readonly loadId: string, readonly weight: number }
  | { readonly kind: 'budget.given', readonly loadId: string, readonly forMs: DurationMs }
  | { readonly kind: 'budget.done', readonly loadId: string, readonly tookMs: DurationMs, readonly ok: boolean }
