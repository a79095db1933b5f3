/** Ends requests: sends what the relay itself has to say, or passes on the last response, and logs how each request ended. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import { releaseUnits } from './accountCheck.ts'
import { QUARANTINE_RETRY_AFTER_MS, RETRY_AFTER_MS } from './constants.ts'
import { EndedBy, EndReason, selectAttempt } from './exchange.ts'
import type { Exchange } from './exchange.ts'
import { PeerOutcome } from './forwardedRequest.ts'
import type { TakenEnd } from './forwardToPeer.ts'
import { sendFailure } from './ownAnswers.ts'
import type { LogFields, RelayState } from './relayState.ts'
import { abortResponse, sendBufferedResponse, sendPeerRefusal } from './sendAnswer.ts'

const DEADLINE_EXCEEDED = 'request deadline exceeded'
const PROMPT_CRASHES = 'requests with a part of this prompt have crashed engines'
const HOST_STOPS = 'this host stops'
const REQUEST_CRASHES = 'this request has crashed endpoints'

/** Failures of requests that the relay ends: of those that no endpoint has, and of those that may have run. */
export const END_FAILURES: Readonly<Record<Exclude<EndReason, typeof EndReason.CALLER_GONE | typeof EndReason.CUT>, { readonly notRun: Failure, readonly offered: Failure }>> = {
  [EndReason.TIMEOUT]: {
    notRun: { code: ErrorCode.NO_CAPACITY, message: DEADLINE_EXCEEDED, step: 'timeout', ran: 'no', retryAfterMs: RETRY_AFTER_MS },
    offered: { code: ErrorCode.DEADLINE, message: DEADLINE_EXCEEDED, step: 'timeout', ran: 'unknown' }
  },
  [EndReason.STOPPED]: {
    notRun: { code: ErrorCode.NOT_SERVING, message: HOST_STOPS, step: 'stop', ran: 'no', retryAfterMs: RETRY_AFTER_MS },
    offered: { code: ErrorCode.ENDPOINT_FAILED, message: HOST_STOPS, step: 'stop', ran: 'unknown' }
  },
  [EndReason.PROMPT_QUARANTINED]: {
    notRun: { code: ErrorCode.PROMPT_QUARANTINED, message: PROMPT_CRASHES, step: 'quarantine', ran: 'no', retryAfterMs: QUARANTINE_RETRY_AFTER_MS },
    offered: { code: ErrorCode.ENDPOINT_FAILED, message: PROMPT_CRASHES, step: 'quarantine', ran: 'unknown' }
  },
  [EndReason.REQUEST_QUARANTINED]: {
    notRun: { code: ErrorCode.REQUEST_QUARANTINED, message: REQUEST_CRASHES, step: 'quarantine', ran: 'no', retryAfterMs: QUARANTINE_RETRY_AFTER_MS },
    offered: { code: ErrorCode.ENDPOINT_FAILED, message: REQUEST_CRASHES, step: 'quarantine', ran: 'unknown' }
  }
}

export function reportEnd ({ opts }: RelayState, fields: LogFields): void {
  const status = String(fields.status)
  opts.observer.count('answers', { status })
  if (typeof fields.tookMs === 'number') opts.observer.time('request_ms', fields.tookMs, { status: status.slice(0, 1) })
  opts.logger.info('request finished', { step: 'end', ...fields })
}

export function describeEnd ({ opts }: RelayState, { arrivedAt, route, account, tried, refusedBy, firstByteMs, longestPauseMs }: Exchange): LogFields {
  return { route: route.name, account: account?.name, firstByteMs, longestPauseMs: longestPauseMs === undefined ? undefined : Math.round(longestPauseMs), tookMs: Math.round(opts.clock.getMonotonicMs() - arrivedAt), tried: [...tried], refusedBy: refusedBy.size === 0 ? undefined : [...refusedBy] }
}

/** Why this host broke off a response that had begun: by what ended its last attempt, or by its own decision. */
export const CutCause = { ...EndedBy, DEADLINE: 'deadline', QUARANTINE: 'quarantine', STOP: 'stop', INTERNAL: 'internal' } as const
export type CutCause = typeof CutCause[keyof typeof CutCause]

/** Breaks off a response that has begun. The exchange ends first, so that the close of its connection is not taken for a caller who left. */
export function cutResponse (state: RelayState, exchange: Exchange, { cause, reason }: { readonly cause: CutCause, readonly reason: string }): void {
  exchange.ended ??= EndReason.CUT
  abortResponse(exchange)
  state.opts.observer.count('cuts', { cause })
  reportEnd(state, { requestId: exchange.facts.requestId, status: 'cut', cause, reason, ...describeEnd(state, exchange) })
}

const CUT_CAUSES: Readonly<Record<keyof typeof END_FAILURES, CutCause>> = {
  [EndReason.TIMEOUT]: CutCause.DEADLINE,
  [EndReason.STOPPED]: CutCause.STOP,
  [EndReason.PROMPT_QUARANTINED]: CutCause.QUARANTINE,
  [EndReason.REQUEST_QUARANTINED]: CutCause.QUARANTINE
}

