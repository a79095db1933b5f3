/**
 * Inventory of the grants of earlier owners, started when a host takes over an endpoint. An adapter counts as pinned until an
 * engine report shows it idle, which is accepted sooner once all hosts have reported their active attempts, or until the last
 * possible run of an earlier grant has ended.
 */
import { MAX_CLOCK_DRIFT_FRACTION } from '@catkinferry/core.constants'
import type { AdapterKey, DurationMs, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { ReceivedReport } from './endpointState.ts'

/** Upper bound on the time that a request takes from a host to an engine. */
export const MAX_REQUEST_TRANSIT_MS = 5_000
/** Replaces `MAX_REQUEST_TRANSIT_MS` once all hosts of the zone have answered, since the report then only confirms their answers. */
const CONFIRMED_TRANSIT_MS = 2_000
/** A query without an answer is resent after this time. */
const QUERY_RESEND_MS = 500

export interface Inventory {
  readonly since: MonotonicMs
  /** When the last possible run of an earlier grant has ended. */
  readonly endsAt: MonotonicMs
  /** Hosts that have not yet reported their active attempts. */
  readonly waitingFor: Set<HostId>
  /** Adapters that no earlier grant can be using any more. */
  readonly cleared: Set<AdapterKey>
  resendAt: MonotonicMs
}

/** Creates an inventory that waits for the answers of all given hosts. */
export function createInventory (opts: { readonly hosts: readonly HostId[], readonly since: MonotonicMs, readonly maxRunMs: DurationMs }): Inventory {
  const endsAt = opts.since + (opts.maxRunMs + MAX_REQUEST_TRANSIT_MS) * (1 + MAX_CLOCK_DRIFT_FRACTION)
  return { since: opts.since, endsAt, waitingFor: new Set(opts.hosts), cleared: new Set(), resendAt: opts.since }
}

/** Returns whether a grant of an earlier owner may still be running on the adapter. */
export function isUncertain (inventory: Inventory | undefined, adapterKey: AdapterKey): boolean {
  return inventory !== undefined && !inventory.cleared.has(adapterKey)
}

/** Returns whether a report proves that nothing that had to start by `startBy` is running on the adapter. */
export function isIdleByReport (received: ReceivedReport, adapterKey: AdapterKey, startBy: MonotonicMs, marginMs: DurationMs): boolean {
  if (received.takenAt < startBy + marginMs) return false
  return (received.report.running[adapterKey] ?? 0) === 0 && received.report.queuedCount === 0
}

/** Clears the adapters that a report shows idle. */
export function applyReportToInventory (inventory: Inventory, received: ReceivedReport): void {
  const marginMs = inventory.waitingFor.size === 0 ? CONFIRMED_TRANSIT_MS : MAX_REQUEST_TRANSIT_MS
  for (const adapterKey of received.report.resident) {
    if (isIdleByReport(received, adapterKey, inventory.since, marginMs)) inventory.cleared.add(adapterKey)
  }
}

/** Returns the hosts to query now, and schedules the next query. */
export function takeHostsToQuery (inventory: Inventory, now: MonotonicMs): readonly HostId[] {
  if (inventory.waitingFor.size === 0 || inventory.resendAt > now) return []
  inventory.resendAt = now + QUERY_RESEND_MS
  return [...inventory.waitingFor]
}
