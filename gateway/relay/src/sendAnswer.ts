/**
 * Forwards an endpoint's response to the caller: short responses once they are complete, streams and long ones chunk by
 * chunk. Called by `attempt.ts` for each response that it accepts as one to the request.
 */
import type { ClientRequest, IncomingMessage, ServerResponse } from 'node:http'
import { createGrowingBuffer } from '@catkinferry/core.memory-budget'
import type { EndpointId, MonotonicMs } from '@catkinferry/core.types'
import { RouteKind } from '@catkinferry/core.types'
import type { Attempt, AttemptEnd } from './attempt.ts'
import { MAX_BUFFERED_RESPONSE_BYTES, MAX_DISCARDED_BYTES, MAX_EVENT_BYTES } from './constants.ts'
import { createEventSplitter } from './eventSplitter.ts'
import type { EventSplitter } from './eventSplitter.ts'
import { HostEndReason } from './exchange.ts'
import type { BufferedResponse, Exchange } from './exchange.ts'
import { OUTCOME_HEADER } from './forwardedRequest.ts'
import type { PeerOutcome } from './forwardedRequest.ts'
import { selectEndToEnd } from './headers.ts'
import { isFramedResponse, watchEnd } from './responseEnd.ts'
import { findResponseRole, isEventStream, readResponseHead, ResponseRole } from './responseRole.ts'
import type { ResponseHead } from './responseRole.ts'

const NO_HEADERS: ReadonlySet<string> = new Set()
const PEER_HEADERS: ReadonlySet<string> = new Set(['content-length', OUTCOME_HEADER])
const CONTENT_LENGTH: ReadonlySet<string> = new Set(['content-length'])
const FIRST_ERROR_STATUS = 400
const NO_CONTENT = 204
const NOT_MODIFIED = 304
const UNAVAILABLE = 503
const HTTP_1_0 = '1.0'

/** Ends a response that has begun so that it does not look complete: one that ends with its connection must be reset. */
export function abortResponse ({ res, isUnframed }: Exchange): void {
  if (isUnframed && res.socket !== null) res.socket.resetAndDestroy()
  else res.destroy()
}

/** Reads the rest of a response that is not forwarded, so that its connection can be used again, unless there is too much of it. */
export function discardResponse (request: ClientRequest, response: IncomingMessage): void {
  let bytes = 0
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > MAX_DISCARDED_BYTES) request.destroy()
  })
}

/** Sends a buffered response to the caller. `Retry-After` of an endpoint's 503 is meant for this host, not for the caller. */
export function sendBufferedResponse ({ res, queue }: Exchange, { status, rawHeaders, body }: BufferedResponse): void {
  const headers = selectEndToEnd(rawHeaders, new Set(status === UNAVAILABLE ? ['content-length', 'retry-after'] : ['content-length']))
  const isBodiless = status === NO_CONTENT || status === NOT_MODIFIED
  res.writeHead(status, isBodiless ? headers : [...headers, 'Content-Length', String(body.length)])
  res.end(isBodiless ? undefined : body)
  queue.record()
}

/** Buffers the response that a peer gave itself. */
export function bufferPeerAnswer (attempt: Attempt, response: IncomingMessage, outcome: PeerOutcome): void {
  const { settle, request, isComplete, memory } = attempt
  const content = createGrowingBuffer(MAX_DISCARDED_BYTES)
  response.on('data', (chunk: Buffer) => {
    if (!memory.resize(content.findCapacity(chunk.length))) return
    content.add(chunk)
    if (content.getBytes().length > MAX_DISCARDED_BYTES) request.destroy()
  })
  response.on('end', () => {
    const isWhole = isComplete() && isFramedResponse(attempt, response)
    if (isWhole) settle({ kind: 'peerAnswered', outcome, response: { status: response.statusCode ?? 0, rawHeaders: response.rawHeaders, body: content.getBytes(), endpoint: '' } })
  })
  response.on('close', () => settle({ kind: 'lost', reason: 'response of the peer truncated', isBroken: true }))
}

/** Sends the refusal of a peer to the caller, with its `Retry-After`. */
export function sendPeerRefusal ({ res, queue }: Exchange, { status, rawHeaders, body }: BufferedResponse): void {
  res.writeHead(status, [...selectEndToEnd(rawHeaders, PEER_HEADERS), 'Content-Length', String(body.length)])
  res.end(body)
  queue.record()
}

type ResponseHandler = (attempt: Attempt, response: IncomingMessage, endpoint: EndpointId) => void

