/**
 * Decides which requests a stopping host still passes on: those that can be expected to end before it does. The relay asks when a
 * request arrives, while it waits, and when it is about to be sent to its first endpoint; others are refused as not run.
 */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import { RETRY_AFTER_MS } from './constants.ts'
import { EndReason, isRetryable } from './exchange.ts'
import type { Exchange } from './exchange.ts'
import { finishExchange } from './finishExchange.ts'
import type { RelayState } from './relayState.ts'

export const STOPPING: Failure = { code: ErrorCode.NOT_SERVING, message: 'this host stops before the request may have ended', step: 'stop', ran: 'no', retryAfterMs: RETRY_AFTER_MS }

/** Whether the request ends before its host does. One that may not be repeated must hardly ever exceed the time that is left. */
export function mayEndInTime ({ opts, drainTimes, runEstimates }: RelayState, exchange: Exchange): boolean {
  if (drainTimes === undefined) return true
  const { route, arrivedAt, deadlineAt } = exchange
  const { balancerUntil, endsAt } = drainTimes
  if (deadlineAt <= endsAt) return true
  if (arrivedAt >= balancerUntil) return false
  const expectedMs = isRetryable(exchange) ? runEstimates.getMean(route.name) : runEstimates.getSafe(route.name)
  return opts.clock.getMonotonicMs() + expectedMs <= endsAt
}

/** Whether the request is to be refused now: no endpoint has it, and too little time is left. */
export function isTooLate (state: RelayState, exchange: Exchange): boolean {
  return !exchange.offered && !exchange.headSent && !mayEndInTime(state, exchange)
}

/** Refuses the requests that wait, for their body, an endpoint or an adapter, and can no longer end in time. */
export function refuseLate (state: RelayState): void {
  for (const exchange of state.exchanges) if (isTooLate(state, exchange)) finishExchange(state, exchange, EndReason.STOPPED)
}
