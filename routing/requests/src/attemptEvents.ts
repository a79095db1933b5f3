/**
 * Handles the events that the I/O shell reports of dispatched attempts: heads, chunks, ends and failures of answers.
 * Decides on retries.
 */
import { ErrorCode } from '@catkinferry/core.errors'
import type { AnswerEcho } from '@catkinferry/core.types'
import type { AttemptEvent, RunContext } from '@catkinferry/host.events'
import { computeRetryDelay } from '@catkinferry/routing.retries'
import { closeRow, collectFacts, endCaller } from './answers.ts'
import { avoidEndpoint, cancelDispatch, cancelOthers, countLiveAttempts, retainAttempt, releaseGrant, removeAttempt } from './attemptRows.ts'
import { keepAnswerPart, recordDone, refuseForShutdown } from './claims.ts'
import type { Core } from './core.ts'
import { getHealth } from './core.ts'
import { failRequest } from './failing.ts'
import type { AttemptRow, RequestRow } from './types.ts'

/** Bound on retries after attempts that certainly did not run; they count neither as attempts nor against the retry budget. */
const MAX_NOT_RUN_RETRIES = 12

/** Time for which a request avoids an endpoint where its attempt failed. */
const FAILED_AVOID_MS = 2_000

type Started = Extract<AttemptEvent, { kind: 'attempt.started' }>
type Chunk = Extract<AttemptEvent, { kind: 'attempt.chunk' }>
type Ended = Extract<AttemptEvent, { kind: 'attempt.ended' }>
type Failed = Extract<AttemptEvent, { kind: 'attempt.failed' }>

/** Checks that an answer names this attempt, its adapter and its version. */
function isEchoTrue (attempt: AttemptRow, echo: AnswerEcho): boolean {
  const { target } = attempt.row
  return echo.attemptId === attempt.attemptId && echo.adapter === target.adapter && echo.version === target.version
}

function countDroppedAnswer (reason: string, context: RunContext): void {
  context.emit({ kind: 'metric', type: 'count', name: 'answers.dropped', value: 1, tags: { reason } })
}

/** The first attempt that answers becomes the winner and the others are cancelled. Returns whether `attempt` is the winner. */
function selectWinner (core: Core, attempt: AttemptRow, context: RunContext): boolean {
  const { row } = attempt
  if (row.winner === undefined) {
    row.winner = attempt.attemptId
    cancelOthers(core, row, attempt, context)
  }
  return row.winner === attempt.attemptId
}

function handleStarted (core: Core, attempt: AttemptRow, event: Started, context: RunContext): void {
  const { row } = attempt
  if (attempt.headAt !== undefined || !selectWinner(core, attempt, context)) return
  attempt.headAt = context.now
  row.ran = 'yes'
  const health = getHealth(core.health, attempt.endpoint ?? '')
  health.limit.recordFirstByte({ now: context.now, firstByteMs: context.now - attempt.dispatchedAt, inFlight: health.inFlight })
  if (row.claim !== undefined) {
    row.claim.status = event.status
    row.claim.contentType = event.contentType
  }
  if (row.headSent || row.detached) return
  row.headSent = true
  context.emit({ kind: 'caller.head', requestId: row.request.requestId, facts: collectFacts(row), status: event.status, contentType: event.contentType })
}

function handleChunk (core: Core, attempt: AttemptRow, event: Chunk, context: RunContext): void {
  const { row } = attempt
  if (attempt.headAt === undefined || event.index !== attempt.nextIndex) {
    failInvalidAnswer(core, attempt, event.index < attempt.nextIndex ? 'repeated' : 'gap', context)
    return
  }
  attempt.nextIndex += 1
  row.nextIndex = attempt.nextIndex
  if (row.claim !== undefined) keepAnswerPart(row.claim, event.data)
  if (!row.detached) context.emit({ kind: 'caller.chunk', requestId: row.request.requestId, data: event.data })
}

function handleEnded (core: Core, attempt: AttemptRow, event: Ended, context: RunContext): void {
  const { row } = attempt
  if (attempt.headAt === undefined || event.chunks !== attempt.nextIndex) {
    failInvalidAnswer(core, attempt, 'count', context)
    return
  }
  const { breaker } = getHealth(core.health, attempt.endpoint ?? '')
  breaker.recordSuccess(context.now, core.getPolicy().breaker)
  core.budget.recordSuccess(core.getPolicy().retryBudgetFraction)
  endCaller(core, row, collectFacts(row), context)
  releaseGrant(core, attempt, { ran: true, runMs: context.now - attempt.dispatchedAt }, context)
  removeAttempt(core, attempt)
  recordDone(core, row, context)
  closeRow(core, row)
}

function handleFailed (core: Core, attempt: AttemptRow, event: Failed, context: RunContext): void {
  const { row } = attempt
  const { now } = context
  const isRefused = event.refused !== undefined && row.claim === undefined
  const mayHaveRun = event.sent && !isRefused
  if (mayHaveRun && row.ran === 'no') row.ran = 'unknown'
  core.log.add(row.request.requestId, now, 'attempt', `failed: ${event.failure.message}`, {
    attempt: attempt.attemptId, endpoint: attempt.endpoint, code: event.failure.code, sent: event.sent, refused: event.refused
  })
  recordEndpointFailure(core, attempt, event, now)
  endFailedAttempt(core, attempt, mayHaveRun, context)
  avoidEndpoint(row, attempt.endpoint, event.refused === 'leaving' ? Number.POSITIVE_INFINITY : now + FAILED_AVOID_MS)
  continueAfterFailure(core, attempt, { sent: event.sent, isNotRun: isRefused || !event.sent, message: event.failure.message }, context)
}