/** Buffers or streams a response, by the kind of the route and the size of the body. */
function forwardAnswer (attempt: Attempt, response: IncomingMessage, endpoint: EndpointId): void {
  const { route } = attempt.exchange
  const status = response.statusCode ?? 0
  const bytes = Number(response.headers['content-length'] ?? 0)
  const isStream = route.kind === RouteKind.STREAM && status < FIRST_ERROR_STATUS
  if (isStream || bytes > MAX_BUFFERED_RESPONSE_BYTES) streamResponse(attempt, response)
  else bufferResponse(attempt, response, endpoint)
}

/** Ends an attempt whose response may not follow what the caller has. */
function rejectResponse ({ settle, request }: Attempt, response: IncomingMessage, endpoint: EndpointId): void {
  const { status, mediaType = 'no stated type' } = readResponseHead(response)
  if (status >= FIRST_ERROR_STATUS) {
    discardResponse(request, response)
    settle({ kind: 'failed', response: { status, rawHeaders: response.rawHeaders, body: Buffer.alloc(0), endpoint } })
    return
  }
  settle({ kind: 'lost', reason: `response with status ${status} and ${mediaType} in the middle of a stream`, hostReason: HostEndReason.WRONG_RESPONSE })
  request.destroy()
}

const RESPONSE_HANDLERS: Readonly<Record<ResponseRole, ResponseHandler>> = {
  [ResponseRole.ANSWER]: forwardAnswer,
  [ResponseRole.CONTINUATION]: (attempt, response) => streamResponse(attempt, response),
  [ResponseRole.FAILURE]: rejectResponse
}

/** Forwards a response as far as the caller, who may have the beginning of an earlier one, can get it. */
export const forwardResponse: ResponseHandler = (attempt, response, endpoint) => {
  RESPONSE_HANDLERS[findResponseRole(attempt.exchange, readResponseHead(response))](attempt, response, endpoint)
}

function bufferResponse (attempt: Attempt, response: IncomingMessage, endpoint: EndpointId): void {
  const { exchange, settle, memory } = attempt
  const status = response.statusCode ?? 0
  const content = createGrowingBuffer(MAX_BUFFERED_RESPONSE_BYTES)
  const collect = (chunk: Buffer): void => {
    if (!memory.resize(content.findCapacity(chunk.length))) return
    content.add(chunk)
    if (content.getBytes().length <= MAX_BUFFERED_RESPONSE_BYTES) return
    response.off('data', collect)
    watch.stop()
    streamResponse(attempt, response, content.getBytes())
  }
  const finish = (): void => {
    const body = content.getBytes()
    const buffered: BufferedResponse = { status, rawHeaders: response.rawHeaders, body, endpoint }
    if (status >= FIRST_ERROR_STATUS) {
      settle({ kind: 'failed', response: buffered })
      return
    }
    attempt.select()
    sendBufferedResponse(exchange, buffered)
    exchange.headSent = true
    settle({ kind: 'delivered', status, bytes: body.length })
  }
  response.on('data', collect)
  const watch = watchEnd(attempt, response, { onComplete: finish, truncated: 'response truncated' })
}

/** Whether the response to the caller can only end with its connection: HTTP/1.0 has no chunks. */
function isUnframedForCaller ({ req, route }: Exchange, response: IncomingMessage): boolean {
  const hasLength = response.headers['content-length'] !== undefined && !route.resumable
  return req.httpVersion === HTTP_1_0 && !hasLength
}

function sendHead ({ attempt: { exchange }, response, head }: StreamState): void {
  const { route } = exchange
  exchange.headSent = true
  exchange.resumableHead = route.resumable && isEventStream(route, head) ? head : undefined
  exchange.isUnframed = isUnframedForCaller(exchange, response)
  // A stream that another endpoint continues has another length.
  exchange.res.writeHead(response.statusCode ?? 0, selectEndToEnd(response.rawHeaders, route.resumable ? CONTENT_LENGTH : NO_HEADERS))
}

type LostEnd = Extract<AttemptEnd, { kind: 'lost' }>

interface StreamState {
  readonly attempt: Attempt
  readonly response: IncomingMessage
  readonly head: ResponseHead
  readonly isContinuation: boolean
  /** Undefined if the response is not a stream of events. */
  readonly splitter: EventSplitter | undefined
  bytes: number
}

function recordPause (exchange: Exchange, now: MonotonicMs): void {
  const { lastChunkAt, longestPauseMs = 0 } = exchange
  if (lastChunkAt !== undefined) exchange.longestPauseMs = Math.max(longestPauseMs, now - lastChunkAt)
  exchange.lastChunkAt = now
}

