/** Determines whether the load balancer may send callers to this host. */
import type { MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { HostState } from './hostState.ts'

/** Longest time that a host that has just started waits for the loads of endpoints before it reports ready without them. */
const MAX_STATES_WAIT_MS = 8_000

interface Health {
  readonly ready: boolean
  readonly reason: string
}

function getHealth (host: HostState, context: RunContext): Health {
  if (host.stopping) return { ready: false, reason: 'shutting down' }
  if (!host.systems.dissemination.view.isReady()) return { ready: false, reason: 'settings not yet received' }
  if (!host.systems.zone.view.isServing(context.now)) return { ready: false, reason: 'no lease holder of the zone can be reached' }
  if (isAwaitingStates(host, context.now)) return { ready: false, reason: 'loads of endpoints not yet received' }
  return { ready: true, reason: 'serving' }
}

/** Whether this host has not been ready yet and knows too little of its zone's endpoints to place a request. */
function isAwaitingStates (host: HostState, now: MonotonicMs): boolean {
  host.firstServingAt ??= now
  const hasBeenReady = host.hasBeenReady || host.systems.zone.view.hasEndpointStates() || now - host.firstServingAt >= MAX_STATES_WAIT_MS
  host.hasBeenReady = hasBeenReady
  return !hasBeenReady
}

/** Emits the health when it has changed. */
export function emitHealth (host: HostState, context: RunContext): void {
  const health = getHealth(host, context)
  if (host.health?.ready === health.ready && host.health.reason === health.reason) return
  host.health = health
  context.emit({ kind: 'host.health', ...health })
}
