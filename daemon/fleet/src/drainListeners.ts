/** Ends the service of an entry host that is asked to stop: callers that have another host go there, the others are served as long as there is time. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '@catkinferry/core.clock'
import type { DurationMs } from '@catkinferry/core.types'
import type { Relay } from '@catkinferry/gateway.relay'
import type { CallerServer } from './callerServer.ts'

/** Time for the load balancer to notice that the host is not ready and to send new connections elsewhere. */
const BALANCER_DELAY_MS = 2_600
/** Requests that still run this long before the end of the grace time are aborted. */
const ABORT_MARGIN_MS = 400
/** No connection is accepted so shortly before that: hardly a request on it would end in time. */
const LAST_ACCEPT_MARGIN_MS = 1_000
/** Without a request that this host can serve for this long, callers have gone elsewhere or would be refused. */
const QUIET_MS = 500
/** Time for the first request on a connection that was accepted last. */
const FIRST_REQUEST_MS = 200
const DRAIN_CHECK_MS = 50

export interface DrainOptions {
  readonly callers: CallerServer
  readonly peers?: CallerServer
  readonly relay: Pick<Relay, 'drain' | 'getActiveCount' | 'getLastTakenAt'>
  readonly clock: Clock
  readonly graceMs: DurationMs
}

/** Resolves when no request runs any more, or when the rest must be aborted. */
export async function drainListeners ({ callers, peers, relay, clock, graceMs }: DrainOptions): Promise<void> {
  const startedAt = clock.getMonotonicMs()
  const endsAt = startedAt + graceMs - ABORT_MARGIN_MS
  const balancerUntil = Math.min(endsAt, startedAt + BALANCER_DELAY_MS)
  relay.drain({ balancerUntil, endsAt })

  async function closeIdle (): Promise<void> {
    await Promise.all([callers.closeIdle(), peers?.closeIdle()])
    await sleep(DRAIN_CHECK_MS)
  }

  while (clock.getMonotonicMs() < balancerUntil) await sleep(DRAIN_CHECK_MS)
  // Until here each connection gets `Connection: close` with its next response; from here on its caller may be refused.
  await closeIdle()
  while (clock.getMonotonicMs() < Math.min(endsAt - LAST_ACCEPT_MARGIN_MS, relay.getLastTakenAt() + QUIET_MS)) await closeIdle()
  await callers.stopAccepting(LAST_ACCEPT_MARGIN_MS)
  await sleep(FIRST_REQUEST_MS)
  while (relay.getActiveCount() > 0 && clock.getMonotonicMs() < endsAt) await closeIdle()
  await closeIdle()
}
