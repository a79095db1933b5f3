/** Messages inside a zone and between zones: leases, ownership, grants, membership, load budget. */
import type { AdapterKey, AttemptId, DurationMs, EndpointId, EndpointRow, HostId, ServiceClass, ZoneId } from '@catkinferry/core.types'

export type LeaseMessage =
  /** Asks a lease voter for the zone lease. `askId` is echoed so that the holder counts from when it asked. */
  | { readonly kind: 'lease.ask', readonly zone: ZoneId, readonly ballot: number, readonly askId: number, readonly durationMs: DurationMs, /** Number of the set of lease voters that the candidate counts. */ readonly voterSet: number, /** The sender holds the lease under this ballot. */ readonly renewal: boolean }
  | { readonly kind: 'lease.answer', readonly zone: ZoneId, readonly ballot: number, readonly askId: number, readonly granted: boolean, readonly highestBallot: number, readonly remainingMs: DurationMs, /** Sub-leases of the ballot before may still run. */ readonly subLeasesMayRun: boolean, /** Number of the set of lease voters that the voter has applied. */ readonly voterSet: number, /** Who holds the lease, in a refusal. */ readonly holder?: HostId }
  /** A new holder tells the hosts of its zone. */
  | { readonly kind: 'lease.held', readonly zone: ZoneId, readonly ballot: number }
  /** `unused`: the ballot won no majority, so no sub-lease came from it. */
  | { readonly kind: 'lease.release', readonly zone: ZoneId, readonly ballot: number, readonly unused: boolean }

export type OwnershipMessage =
  /** Answer to a renewal, and the holder's heartbeat. `endpoints`: all that the owner holds, absent when unchanged since the `epoch` of the renewal. */
  | { readonly kind: 'owner.assign', readonly zone: ZoneId, readonly ballot: number, readonly askId: number, readonly subLeaseMs: DurationMs, readonly epoch: number, readonly viewSequence: number, readonly endpoints?: readonly AssignedEndpoint[] }
  /** A host asks for its sub-lease, which it counts from when it asked; also its heartbeat. `life` tells a restarted process from the one before. `epoch`: the last assignment applied of this ballot, else 0. */
  | { readonly kind: 'owner.renew', readonly zone: ZoneId, readonly ballot: number, readonly askId: number, readonly epoch: number, readonly viewSequence: number, readonly highestFencing: number, readonly leaving: boolean, readonly holding: readonly HeldEndpoint[], readonly life: number }
  /** The owner grants and orders no more there. `settled`: none of its orders is under way. `highestFencing`: learned from a refusal, else 0. */
  | { readonly kind: 'owner.handBack', readonly zone: ZoneId, readonly ballot: number, readonly endpoint: EndpointId, readonly fencing: number, readonly settled: boolean, readonly highestFencing: number }

/** An endpoint under a sub-lease of an earlier ballot that has not ended. */
export interface HeldEndpoint {
  readonly endpoint: EndpointId
  readonly fencing: number
}

export interface AssignedEndpoint {
  readonly row: EndpointRow
  readonly fencing: number
  /** The new owner gives no order before this much time has passed, unless the engine has taken the fencing number. */
  readonly waitMs: DurationMs
  /** The owner is to hand it back once its unstarted grants and its orders are over. */
  readonly recalled: boolean
}

export type MembershipMessage =
  /** Lease holder to the hosts of its zone: who owns what, in full or what changed after `after`. */
  | { readonly kind: 'member.view', readonly zone: ZoneId, readonly ballot: number, readonly sequence: number, readonly after: number, readonly full: boolean, readonly hosts: readonly HostId[], readonly endpoints: readonly OwnedEndpoint[], readonly removed: readonly EndpointId[], readonly zones: readonly ZoneDigest[] }
  | { readonly kind: 'member.askView', readonly zone: ZoneId }
  /** Owner to the hosts of its zone: its endpoints that changed. `resident` and `loading` are absent when unchanged. */
  | { readonly kind: 'member.endpoints', readonly sequence: number, readonly full: boolean, readonly states: readonly EndpointState[] }
  | { readonly kind: 'member.askEndpoints' }
  /** Lease holder to the lease holders of other zones. */
  | { readonly kind: 'member.digest', readonly digest: ZoneDigest }

export interface OwnedEndpoint {
  readonly row: EndpointRow
  readonly owner?: HostId
  readonly fencing: number
}

export interface EndpointState {
  readonly endpoint: EndpointId
  readonly resident?: readonly AdapterKey[]
  readonly loading?: readonly AdapterKey[]
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
  /** Entry host to owner: the right to use an adapter's slot. Without `endpoint`, a contact in another zone chooses one of `pool`. `origin` is absent where it is the sender. Whole milliseconds. */
  | { readonly kind: 'grant.ask', readonly attemptId: AttemptId, readonly origin?: HostId, readonly endpoint?: EndpointId, readonly pool?: string, readonly adapterKey: AdapterKey, readonly serviceClass: ServiceClass, readonly remainingMs: DurationMs, readonly maxRunMs: DurationMs }
  /** `heldMs`: how long the owner held the ask. The grant may start until `askedAt + heldMs + startWithinMs` on the asker's clock. `url` is absent for hosts of the owner's zone. */
  | { readonly kind: 'grant.given', readonly attemptId: AttemptId, readonly endpoint: EndpointId, readonly url?: string, readonly fencing: number, readonly heldMs: DurationMs, readonly startWithinMs: DurationMs, readonly loadStallMs: DurationMs }
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
