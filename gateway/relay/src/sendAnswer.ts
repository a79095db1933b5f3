/** Forwards an endpoint's response to the caller: short responses once they are complete, streams and long ones chunk by chunk. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { EndpointId, MonotonicMs } from '@catkinferry/core.types'
import { RouteKind } from '@catkinferry/core.types'
import type { Attempt } from './attempt.ts'
import { MAX_HELD_ANSWER_BYTES } from './constants.ts'
import { createEventSplitter } from './eventSplitter.ts'
import type { EventSplitter } from './eventSplitter.ts'
import type { Exchange, HeldAnswer } from './exchange.ts'
import { takeEndToEnd } from './headers.ts'

const NONE: ReadonlySet<string> = new Set()
const FIRST_ERROR_STATUS = 400
const NO_CONTENT = 204
const NOT_MODIFIED = 304

/** Whether a response has a length or chunked encoding. Any other ends with its connection, so truncation cannot be detected. */
function isFramed ({ headers, statusCode }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || statusCode === NO_CONTENT || statusCode === NOT_MODIFIED
}

/** Keeps the response to the caller unframed too: a body that may be truncated must not look complete. */
function setUnframed (res: ServerResponse): void {
  res.useChunkedEncodingByDefault = false
  res.shouldKeepAlive = false
}

/** Sends a buffered response to the caller. */
export function sendHeld ({ res }: Exchange, { status, rawHeaders, body, framed }: HeldAnswer): void {
  const headers = takeEndToEnd(rawHeaders, new Set(['content-length']))
  const isBodiless = status === NO_CONTENT || status === NOT_MODIFIED
  if (!framed) setUnframed(res)
  res.writeHead(status, isBodiless || !framed ? headers : [...headers, 'Content-Length', String(body.length)])
  res.end(isBodiless ? undefined : body)
}

/** Buffers or streams a response, by the kind of the route and the size of the body. */
export function sendAnswer (attempt: Attempt, answer: IncomingMessage, endpoint: EndpointId): void {
  const { route } = attempt.exchange
  const status = answer.statusCode ?? 0
  const bytes = Number(answer.headers['content-length'] ?? 0)
  const isStream = route.kind === RouteKind.STREAM && status < FIRST_ERROR_STATUS
  if (isStream || bytes > MAX_HELD_ANSWER_BYTES) sendStream(attempt, answer)
  else readAnswer(attempt, answer, endpoint)
}

function readAnswer (attempt: Attempt, answer: IncomingMessage, endpoint: EndpointId): void {
  const { exchange, settle, request, isWhole } = attempt
  const status = answer.statusCode ?? 0
  const parts: Buffer[] = []
  let bytes = 0
  const collect = (chunk: Buffer): void => {
    parts.push(chunk)
    bytes += chunk.length
    if (bytes <= MAX_HELD_ANSWER_BYTES) return
    answer.off('data', collect).off('end', finish)
    sendStream(attempt, answer, Buffer.concat(parts))
  }
  const finish = (): void => {
    if (!isWhole()) return
    const held: HeldAnswer = { status, rawHeaders: answer.rawHeaders, body: Buffer.concat(parts), framed: isFramed(answer), endpoint }
    if (status >= FIRST_ERROR_STATUS) {
      settle({ kind: 'failed', answer: held })
      return
    }
    if (exchange.ended !== undefined) return
    sendHeld(exchange, held)
    exchange.headSent = true
    settle({ kind: 'delivered', status, bytes })
  }
  answer.on('data', collect)
  answer.on('end', finish)
  answer.on('close', () => {
    settle({ kind: 'lost', reason: 'response truncated' })
    if (!isWhole()) request.destroy()
  })
}

function sendHead (exchange: Exchange, answer: IncomingMessage): void {
  exchange.headSent = true
  if (!isFramed(answer)) setUnframed(exchange.res)
  exchange.res.writeHead(answer.statusCode ?? 0, takeEndToEnd(answer.rawHeaders, NONE))
}

interface StreamState {
  readonly attempt: Attempt
  readonly answer: IncomingMessage
  /** Undefined if the stream cannot be resumed at another endpoint. */
  readonly splitter: EventSplitter | undefined
  bytes: number
}

function notePause (exchange: Exchange, now: MonotonicMs): void {
  const { partAt, longestPauseMs = 0 } = exchange
  if (partAt !== undefined) exchange.longestPauseMs = Math.max(longestPauseMs, now - partAt)
  exchange.partAt = now
}

function writePart (state: StreamState, part: Buffer): void {
  const { attempt, answer, splitter } = state
  const { exchange } = attempt
  const { res } = exchange
  if (part.length === 0 || exchange.ended !== undefined) return
  notePause(exchange, attempt.getNow())
  if (!exchange.headSent) sendHead(exchange, answer)
  state.bytes += part.length
  if (splitter !== undefined) exchange.lastEventId = splitter.getLastEventId()
  if (!res.write(part)) waitForCaller(state, res)
}

/** Pauses the response until the caller has read what was written. */
function waitForCaller ({ attempt: { target: { link } }, answer }: StreamState, res: ServerResponse): void {
  if (answer.isPaused()) return
  answer.pause()
  link.paused += 1
  const release = (): void => {
    res.off('drain', resume)
    answer.off('close', release)
    link.paused -= 1
  }
  const resume = (): void => {
    release()
    answer.resume()
  }
  res.once('drain', resume)
  answer.once('close', release)
}

function sendStream (attempt: Attempt, answer: IncomingMessage, begun: Buffer = Buffer.alloc(0)): void {
  const { exchange, settle, request, isWhole } = attempt
  const splitter = exchange.route.resumable ? createEventSplitter(exchange.lastEventId) : undefined
  const state: StreamState = { attempt, answer, splitter, bytes: 0 }
  writePart(state, begun)
  answer.on('data', (chunk: Buffer) => writePart(state, splitter === undefined ? chunk : splitter.add(chunk)))
  answer.on('end', () => {
    if (!isWhole() || exchange.ended !== undefined) return
    if (splitter !== undefined) writePart(state, splitter.takeRest())
    if (!exchange.headSent) sendHead(exchange, answer)
    exchange.res.end()
    settle({ kind: 'delivered', status: answer.statusCode ?? 0, bytes: state.bytes })
  })
  answer.on('close', () => {
    settle({ kind: 'lost', reason: 'stream truncated' })
    if (!isWhole()) request.destroy()
  })
}
