/** Determines whether the load balancer may send callers to this host. */
import type { RunContext } from '@catkinferry/host.events'
import type { HostState } from './hostState.ts'

interface Health {
  readonly ready: boolean
  readonly reason: string
}

function getHealth (host: HostState, context: RunContext): Health {
  if (host.stopping) return { ready: false, reason: 'shutting down' }
  if (!host.systems.dissemination.view.isReady()) return { ready: false, reason: 'settings not yet received' }
  if (!host.systems.zone.view.isServing(context.now)) return { ready: false, reason: 'no lease holder of the zone can be reached' }
  return { ready: true, reason: 'serving' }
}

/** Emits the health when it has changed. */
export function emitHealth (host: HostState, context: RunContext): void {
  const health = getHealth(host, context)
  if (host.health?.ready === health.ready && host.health.reason === health.reason) return
  host.health = health
  context.emit({ kind: 'host.health', ...health })
}
