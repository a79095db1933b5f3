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
/** Without a request that this host can serve for this long, callers have gone elsewhere or would be refused. */
const QUIET_MS = 500
/** Time for the first request on a connection that was accepted last. */
const FIRST_REQUEST_MS = 200
const DRAIN_CHECK_MS = 50
/** Longest time for the listener to close under a flood of connections, and what is kept for it in a short grace time. */
const MAX_CLOSE_MS = 1_000
const MIN_CLOSE_MS = 200
/** The listener begins to close so long before the abort: what it needs at most, and checks that come late. */
const LAST_ACCEPT_MARGIN_MS = MAX_CLOSE_MS + FIRST_REQUEST_MS + 2 * DRAIN_CHECK_MS

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
  const balancerUntil = Math.min(endsAt - FIRST_REQUEST_MS - MIN_CLOSE_MS, startedAt + BALANCER_DELAY_MS)
  relay.drain({ balancerUntil, endsAt })

  const getLeftMs = (): DurationMs => Math.max(0, endsAt - clock.getMonotonicMs())
  async function wait (maxMs: DurationMs): Promise<void> {
    const waitMs = Math.min(maxMs, getLeftMs())
    if (waitMs > 0) await sleep(waitMs)
  }
  async function closeIdle (): Promise<void> {
    await Promise.all([callers.closeIdle(), peers?.closeIdle()])
    await wait(DRAIN_CHECK_MS)
  }

  while (clock.getMonotonicMs() < balancerUntil) await wait(DRAIN_CHECK_MS)
  // Until here each connection gets `Connection: close` with its next response; from here on its caller may be refused.
  await closeIdle()
  while (getLeftMs() > LAST_ACCEPT_MARGIN_MS && clock.getMonotonicMs() < relay.getLastTakenAt() + QUIET_MS) await closeIdle()
  await callers.stopAccepting(Math.max(DRAIN_CHECK_MS, Math.min(MAX_CLOSE_MS, getLeftMs() - FIRST_REQUEST_MS)))
  await wait(FIRST_REQUEST_MS)
  while (relay.getActiveCount() > 0 && getLeftMs() > 0) await closeIdle()
  await closeIdle()
}
