/** Settings of a host of a fleet that forms from seeds. */
import type { DurationMs, HostId, RegionId, ZoneId } from '@catkinferry/core.types'
import type { RetryBudget } from '@catkinferry/gateway.relay'

/** Times that the deployment promises to its users. */
export interface FleetTimes {
  /** A stopping host has this long until it is killed. */
  readonly graceMs: DurationMs
  /** Time between the orders of one holder and those of the next. */
  readonly handOverMs: DurationMs
}

export interface FleetSettings {
  /** Name of the host in logs. */
  readonly name: string
  /** Address of its peer link, which is also its id. */
  readonly host: HostId
  /** IP of this machine for all sockets, where it is not the one that others know it by, as behind address translation. */
  readonly bindIp?: string
  readonly zone: ZoneId
  readonly region: RegionId
  readonly regionsByZone: ReadonlyMap<ZoneId, RegionId>
  /** Peer addresses of some core hosts; may change while the host runs. */
  readonly seeds: readonly HostId[]
  /** The whole fleet starts for the first time, with empty disks. */
  readonly bootstrap: boolean
  /** Only on hosts that keep the replicated state. */
  readonly dataFolder?: string
  /** Disks that may be lost at once. */
  readonly lossesBorne: number
  readonly times: FleetTimes
  /** Sends beyond the first that the fleet may make. */
  readonly retryBudget: RetryBudget
}
