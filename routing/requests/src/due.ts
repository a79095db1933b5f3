/**
 * Handles the due timers of the requests system on each of its runs: deadlines, checks of attempts, retries, hedges, and
 * polls of held claims.
 */
import type { MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { avoidEndpoint, cancelDispatch, countLiveAttempts, releaseRetained } from './attemptRows.ts'
import { continueAfterFailure } from './attemptEvents.ts'
import { takeClaim } from './claims.ts'
import type { Core } from './core.ts'
import { getHealth } from './core.ts'
import { failDeadline } from './failing.ts'
import { checkGrantRequest } from './grants.ts'
import { chooseRoute, placeAtEndpoint, queueRequest } from './placing.ts'
import type { AttemptRow, RequestRow } from './types.ts'

/** Interval between checks of a pending grant request for a changed owner or a timeout. */
const GRANT_CHECK_INTERVAL_MS = 500
/** The I/O shell ends attempts at their time limits itself; the core does so only after this additional time. */
const SHELL_GRACE_MS = 1_000
/** Time for which a request avoids an endpoint where its attempt timed out. */
const TIMED_OUT_AVOID_MS = 2_000

/** Runs all timers that are due. */
export function runDueTimers (core: Core, context: RunContext): void {
  const { now } = context
  for (const requestId of core.deadlines.takeDue(now)) {
    const row = core.requests.get(requestId)
    if (row !== undefined) failDeadline(core, row, context)
  }
  for (const grantId of core.attemptChecks.takeDue(now)) {
    const attempt = core.attempts.get(grantId)
    if (attempt !== undefined) checkAttempt(core, attempt, context)
  }
  for (const requestId of core.wakeups.takeDue(now)) {
    const row = core.requests.get(requestId)
    if (row !== undefined) wakeRequest(core, row, context)
  }
  core.admission.expire(now)
}

function checkAttempt (core: Core, attempt: AttemptRow, context: RunContext): void {
  if (attempt.state === 'asking') checkGrantRequest(core, attempt, GRANT_CHECK_INTERVAL_MS, context)
  else if (attempt.state === 'retained') releaseRetained(core, attempt, context)
  else checkRunning(core, attempt, context)
}

/** Only streams report progress before their end, so other attempts have no progress timeout. */
function getProgressDeadline (core: Core, attempt: AttemptRow): MonotonicMs {
  const { work } = attempt.row.request
  const isStream = work.kind === 'adapter' && work.stream
  return isStream ? attempt.lastProgressAt + core.getPolicy().progressTimeoutMs : Infinity
}

/** Ends an attempt that has passed its time limits without an event from the I/O shell. */
function checkRunning (core: Core, attempt: AttemptRow, context: RunContext): void {
  const { now } = context
  const endAt = Math.min(attempt.endBeforeAt, getProgressDeadline(core, attempt)) + SHELL_GRACE_MS
  if (now < endAt) {
    core.attemptChecks.set(attempt.grantId, endAt)
    return
  }
  const { row } = attempt
  if (row.ran === 'no') row.ran = 'unknown'
  core.log.add(row.request.requestId, now, 'attempt', 'timed out waiting for the endpoint', { attempt: attempt.attemptId, endpoint: attempt.endpoint })
  getHealth(core.health, attempt.endpoint ?? '').breaker.recordFailure(now, core.getPolicy().breaker)
  avoidEndpoint(row, attempt.endpoint, now + TIMED_OUT_AVOID_MS)
  cancelDispatch(core, attempt, context)
  continueAfterFailure(core, attempt, { sent: true, isNotRun: false, message: 'timed out waiting for the endpoint' }, context)
}

/** Polls a claim that another attempt holds, hedges a request that has a live attempt, or retries one that has none. */
function wakeRequest (core: Core, row: RequestRow, context: RunContext): void {
  if (row.claim?.state === 'othersOutcome') takeClaim(core, row, context)
  else if (countLiveAttempts(row) > 0) tryHedge(core, row, context)
  else queueRequest(core, row, context)
}

/** Starts a second attempt at another endpoint if the first has not begun to answer. */
function tryHedge (core: Core, row: RequestRow, context: RunContext): void {
  const isEligible = core.getPolicy().hedgeEnabled && !row.hedged && row.claim === undefined && !row.headSent && row.winner === undefined
  if (!isEligible || countLiveAttempts(row) > 1) return
  const choice = chooseRoute(core, row, context.now)
  if (choice.kind !== 'endpoint' || !core.budget.tryTake()) return
  row.hedged = true
  core.log.add(row.request.requestId, context.now, 'hedge', 'trying a second endpoint', { endpoint: choice.endpoint.endpoint })
  placeAtEndpoint(core, row, choice.endpoint, choice.cost, context)
}
