/** Dispatches attempts to endpoints by way of the I/O shell, once a grant was given, or at once for plain services. */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { Core } from './core.ts'
import { getHealth } from './core.ts'
import type { AttemptRow } from './types.ts'

export interface DispatchOptions {
  readonly sendBeforeMs: MonotonicMs
  readonly loadStallMs: DurationMs
}

/** Work under a claim may run past its caller's deadline so that its outcome can be recorded. */
function computeEndBeforeAt (core: Core, attempt: AttemptRow, now: MonotonicMs): MonotonicMs {
  const longestAt = now + core.getPolicy().maxRunMs
  return attempt.row.claim === undefined ? Math.min(longestAt, attempt.row.deadlineAt) : longestAt
}

/** Hands an attempt to the I/O shell. From here on it counts as possibly run until the shell reports that nothing was sent. */
export function dispatchAttempt (core: Core, attempt: AttemptRow, opts: DispatchOptions, context: RunContext): void {
  const { row } = attempt
  const { now } = context
  if (row.dispatches === 0) {
    row.loadStallMs = opts.loadStallMs
    row.queueMs = Math.max(0, now - row.arrivedAt - opts.loadStallMs)
  }
  const isRetry = row.dispatches > 0
  row.dispatches += 1
  attempt.state = 'running'
  core.dispatched.set(attempt.attemptId, attempt)
  attempt.dispatchedAt = now
  attempt.lastProgressAt = now
  attempt.endBeforeAt = computeEndBeforeAt(core, attempt, now)
  const { endpoint = '' } = attempt
  const { work, serviceClass, requestId } = row.request
  attempt.isProbe ||= getHealth(core.health, endpoint).breaker.recordSent(now)
  core.router.recordDispatch(endpoint, work.kind === 'adapter' ? work.prefixHash : undefined, now)
  const { progressTimeoutMs, hedgeEnabled, hedgeAfterMs } = core.getPolicy()
  core.attemptChecks.set(attempt.grantId, Math.min(attempt.endBeforeAt, now + progressTimeoutMs))
  if (hedgeEnabled && row.claim === undefined && !row.hedged) core.wakeups.set(requestId, now + hedgeAfterMs)
  core.log.add(requestId, now, 'dispatch', `sent to ${endpoint}`, { attempt: attempt.attemptId, loadStallMs: opts.loadStallMs, resumeFrom: attempt.resumeFrom })
  context.emit({
    kind: 'attempt.start',
    attemptId: attempt.attemptId,
    requestId,
    endpoint,
    url: attempt.url,
    work: row.target.version !== undefined && work.kind === 'adapter' ? { ...work, version: row.target.version } : work,
    serviceClass,
    claimKey: row.claim?.claimKey,
    freshConnection: isRetry || row.claim !== undefined,
    resumeFrom: attempt.resumeFrom,
    sendBeforeMs: opts.sendBeforeMs,
    endBeforeMs: attempt.endBeforeAt,
    progressTimeoutMs
  })
}