/** Releases the grant at once only if the endpoint certainly does not run the attempt. */
function endFailedAttempt (core: Core, attempt: AttemptRow, mayHaveRun: boolean, context: RunContext): void {
  if (mayHaveRun) {
    retainAttempt(core, attempt, context.now)
    return
  }
  releaseGrant(core, attempt, { ran: false, runMs: 0 }, context)
  removeAttempt(core, attempt)
}

function recordEndpointFailure (core: Core, attempt: AttemptRow, event: Failed, now: number): void {
  const { breaker, limit } = getHealth(core.health, attempt.endpoint ?? '')
  if (event.refused === undefined) {
    breaker.recordFailure(now, core.getPolicy().breaker)
    return
  }
  breaker.recordCancelled(attempt.isProbe)
  if (event.refused === 'busy') limit.recordOverload(now)
}

interface AttemptEnd {
  readonly sent: boolean
  /** The endpoint certainly did not run the work, so a retry repeats none of it. */
  readonly isNotRun: boolean
  readonly message: string
}

/** Schedules a retry after a failed attempt if one is allowed; fails the request otherwise. Does nothing while another attempt is live. */
export function continueAfterFailure (core: Core, attempt: AttemptRow, end: AttemptEnd, context: RunContext): void {
  const { row } = attempt
  const { now } = context
  if (row.winner === attempt.attemptId) row.winner = undefined
  if (countLiveAttempts(row) > 0) return
  if (!end.isNotRun) row.failures += 1
  const reason = findStopReason(core, attempt, end)
  if (reason === undefined) {
    row.retries += 1
    const delayMs = computeRetryDelay({ retry: row.retries, random: core.opts.random })
    core.log.add(row.request.requestId, now, 'retry', 'retry scheduled', { delayMs, retry: row.retries })
    core.wakeups.set(row.request.requestId, now + delayMs)
    return
  }
  if (core.shuttingDown && row.ran === 'no') {
    refuseForShutdown(core, row, context)
    return
  }
  failRequest(core, row, {
    code: row.headSent ? ErrorCode.STREAM_CUT : ErrorCode.ENDPOINT_FAILED,
    message: `${end.message} (${reason})`,
    step: 'attempt',
    peer: attempt.endpoint
  }, context)
}

/** A cut stream can be resumed only if another attempt produces exactly the missing parts, which requires greedy decoding and engines that can resume (`stream.resumeEnabled`). */
function canResume (core: Core, row: RequestRow): boolean {
  const { work } = row.request
  return core.getPolicy().resumeEnabled && work.kind === 'adapter' && work.stream && work.body.temperature === 0
}

/** Returns why a failed attempt must not be retried; undefined if it may be. */
function findStopReason (core: Core, attempt: AttemptRow, end: AttemptEnd): string | undefined {
  const { row } = attempt
  if (core.shuttingDown && row.ran === 'no') return 'shutting down'
  if (row.detached) return 'the caller disconnected'
  if (row.claim !== undefined && end.sent) return 'not repeated: the work may have run'
  if (row.headSent && !canResume(core, row)) return 'the stream was cut'
  if (end.isNotRun) return row.retries >= MAX_NOT_RUN_RETRIES ? 'no attempts left' : undefined
  if (row.failures >= core.getPolicy().retryMaxAttempts) return 'no attempts left'
  return core.budget.tryTake() ? undefined : 'the retry budget is exhausted'
}

/** Drops an answer that belongs to another attempt or has missing or repeated parts, and fails the attempt. */
function failInvalidAnswer (core: Core, attempt: AttemptRow, reason: string, context: RunContext): void {
  const { row } = attempt
  countDroppedAnswer(reason, context)
  context.emit({ kind: 'log', level: 'warn', message: 'dropped an invalid answer from an endpoint', fields: { step: 'answer', peer: attempt.endpoint, requestId: row.request.requestId, reason } })
  core.log.add(row.request.requestId, context.now, 'answer', `dropped: ${reason}`, { attempt: attempt.attemptId, endpoint: attempt.endpoint })
  if (row.ran === 'no') row.ran = 'unknown'
  getHealth(core.health, attempt.endpoint ?? '').breaker.recordFailure(context.now, core.getPolicy().breaker)
  cancelDispatch(core, attempt, context)
  avoidEndpoint(row, attempt.endpoint, context.now + FAILED_AVOID_MS)
  continueAfterFailure(core, attempt, { sent: true, isNotRun: false, message: `the endpoint sent an invalid answer (${reason})` }, context)
}

type AnswerEvent = Exclude<AttemptEvent, Failed>
type Handlers = { readonly [Kind in AnswerEvent['kind']]: (core: Core, attempt: AttemptRow, event: Extract<AnswerEvent, { kind: Kind }>, context: RunContext) => void }

const HANDLERS: Handlers = {
  'attempt.started': handleStarted,
  'attempt.chunk': handleChunk,
  'attempt.ended': handleEnded
}

/** Handles one event of an attempt. Events of attempts that are no longer running are dropped. */
export function receiveAttemptEvent (core: Core, event: AttemptEvent, context: RunContext): void {
  const attempt = core.dispatched.get(event.attemptId)
  if (attempt === undefined) {
    countDroppedAnswer('late', context)
    return
  }
  attempt.lastProgressAt = context.now
  if (event.kind === 'attempt.failed') {
    handleFailed(core, attempt, event, context)
    return
  }
  if (!isEchoTrue(attempt, event.echo)) {
    failInvalidAnswer(core, attempt, 'echo', context)
    return
  }
  const handler = HANDLERS[event.kind] as (core: Core, attempt: AttemptRow, event: AnswerEvent, context: RunContext) => void
  handler(core, attempt, event, context)
}
