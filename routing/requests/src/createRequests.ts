/**
 * Creates the requests system of a host at startup. It handles callers' requests from arrival to answer; the host core
 * passes it events, messages and due timers, which it routes to the steps that handle them.
 */
import type { MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { receiveAttemptEvent } from './attemptEvents.ts'
import { cancelGrantRequest } from './attemptRows.ts'
import { refuseForShutdown } from './claims.ts'
import type { Core } from './core.ts'
import { createCore } from './core.ts'
import { runDueTimers } from './due.ts'
import { receiveGrantMessage } from './grants.ts'
import { drainQueues, queueRequest } from './placing.ts'
import { handleCallerGone, submitRequest } from './submit.ts'
import type { Requests, RequestsOptions } from './types.ts'

/** After a pause, cancels all pending grant requests, including those whose grants were not used yet, and queues their requests again. */
function cancelPendingGrantRequests (core: Core, context: RunContext): void {
  for (const attempt of [...core.attempts.values()]) {
    if (attempt.state !== 'asking') continue
    core.log.add(attempt.row.request.requestId, context.now, 'pause', 'cancelled the pending grant request', { endpoint: attempt.endpoint })
    cancelGrantRequest(core, attempt, context)
    queueRequest(core, attempt.row, context)
  }
}

/** Refuses undispatched requests as not run, so that the load balancer sends them to another host. */
function refuseUndispatched (core: Core, context: RunContext): void {
  core.shuttingDown = true
  for (const row of [...core.requests.values()]) {
    const isWaiting = row.ran === 'no' && row.attempts.every(attempt => attempt.state === 'asking') && row.claim?.state !== 'othersOutcome'
    if (isWaiting) refuseForShutdown(core, row, context)
  }
}

function findNextAt (core: Core): MonotonicMs | undefined {
  if (core.dirtyPools.size > 0) return 0
  let next: MonotonicMs | undefined
  for (const times of [core.deadlines, core.wakeups, core.attemptChecks, core.queueChecks, core.admission]) {
    const at = times.getNextAt()
    if (at !== undefined && (next === undefined || at < next)) next = at
  }
  return next
}

/** Creates the requests system of one host. */
export function createRequests (opts: RequestsOptions): Requests {
  const core = createCore(opts)
  return {
    receive: (from, message, context) => { receiveGrantMessage(core, from, message, context) },
    run: context => {
      runDueTimers(core, context)
      drainQueues(core, context)
    },
    getNextAt: () => findNextAt(core),
    receiveSubmit: (request, context) => { submitRequest(core, request, context) },
    receiveCallerGone: (requestId, context) => {
      const row = core.requests.get(requestId)
      if (row !== undefined) handleCallerGone(core, row, context)
    },
    receiveAttempt: (event, context) => { receiveAttemptEvent(core, event, context) },
    receiveCacheEvent: (event, context) => { core.router.receiveCacheEvent(event.endpoint, event.change, event.prefixHashes, context.now) },
    handlePause: context => { cancelPendingGrantRequests(core, context) },
    beginShutdown: context => { refuseUndispatched(core, context) },
    getActiveCount: () => core.requests.size + core.attempts.size + core.unrecorded,
    explain: requestId => core.log.explain(requestId)
  }
}
