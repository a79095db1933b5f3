/** Runs one exchange, from its body to the answer: attempts at endpoints, and peers when this host cannot serve it. */
import { startTimeLimit, TURN_INTERVAL_MS } from '@catkinferry/core.clock'
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import { formatWholeRequest } from '@catkinferry/core.types'
import { findQuarantine } from './arrival.ts'
import type { AttemptEnd } from './attempt.ts'
import { countHostEnd, HostEndOutcome, reportLost } from './attemptReport.ts'
import { MAX_NOT_RUN_ATTEMPTS, RETRY_AFTER_MS } from './constants.ts'
import { EndReason, isRetryable } from './exchange.ts'
import type { Exchange } from './exchange.ts'
import { CutCause, cutResponse, describeEnd, finishExchange, finishForwarded, finishWithFailure, finishWithoutRetry, reportEnd } from './finishExchange.ts'
import { forwardToPeer, isRefusedAfterAttempt } from './forwardToPeer.ts'
import { findNextTarget, waitForTurn } from './nextTarget.ts'
import type { RelayState } from './relayState.ts'
import { computeRequestDigest } from './requestDigest.ts'
import { runReplaceable } from './replaceAttempt.ts'
import { resolveOrigin } from './streamOrigin.ts'

const BODY_FAILURES: Readonly<Record<'tooLarge' | 'noRoom', Failure>> = {
  tooLarge: { code: ErrorCode.TOO_LARGE, message: 'request body exceeds the size limit', step: 'body', ran: 'no' },
  noRoom: { code: ErrorCode.NO_CAPACITY, message: 'request body buffer is full', step: 'body', ran: 'no', retryAfterMs: RETRY_AFTER_MS }
}

/** Reads the body, and makes attempts until the caller is answered. */
export async function runExchange (state: RelayState, exchange: Exchange): Promise<void> {
  const { res, deadlineAt } = exchange
  state.exchanges.add(exchange)
  const deadline = startTimeLimit(Math.max(0, deadlineAt - state.opts.clock.getMonotonicMs()), () => finishExchange(state, exchange, EndReason.TIMEOUT))
  const onClose = (): void => { if (!res.writableFinished) finishExchange(state, exchange, EndReason.CALLER_GONE) }
  res.on('close', onClose)
  try {
    const read = await state.bodies.read(exchange, state.opts.directory.getRoutes()?.table.limits.maxBodyBytes ?? 0)
    if (exchange.ended !== undefined || read.kind === 'ended') return
    if (read.kind !== 'read') {
      finishWithFailure(state, exchange, BODY_FAILURES[read.kind])
      return
    }
    exchange.body = read.body
    exchange.digest = computeRequestDigest(exchange)
    exchange.traits = [...exchange.facts.promptParts, formatWholeRequest(exchange.digest)]
    const quarantine = findQuarantine(state, exchange.traits)
    if (quarantine !== undefined) {
      finishExchange(state, exchange, quarantine)
      return
    }
    if (exchange.forwarded === undefined) state.allowance.recordRequest(exchange.pool.name)
    if (exchange.isUnchecked || await resolveOrigin(state, exchange)) await attemptUntilAnswered(state, exchange)
  } catch (error) {
    if (exchange.headSent && exchange.ended === undefined) cutResponse(state, exchange, { cause: CutCause.INTERNAL, reason: 'internal error in the relay' })
    exchange.ended ??= EndReason.CUT
    for (const attempt of [...exchange.live]) attempt.interrupt()
    throw error
  } finally {
    deadline.cancel()
    state.exchanges.delete(exchange)
    state.bodies.release(exchange)
    for (const memory of exchange.errorMemory.keys()) memory.release()
    exchange.delivered.release()
  }
}

/** Whether probes are about to tell if this host reaches endpoints, one of which may go on with a request that has begun. */
function isPathUndecided ({ paths }: RelayState, exchange: Exchange): boolean {
  return exchange.tried.size > 0 && isRetryable(exchange) && paths.isCutOff() && !paths.isCutOffConfirmed()
}

async function attemptUntilAnswered (state: RelayState, exchange: Exchange): Promise<void> {
  for (;;) {
    const found = await findNextTarget(state, exchange, () => exchange.ended === undefined)
    if (found === undefined) return
    if (found.kind === 'none' && isPathUndecided(state, exchange)) {
      await waitForTurn(exchange, TURN_INTERVAL_MS)
      continue
    }
    if (found.kind === 'none') {
      finishWithoutRetry(state, exchange, found.reason, found.retryAfterMs)
      return
    }
    if (found.kind === 'elsewhere') {
      const end = await forwardToPeer({ relay: state.opts, peers: state.peers, exchange, reason: found.reason, tryTakeRetry: () => state.allowance.tryTake(exchange.pool.name) })
      if (exchange.ended !== undefined || end.kind === 'interrupted') return
      if (end.kind !== 'notTaken' && !isRefusedAfterAttempt(exchange, end)) {
        finishForwarded(state, exchange, end)
        return
      }
      exchange.mayForward = false
      continue
    }
    const end = await runReplaceable(state, exchange, found)
    if (exchange.ended !== undefined) return
    if (end.kind === 'forwarded') {
      if (!isRefusedAfterAttempt(exchange, end.end)) {
        finishForwarded(state, exchange, end.end)
        return
      }
      exchange.mayForward = false
      continue
    }
    if (!handleAttemptEnd(state, exchange, end)) return
  }
}

/** Returns whether to make another attempt. If not, answers the caller unless the attempt already has. */
function handleAttemptEnd (state: RelayState, exchange: Exchange, end: AttemptEnd): boolean {
  const { requestId } = exchange.facts
  const mayTryAnother = isRetryable(exchange) && exchange.tried.size < exchange.route.maxEndpoints
  if (end.kind === 'delivered') {
    reportEnd(state, { requestId, status: end.status, bytes: end.bytes, ...describeEnd(state, exchange) })
    return false
  }
  if (end.kind === 'interrupted' || end.kind === 'peerAnswered') return false
  if (end.kind === 'withheld') return true
  const reason = end.kind === 'failed' ? `the endpoint answered ${end.response.status}` : end.reason
  reportLost(state, exchange, { end, reason, mayTryAnother })
  const tryTakeRetry = (): boolean => state.allowance.tryTake(exchange.pool.name)
  // An attempt that failed to connect sent nothing, so it takes nothing from the retry allowance.
  if (end.kind === 'notRun' && exchange.refusedBy.size <= MAX_NOT_RUN_ATTEMPTS && (!end.isAnswered || tryTakeRetry())) return true
  if (end.kind === 'failed') exchange.errorResponse = end.response
  if (end.kind !== 'notRun' && mayTryAnother && tryTakeRetry()) {
    countHostEnd(state, end, HostEndOutcome.RETRIED)
    return true
  }
  countHostEnd(state, end, exchange.headSent ? HostEndOutcome.CUT : HostEndOutcome.ANSWERED)
  finishWithoutRetry(state, exchange, reason)
  return false
}