/** What the entry host that forwarded a request is told of a failure; undefined if it came from a caller. */
function findOutcome ({ draining }: RelayState, { forwarded, hasUnreached }: Exchange, { ran }: Failure): PeerOutcome | undefined {
  if (forwarded === undefined) return undefined
  if (ran !== 'no') return PeerOutcome.LOST
  return hasUnreached || draining ? PeerOutcome.DECLINED : PeerOutcome.REFUSED
}

export function finishWithFailure (state: RelayState, exchange: Exchange, failure: Failure): void {
  if (failure.ran === 'no') releaseUnits(state.opts.accounts, exchange)
  const status = sendFailure(exchange.res, failure, findOutcome(state, exchange, failure))
  reportEnd(state, { requestId: exchange.facts.requestId, status, reason: failure.message, ran: failure.ran, retryAfterMs: failure.retryAfterMs, ...describeEnd(state, exchange) })
}

/** Answers an exchange for which no further attempt is made. */
export function finishWithoutRetry (state: RelayState, exchange: Exchange, reason: string, retryAfterMs = RETRY_AFTER_MS): void {
  const { errorResponse, tried, headSent } = exchange
  if (headSent) {
    cutResponse(state, exchange, { cause: exchange.lostBy ?? CutCause.HOST, reason })
  } else if (errorResponse !== undefined) {
    sendBufferedResponse(exchange, errorResponse)
    reportEnd(state, { requestId: exchange.facts.requestId, status: errorResponse.status, reason, ...describeEnd(state, exchange) })
  } else if (tried.size > 0) {
    finishWithFailure(state, exchange, { code: ErrorCode.ENDPOINT_FAILED, message: reason, step: 'attempt', ran: 'unknown' })
  } else {
    finishWithFailure(state, exchange, { code: ErrorCode.NO_CAPACITY, message: reason, step: 'offer', ran: 'no', retryAfterMs })
  }
}

/** Ends an exchange at its deadline, when its caller disconnects, when a trait of it is quarantined, or when the host stops. */
export function finishExchange (state: RelayState, exchange: Exchange, reason: Exclude<EndReason, typeof EndReason.CUT>): void {
  if (exchange.ended !== undefined || exchange.res.writableEnded) return
  exchange.ended = reason
  const { offered } = exchange
  exchange.interrupt?.()
  for (const attempt of [...exchange.live]) attempt.interrupt()
  if (reason === EndReason.CALLER_GONE) {
    if (!offered) releaseUnits(state.opts.accounts, exchange)
    reportEnd(state, { requestId: exchange.facts.requestId, status: 'gone', offered, ...describeEnd(state, exchange) })
    return
  }
  const failure = END_FAILURES[reason][offered ? 'offered' : 'notRun']
  // A stopping host may have begun to close the connection already.
  if (exchange.headSent || exchange.res.socket?.writableEnded === true) cutResponse(state, exchange, { cause: CUT_CAUSES[reason], reason: failure.message })
  else finishWithFailure(state, exchange, failure)
}

/** Ends a request with a quarantined trait, but for the attempt whose response shows that it does not crash its endpoint. */
export function finishQuarantined (state: RelayState, exchange: Exchange, reason: Parameters<typeof finishExchange>[2]): void {
  const sound = [...exchange.live].find(({ isSound }) => isSound)
  if (sound === undefined) {
    finishExchange(state, exchange, reason)
    return
  }
  if (exchange.isQuarantined) return
  exchange.isQuarantined = true
  state.opts.logger.info('a quarantined request goes on: its response is sound', { step: 'quarantine', requestId: exchange.facts.requestId, peer: sound.target.endpoint })
  selectAttempt(exchange, sound)
}

/** Answers the caller of a request that a peer has taken. */
export function finishForwarded (state: RelayState, exchange: Exchange, end: TakenEnd): void {
  const { requestId } = exchange.facts
  if (end.kind !== 'delivered') exchange.lostBy = EndedBy.PEER
  if (end.kind === 'delivered') reportEnd(state, { requestId, status: end.status, bytes: end.bytes, ...describeEnd(state, exchange) })
  else if (end.kind === 'peerAnswered' && !exchange.headSent && (end.outcome !== PeerOutcome.REFUSED || exchange.tried.size === 0)) {
    // A refusal says that the request has not run, which an earlier attempt here may contradict.
    if (end.outcome === PeerOutcome.REFUSED) releaseUnits(state.opts.accounts, exchange)
    sendPeerRefusal(exchange, end.response)
    reportEnd(state, { requestId, status: end.response.status, reason: 'the peer answered', outcome: end.outcome, ...describeEnd(state, exchange) })
  } else {
    if (end.kind === 'failed') exchange.errorResponse = end.response
    finishWithoutRetry(state, exchange, end.kind === 'lost' ? end.reason : 'the peer answered without success')
  }
}
