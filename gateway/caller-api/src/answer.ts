/**
 * Writes the response to one caller's request: batches writes, applies back-pressure, and ends the response exactly once.
 * The caller API creates one for each submitted request and feeds it the outputs of the host core.
 */
import type { ServerResponse } from 'node:http'
import type { AnswerFacts, RequestFailure, RequestId } from '@catkinferry/core.types'
import { computeRetryAfterSeconds, findStatus, renderErrorBody } from './errorBody.ts'

export interface AnswerLimits {
  /** The endpoint's stream is paused while more bytes than this are unsent. */
  readonly pauseAboveBytes: number
  /** The caller is disconnected if more bytes than this are unsent. */
  readonly dropAboveBytes: number
  /** The caller is disconnected if the stream stays paused for this long. */
  readonly maxPauseMs: number
}

export interface AnswerOptions {
  readonly requestId: RequestId
  readonly res: ServerResponse
  readonly limits: AnswerLimits
  /** Pauses or resumes the endpoint's stream. */
  readonly setPaused: (paused: boolean) => void
  /** `left`: the caller closed the connection. `slow`: it was disconnected because it read too slowly. */
  readonly onDisconnect: (reason: 'left' | 'slow') => void
}

export interface Answer {
  readonly begin: (facts: AnswerFacts, status: number, contentType: string | undefined) => void
  readonly addChunk: (data: string) => void
  readonly end: () => void
  readonly fail: (failure: RequestFailure) => void
  /** Writes the head and the data added since the last flush. */
  readonly flush: () => void
}

const EVENT_STREAM = 'text/event-stream'
const DEFAULT_CONTENT_TYPE = 'application/json'
const STREAM_END = 'data: [DONE]\n\n'

/** Builds the response headers that describe how the request was served. */
export function buildFactHeaders (facts: AnswerFacts): Record<string, string> {
  const all: Record<string, string | number | boolean | undefined> = {
    'x-catkinferry-request-id': facts.requestId,
    'x-catkinferry-adapter': facts.adapter,
    'x-catkinferry-version': facts.version,
    'x-catkinferry-endpoint': facts.endpoint,
    'x-catkinferry-claim-key': facts.claimKey,
    'x-catkinferry-attempts': facts.attempts,
    'x-catkinferry-queue-ms': Math.round(facts.queueMs),
    'x-catkinferry-load-stall-ms': Math.round(facts.loadStallMs),
    'x-catkinferry-replayed': facts.replayed
  }
  const present = Object.entries(all).filter(([, value]) => value !== undefined)
  return Object.fromEntries(present.map(([name, value]) => [name, encodeHeaderValue(String(value))]))
}

/** Percent-encodes values that contain anything but printable ASCII, which is not safe in headers. */
function encodeHeaderValue (value: string): string {
  return /^[\x20-\x7e]*$/.test(value) ? value : encodeURIComponent(value)
}

interface AnswerState {
  readonly opts: AnswerOptions
  head: { readonly status: number, readonly headers: Record<string, string> } | undefined
  headSent: boolean
  isStream: boolean
  pendingText: string
  ending: boolean
  done: boolean
  paused: boolean
  pauseTimer: NodeJS.Timeout | undefined
}

function finishAnswer (state: AnswerState): void {
  state.done = true
  state.pendingText = ''
  clearTimeout(state.pauseTimer)
}

function disconnectCaller (state: AnswerState, reason: 'left' | 'slow'): void {
  if (state.done) return
  finishAnswer(state)
  state.opts.res.destroy()
  state.opts.onDisconnect(reason)
}

function applyBackPressure (state: AnswerState): void {
  const { res, limits, setPaused } = state.opts
  const unsent = res.writableLength
  if (unsent > limits.dropAboveBytes) {
    disconnectCaller(state, 'slow')
    return
  }
  if (state.paused || unsent <= limits.pauseAboveBytes) return
  state.paused = true
  setPaused(true)
  state.pauseTimer = setTimeout(() => disconnectCaller(state, 'slow'), limits.maxPauseMs)
  res.once('drain', () => {
    state.paused = false
    clearTimeout(state.pauseTimer)
    if (!state.done) setPaused(false)
  })
}

function flushAnswer (state: AnswerState): void {
  const { res } = state.opts
  if (state.done) return
  const { pendingText: text } = state
  state.pendingText = ''
  if (!state.headSent && state.head !== undefined) {
    state.headSent = true
    const { status, headers } = state.head
    if (state.ending && !state.isStream) headers['content-length'] = String(Buffer.byteLength(text))
    res.writeHead(status, headers)
  }
  if (state.ending) {
    finishAnswer(state)
    res.setTimeout(state.opts.limits.maxPauseMs, () => res.destroy())
    res.end(text)
    return
  }
  if (text === '') return
  res.write(text)
  applyBackPressure(state)
}

function failBeforeHead (state: AnswerState, failure: RequestFailure): void {
  const { res, requestId } = state.opts
  const headers: Record<string, string> = { 'content-type': DEFAULT_CONTENT_TYPE, 'x-catkinferry-request-id': requestId }
  const retryAfter = computeRetryAfterSeconds(failure)
  if (retryAfter !== undefined) headers['retry-after'] = String(retryAfter)
  finishAnswer(state)
  res.writeHead(findStatus(failure), headers)
  res.end(renderErrorBody(failure, requestId))
}

/** After the head was sent, a stream ends with an error event and no end marker; any other response is aborted. */
function failAfterHead (state: AnswerState, failure: RequestFailure): void {
  const { res, requestId } = state.opts
  if (!state.isStream) {
    finishAnswer(state)
    res.destroy()
    return
  }
  state.pendingText += `event: error\ndata: ${renderErrorBody(failure, requestId)}\n\n`
  state.ending = true
  flushAnswer(state)
}

/** Creates the writer of the response to a submitted request. */
export function createAnswer (opts: AnswerOptions): Answer {
  const state: AnswerState = { opts, head: undefined, headSent: false, isStream: false, pendingText: '', ending: false, done: false, paused: false, pauseTimer: undefined }
  opts.res.once('close', () => disconnectCaller(state, 'left'))
  return {
    begin: (facts, status, contentType = DEFAULT_CONTENT_TYPE) => {
      state.isStream = contentType.startsWith(EVENT_STREAM)
      state.head = { status, headers: { 'content-type': contentType, ...buildFactHeaders(facts) } }
      if (state.isStream) state.head.headers['cache-control'] = 'no-store'
    },
    addChunk: data => { state.pendingText += state.isStream ? `data: ${data}\n\n` : data },
    end: () => {
      if (state.isStream) state.pendingText += STREAM_END
      state.ending = true
    },
    fail: failure => {
      if (state.done) return
      if (state.headSent) failAfterHead(state, failure)
      else failBeforeHead(state, failure)
    },
    flush: () => flushAnswer(state)
  }
}
