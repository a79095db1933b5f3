/** Settings of an entry host or core host. */
import type { DurationMs, HostId, RegionId, ZoneId } from '@catkinferry/core.types'
import type { RetryBudget } from '@catkinferry/gateway.relay'

/** Time limits that the deployment sets. */
export interface FleetTimes {
  /** Time from the stop signal until the platform kills the process. */
  readonly graceMs: DurationMs
  /** Minimum time between the orders that a former leader may have sent to an endpoint and those of its successor. */
  readonly handOverMs: DurationMs
  /** Longest time by which the platform's list of endpoints is behind. */
  readonly listLagMs: DurationMs
}

export interface FleetSettings {
  /** Name of the host in logs. */
  readonly name: string
  /** `ip:port` of its peer links, which is also its id. */
  readonly host: HostId
  /** `ip:port` at which an entry host takes requests from others; undefined if it takes none. */
  readonly relayAddress?: string
  /** IP to bind all sockets to, if it differs from the address that others use, for example behind NAT. */
  readonly bindIp?: string
  readonly zone: ZoneId
  readonly region: RegionId
  readonly regionsByZone: ReadonlyMap<ZoneId, RegionId>
  /** Peer addresses of some core hosts, from which a host finds the others. May change at run time. */
  readonly seeds: readonly HostId[]
  /** The fleet starts for the first time, with empty disks. */
  readonly bootstrap: boolean
  /** Only on core hosts. */
  readonly dataFolder?: string
  /** Number of disks that may be lost at the same time. */
  readonly toleratedDiskLosses: number
  readonly times: FleetTimes
  /** Engines refuse orders with a lower fencing token than they have seen. */
  readonly enginesCheckFencing: boolean
  /** Bounds the retries of the whole fleet. */
  readonly retryBudget: RetryBudget
  /** A key that was taken away must be refused everywhere this long after the change was acknowledged; undefined if there is no such bound. */
  readonly revocationMs?: DurationMs
}
