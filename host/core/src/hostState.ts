/** State of a host core: its systems, the peer links, the progress of a shutdown and the last health. */
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { HostOptions } from './hostOptions.ts'
import type { Systems } from './systems.ts'

export interface HostState {
  readonly opts: HostOptions
  readonly systems: Systems
  /** Whether the link to a peer is up. */
  readonly links: Map<HostId, boolean>
  stopping: boolean
  stopped: boolean
  lastRunAt: MonotonicMs
  /** When the zone first had a reachable lease holder. */
  firstServingAt?: MonotonicMs
  /** Whether this host has been ready since it started. */
  hasBeenReady?: boolean
  /** The health emitted last. */
  health?: { readonly ready: boolean, readonly reason: string }
}
