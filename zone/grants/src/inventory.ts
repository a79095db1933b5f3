/**
 * Take-over of an endpoint: grants of the owner before may still run. Every adapter counts as pinned until the hosts have
 * said what they run there and the engine's own report shows it idle, or the last possible run has ended.
 */
import { MAX_CLOCK_DRIFT_FRACTION } from '@catkinferry/core.constants'
import type { AdapterKey, DurationMs, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { SeenReport } from './endpointState.ts'

/** Bound on the way of a request from a host to an engine. */
export const MAX_SEND_MS = 5_000
/** The same for a report that confirms the answers of all hosts of the zone. */
const CONFIRM_MS = 2_000
const RESEND_MS = 500

export interface Inventory {
  readonly since: MonotonicMs
  /** When the last possible run of an earlier grant has ended. */
  readonly endsAt: MonotonicMs
  readonly waitingFor: Set<HostId>
  readonly cleared: Set<AdapterKey>
  resendAt: MonotonicMs
}

/** Creates an inventory that waits for all the given hosts. */
export function createInventory (opts: { readonly hosts: readonly HostId[], readonly since: MonotonicMs, readonly maxRunMs: DurationMs }): Inventory {
  const endsAt = opts.since + (opts.maxRunMs + MAX_SEND_MS) * (1 + MAX_CLOCK_DRIFT_FRACTION)
  return { since: opts.since, endsAt, waitingFor: new Set(opts.hosts), cleared: new Set(), resendAt: opts.since }
}

/** Tells whether an earlier grant for the adapter may still run. */
export function isUncertain (inventory: Inventory | undefined, adapterKey: AdapterKey): boolean {
  return inventory !== undefined && !inventory.cleared.has(adapterKey)
}

/** Tells whether an engine's report proves that nothing granted before `startBy` runs on the adapter. */
export function isIdleByReport (seen: SeenReport, adapterKey: AdapterKey, startBy: MonotonicMs, marginMs: DurationMs): boolean {
  if (seen.takenAt < startBy + marginMs) return false
  return (seen.report.running[adapterKey] ?? 0) === 0 && seen.report.queuedCount === 0
}

/** Clears the adapters that a report shows idle. */
export function applyReportToInventory (inventory: Inventory, seen: SeenReport): void {
  const marginMs = inventory.waitingFor.size === 0 ? CONFIRM_MS : MAX_SEND_MS
  for (const adapterKey of seen.report.resident) {
    if (isIdleByReport(seen, adapterKey, inventory.since, marginMs)) inventory.cleared.add(adapterKey)
  }
}

/** Lists the hosts to ask again now. */
export function takeHostsToAsk (inventory: Inventory, now: MonotonicMs): readonly HostId[] {
  if (inventory.waitingFor.size === 0 || inventory.resendAt > now) return []
  inventory.resendAt = now + RESEND_MS
  return [...inventory.waitingFor]
}
