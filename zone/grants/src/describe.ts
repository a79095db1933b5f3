/**
 * Builds the descriptions of an owned endpoint: the state for the hosts of the zone, when it may have changed or a host
 * needs all states, and the one for the operator API, on request.
 */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'
import type { EndpointState as PublishedState } from '@catkinferry/wire.messages'
import { countFreeSlots, countOccupied } from './endpointState.ts'
import type { EndpointState } from './endpointState.ts'
import type { GrantsCore } from './grantsCore.ts'

/**
 * Whether the state of an endpoint is known well enough to publish it. A new owner knows nothing before the first report, and
 * an endpoint without capacity would look like one that cannot be reached.
 */
export function isPublishable ({ lastReport, unreachableSince }: EndpointState): boolean {
  return lastReport !== undefined || unreachableSince !== undefined
}

/** Builds the state that is published to the hosts of the zone. */
export function buildPublished (state: EndpointState): PublishedState & { readonly resident: readonly string[], readonly loading: readonly string[] } {
  const report = state.lastReport?.report
  return {
    endpoint: state.owned.row.endpoint,
    resident: state.slots.listResident().filter(adapterKey => adapterKey !== state.draining),
    loading: state.slots.listLoading(),
    running: countOccupied(state),
    waiting: state.queue.getSize(),
    batchLimit: state.unreachableSince === undefined ? report?.batchLimit ?? 0 : 0,
    slots: report?.slots ?? 0,
    freeSlots: countFreeSlots(state),
    expectedLoadMs: Math.round(state.expectedLoadMs),
    expectedRunMs: Math.round(state.expectedRunMs)
  }
}

/** An endpoint as shown in the operator API. */
export interface EndpointDescription {
  readonly endpoint: string
  readonly pool: string
  readonly fencing: number
  readonly leaving: boolean
  readonly slots: number
  /** `uncertain`: a grant of an earlier owner may still be running on the adapter. */
  readonly resident: readonly { readonly adapterKey: string, readonly pins: number, readonly uncertain: boolean }[]
  readonly loading: readonly string[]
  readonly running: number
  readonly batchLimit: number
  readonly waiting: number
  readonly draining: string | undefined
  /** Hosts that have not yet reported their active attempts there since the takeover. */
  readonly inventoryWaitsFor: readonly string[]
  readonly orderWaitMs: DurationMs
  readonly reportAgeMs: DurationMs | undefined
  readonly unreachableMs: DurationMs | undefined
}

/** Describes all endpoints that this host owns. */
export function describeOwned (core: GrantsCore, now: MonotonicMs): readonly EndpointDescription[] {
  return [...core.states.values()].map(state => describeEndpoint(state, now))
}

function describeEndpoint (state: EndpointState, now: MonotonicMs): EndpointDescription {
  const { row, fencing } = state.owned
  return {
    endpoint: row.endpoint,
    pool: row.pool,
    fencing,
    leaving: row.leaving,
    slots: state.lastReport?.report.slots ?? 0,
    resident: state.slots.listResident().map(adapterKey => ({
      adapterKey,
      pins: state.pins.count(adapterKey),
      uncertain: state.inventory !== undefined && !state.inventory.cleared.has(adapterKey)
    })),
    loading: state.slots.listLoading(),
    running: countOccupied(state),
    batchLimit: state.lastReport?.report.batchLimit ?? 0,
    waiting: state.queue.getSize(),
    draining: state.draining,
    inventoryWaitsFor: [...state.inventory?.waitingFor ?? []],
    orderWaitMs: state.fencingAccepted ? 0 : Math.max(0, state.owned.orderAfter - now),
    reportAgeMs: state.lastReport === undefined ? undefined : now - state.lastReport.takenAt,
    unreachableMs: state.unreachableSince === undefined ? undefined : now - state.unreachableSince
  }
}
