/** Emits the end of an answer or a failure to the caller, and removes finished requests. Called by the steps that end a request. */
import type { ErrorCode, Ran } from '@catkinferry/core.errors'
import type { AnswerFacts, RequestFailure } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { Core } from './core.ts'
import { getQueue } from './core.ts'
import type { RequestRow } from './types.ts'

/** Collects the facts about the answer that are sent to the caller. */
export function collectFacts (row: RequestRow, extra: Partial<AnswerFacts> = {}): AnswerFacts {
  const winner = row.attempts.find(attempt => attempt.attemptId === row.winner)
  return {
    requestId: row.request.requestId,
    adapter: row.target.adapter,
    version: row.target.version,
    endpoint: winner?.endpoint,
    claimKey: row.claim?.claimKey,
    attempts: row.dispatches,
    queueMs: row.queueMs,
    loadStallMs: row.loadStallMs,
    ...extra
  }
}

/** Removes a request from its queue and timers, and releases its concurrency slot in admission. */
function detachCaller (core: Core, row: RequestRow): void {
  const { requestId, caller } = row.request
  getQueue(core, row.target.pool).remove(requestId)
  core.deadlines.clear(requestId)
  core.wakeups.clear(requestId)
  if (!row.detached) core.admission.release(caller)
  row.detached = true
}

/** Closes a request and removes its row. */
export function closeRow (core: Core, row: RequestRow): void {
  detachCaller(core, row)
  row.closed = true
  core.requests.delete(row.request.requestId)
}

export interface FailureOptions {
  readonly code: ErrorCode
  readonly message: string
  readonly step: string
  readonly ran: Ran
  readonly peer?: string
  readonly hint?: string
  readonly retryAfterMs?: number
}

/** Sends the caller its final failure. The row stays, since the outcome of dispatched work may still have to be recorded. */
export function failCaller (core: Core, row: RequestRow, failure: FailureOptions, context: RunContext): void {
  if (row.detached) return
  const { requestId } = row.request
  core.log.add(requestId, context.now, failure.step, failure.message, { code: failure.code, ran: failure.ran, peer: failure.peer })
  context.emit({ kind: 'caller.fail', requestId, failure: failure satisfies RequestFailure })
  context.emit({ kind: 'metric', type: 'count', name: 'requests.failed', value: 1, tags: { code: failure.code, ran: failure.ran } })
  detachCaller(core, row)
}

/** Ends the answer to the caller after the whole of it was delivered. */
export function endCaller (core: Core, row: RequestRow, facts: AnswerFacts, context: RunContext): void {
  if (row.detached) return
  const { requestId } = row.request
  context.emit({ kind: 'caller.end', requestId, facts })
  context.emit({ kind: 'metric', type: 'timing', name: 'requests.totalMs', value: context.now - row.arrivedAt, tags: { class: row.request.serviceClass } })
  core.log.add(requestId, context.now, 'answer', 'complete', { endpoint: facts.endpoint, attempts: facts.attempts, replayed: facts.replayed })
  detachCaller(core, row)
}

/** Refuses a request before a row was created for it. */
export function refuseArrival (core: Core, requestId: string, failure: FailureOptions, context: RunContext): void {
  core.log.add(requestId, context.now, failure.step, failure.message, { code: failure.code, ran: failure.ran })
  context.emit({ kind: 'caller.fail', requestId, failure })
  context.emit({ kind: 'metric', type: 'count', name: 'requests.refused', value: 1, tags: { code: failure.code } })
}