function loseStream ({ attempt: { settle, request } }: StreamState, end: Pick<LostEnd, 'reason' | 'hostReason'>): void {
  settle({ kind: 'lost', ...end })
  request.destroy()
}

function writeChunk (state: StreamState, chunk: Buffer): void {
  const { attempt, splitter } = state
  const { exchange } = attempt
  const { res } = exchange
  if (chunk.length === 0 || exchange.ended !== undefined) return
  attempt.select()
  recordPause(exchange, attempt.getNow())
  if (splitter !== undefined) attempt.onEvent()
  if (!exchange.headSent) sendHead(state)
  if (splitter?.hasOtherText() === true) exchange.resumableHead = undefined
  state.bytes += chunk.length
  if (splitter !== undefined) exchange.lastEventId = splitter.getLastEventId()
  if (res.write(chunk)) return
  exchange.queue.record()
  waitForCaller(state, res)
}

/** Pauses the response until the caller has read what was written. */
function waitForCaller ({ attempt: { target: { link } }, response }: StreamState, res: ServerResponse): void {
  if (response.isPaused()) return
  response.pause()
  link.pausedStreams += 1
  const release = (): void => {
    res.off('drain', resume)
    response.off('close', release)
    link.pausedStreams -= 1
  }
  const resume = (): void => {
    release()
    response.resume()
  }
  res.once('drain', resume)
  response.once('close', release)
}

/** How a stream that has ended was broken off; undefined if what came of it may be complete. */
function findBreak ({ attempt, splitter, response, isContinuation }: StreamState): LostEnd | undefined {
  if (splitter === undefined) return undefined
  const isBroken = !isFramedResponse(attempt, response)
  if (splitter.isInsideEvent()) return { kind: 'lost', reason: 'the stream ended inside an event', isBroken }
  if (isBroken && !splitter.hasEvents()) return { kind: 'lost', reason: 'the stream ended before its first event', isBroken }
  if (!isContinuation) return undefined
  if (splitter.isBehind()) return { kind: 'lost', reason: 'the stream that was begun anew ended before what the caller has' }
  // An endpoint that has nothing left to send must have been told what the caller has.
  return splitter.hasEvents() || attempt.exchange.lastEventId !== undefined ? undefined : { kind: 'lost', reason: 'the stream that the caller has begins anew without events' }
}

function receiveChunk (state: StreamState, chunk: Buffer): void {
  const { attempt: { isSettled, memory }, splitter, isContinuation } = state
  if (isSettled() || (splitter !== undefined && !memory.resize(splitter.getHeldBytes() + chunk.length))) return
  const bytes = splitter === undefined ? chunk : splitter.add(chunk)
  if (isContinuation && splitter?.hasOtherText() === true) {
    loseStream(state, { reason: 'a response of no stated type in the middle of a stream has no events', hostReason: HostEndReason.WRONG_RESPONSE })
    return
  }
  writeChunk(state, bytes)
  if (splitter !== undefined && !memory.resize(splitter.getHeldBytes())) return
  if ((splitter?.getOpenBytes() ?? 0) <= MAX_EVENT_BYTES) return
  loseStream(state, { reason: 'an event exceeds the size limit', hostReason: HostEndReason.EVENT_SIZE })
}

function streamResponse (attempt: Attempt, response: IncomingMessage, firstBytes: Buffer = Buffer.alloc(0)): void {
  const { exchange, settle, memory } = attempt
  const { route, delivered, lastEventId, resumableHead } = exchange
  const head = readResponseHead(response)
  const splitter = isEventStream(route, head) ? createEventSplitter(route.resumable ? delivered : undefined, lastEventId, head.mediaType !== undefined) : undefined
  const state: StreamState = { attempt, response, head, isContinuation: resumableHead !== undefined, splitter, bytes: 0 }
  writeChunk(state, firstBytes)
  memory.resize(splitter?.getHeldBytes() ?? 0)
  response.on('data', (chunk: Buffer) => receiveChunk(state, chunk))
  const finish = (): void => {
    attempt.select()
    if (splitter !== undefined) writeChunk(state, splitter.takeRest())
    if (!exchange.headSent) sendHead(state)
    exchange.res.end()
    settle({ kind: 'delivered', status: response.statusCode ?? 0, bytes: state.bytes })
  }
  watchEnd(attempt, response, { findBreak: () => findBreak(state), onComplete: finish, truncated: 'stream truncated' })
}
