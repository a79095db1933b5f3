/** What a host core holds besides its systems. */
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { HostOptions } from './hostOptions.ts'
import type { Systems } from './systems.ts'

export interface HostState {
  readonly opts: HostOptions
  readonly systems: Systems
  /** Peer links that are up. */
  readonly links: Map<HostId, boolean>
  stopping: boolean
  stopped: boolean
  lastRunAt: MonotonicMs
  /** Last health that was emitted. */
  health?: { readonly ready: boolean, readonly reason: string }
}
