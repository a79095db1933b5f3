/** Messages inside a zone and between zones: leases, ownership, grants, membership, load budget. */
import type { AdapterKey, AttemptId, DurationMs, EndpointId, EndpointRow, HostId, ServiceClass, ZoneId } from '@catkinferry/core.types'

export type LeaseMessage =
  /** Requests the zone lease from a lease voter. `askId` is echoed, so that the holder measures the lease from the time of its request. */
  | { readonly kind: 'lease.ask', readonly zone: ZoneId, readonly ballot: number, readonly askId: number, readonly durationMs: DurationMs, /** Number of the lease voter set whose votes the candidate counts. */ readonly voterSet: number, /** The sender holds the lease under this ballot. */ readonly renewal: boolean }
  | { readonly kind: 'lease.answer', readonly zone: ZoneId, readonly ballot: number, readonly askId: number, readonly granted: boolean, readonly highestBallot: number, readonly remainingMs: DurationMs, /** Sub-leases of the previous ballot may not have expired yet. */ readonly subLeasesMayRun: boolean, /** Number of the lease voter set that the voter has applied. */ readonly voterSet: number, /** The current holder, in a refusal. */ readonly holder?: HostId }
  /** From a new holder to the hosts of its zone. */
  | { readonly kind: 'lease.held', readonly zone: ZoneId, readonly ballot: number }
  /** `unused`: the ballot won no majority, so no sub-lease was granted under it. */
  | { readonly kind: 'lease.release', readonly zone: ZoneId, readonly ballot: number, readonly unused: boolean }

export type OwnershipMessage =
  /** Answer to a renewal, and the holder's heartbeat. `endpoints`: all endpoints assigned to the owner; absent when unchanged since the `epoch` of the renewal. */
  | { readonly kind: 'owner.assign', readonly zone: ZoneId, readonly ballot: number, readonly askId: number, readonly subLeaseMs: DurationMs, readonly epoch: number, readonly viewSequence: number, readonly endpoints?: readonly AssignedEndpoint[] }
  /** Requests the sender's sub-lease, which it measures from the time of the request; also its heartbeat. `life` distinguishes a restarted process from the previous one. `epoch`: the last assignment applied under this ballot, or 0. */
  | { readonly kind: 'owner.renew', readonly zone: ZoneId, readonly ballot: number, readonly askId: number, readonly epoch: number, readonly viewSequence: number, readonly highestFencing: number, readonly leaving: boolean, readonly holding: readonly HeldEndpoint[], readonly life: number }
  /** The owner has stopped issuing grants and orders for the endpoint. `settled`: none of its orders is in flight. `highestFencing`: learned from a refusal, or 0. */
  | { readonly kind: 'owner.handBack', readonly zone: ZoneId, readonly ballot: number, readonly endpoint: EndpointId, readonly fencing: number, readonly settled: boolean, readonly highestFencing: number }

/** An endpoint under a sub-lease of an earlier ballot that has not expired. */
export interface HeldEndpoint {
  readonly endpoint: EndpointId
  readonly fencing: number
}

export interface AssignedEndpoint {
  readonly row: EndpointRow
  readonly fencing: number
  /** The new owner sends no order for this time, unless the engine has accepted the fencing token earlier. */
  readonly waitMs: DurationMs
  /** The owner must return the endpoint once its unstarted grants and its orders have ended. */
  readonly recalled: boolean
}

export type MembershipMessage =
  /** From the lease holder to the hosts of its zone: hosts, and endpoints with their owners, in full or as changed after sequence number `after`. */
  | { readonly kind: 'member.view', readonly zone: ZoneId, readonly ballot: number, readonly sequence: number, readonly after: number, readonly full: boolean, readonly hosts: readonly HostId[], readonly endpoints: readonly OwnedEndpoint[], readonly removed: readonly EndpointId[], readonly zones: readonly ZoneDigest[] }
  | { readonly kind: 'member.askView', readonly zone: ZoneId }
  /** From an owner to the hosts of its zone: the states of its endpoints that changed. `resident` and `loading` are absent when unchanged. */
  | { readonly kind: 'member.endpoints', readonly sequence: number, readonly full: boolean, readonly states: readonly EndpointState[] }
  | { readonly kind: 'member.askEndpoints' }
  /** From a lease holder to the lease holders of other zones. */
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
  /** From an entry host to an owner: requests the right to use an adapter's slot. Without `endpoint`, the contact host of another zone chooses an endpoint of `pool`. `origin` is absent when it is the sender. Durations are whole milliseconds. */
  | { readonly kind: 'grant.ask', readonly attemptId: AttemptId, readonly origin?: HostId, readonly endpoint?: EndpointId, readonly pool?: string, readonly adapterKey: AdapterKey, readonly serviceClass: ServiceClass, readonly remainingMs: DurationMs, readonly maxRunMs: DurationMs }
  /** `heldMs`: how long the request waited at the owner. The granted attempt may start until `askedAt + heldMs + startWithinMs` on the requester's clock. `url` is absent for hosts of the owner's zone. */
  | { readonly kind: 'grant.given', readonly attemptId: AttemptId, readonly endpoint: EndpointId, readonly url?: string, readonly fencing: number, readonly heldMs: DurationMs, readonly startWithinMs: DurationMs, readonly loadStallMs: DurationMs }
  | { readonly kind: 'grant.refused', readonly attemptId: AttemptId, readonly endpoint?: EndpointId, readonly reason: GrantRefusal, readonly owner?: HostId, readonly retryAfterMs?: DurationMs }
  /** The attempt ended, never started, or is no longer needed. */
  | { readonly kind: 'grant.release', readonly attemptId: AttemptId, readonly endpoint: EndpointId, readonly ran: boolean, readonly runMs: DurationMs }
  | { readonly kind: 'grant.cancel', readonly attemptId: AttemptId, readonly endpoint?: EndpointId }
  /** From a new owner to every host of the zone: requests the attempts that the host has running at the endpoint. */
  | { readonly kind: 'grant.askActive', readonly endpoint: EndpointId, readonly fencing: number }
  | { readonly kind: 'grant.active', readonly endpoint: EndpointId, readonly fencing: number, readonly active: readonly { readonly attemptId: AttemptId, readonly adapterKey: AdapterKey, readonly remainingMs: DurationMs }[] }

export type GrantRefusal = 'notOwner' | 'leaving' | 'full' | 'deadline' | 'loadFailed' | 'noLease' | 'unknownEndpoint' | 'takingOver'

export type LoadBudgetMessage =
  | { readonly kind: 'budget.ask', readonly zone: ZoneId, readonly askId: number, readonly wanted: number, readonly using: number }
  | { readonly kind: 'budget.lend', readonly zone: ZoneId, readonly askId: number, readonly extra: number, readonly durationMs: DurationMs }
  /** From an owner to the lease holder of its zone, which answers with `budget.given`. */
  | { readonly kind: 'budget.take', readonly loadId: string, readonly weight: number }
  | { readonly kind: 'budget.given', readonly loadId: string, readonly forMs: DurationMs }
  | { readonly kind: 'budget.done', readonly loadId: string, readonly tookMs: DurationMs, readonly ok: boolean }
