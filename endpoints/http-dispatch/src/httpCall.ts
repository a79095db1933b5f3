/** One HTTP call to an endpoint, with a send deadline, a progress timeout and a total time limit. Drivers start one for each attempt, order and poll. */
import { MAX_TIMER_MS } from '@catkinferry/core.clock'
import type { Clock } from '@catkinferry/core.clock'
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'
import type { Dispatcher } from 'undici'

/**
 * Why a call failed. `sent` is false only if no byte of the request was written. `tooLate`: the send deadline passed.
 * `silent`: the progress timeout. `ended`: the total time limit.
 */
export interface CallFailure {
  readonly kind: 'tooLate' | 'connection' | 'silent' | 'ended'
  readonly sent: boolean
  readonly message: string
}

export interface CallHandler {
  readonly onHead: (status: number, headers: Readonly<Record<string, string | string[] | undefined>>) => void
  readonly onData: (data: Buffer) => void
  readonly onEnd: () => void
  readonly onFail: (failure: CallFailure) => void
}

export interface HttpCallOptions {
  readonly dispatcher: Dispatcher
  readonly clock: Clock
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string
  /** The request is not sent after this time. */
  readonly sendBeforeMs: MonotonicMs
  /** The call is aborted at this time. */
  readonly endBeforeMs: MonotonicMs
  /** The call fails if no data arrives for this long; not enforced if undefined. */
  readonly progressTimeoutMs?: DurationMs
  /** Resets the connection of an aborted call, before undici would close it gracefully. */
  readonly reset?: () => void
  readonly handler: CallHandler
}

export interface HttpCall {
  /** Aborts the call; the handler is not called again. */
  readonly cancel: () => void
  /** Stops reading, so that back-pressure reaches the endpoint. */
  readonly pause: () => void
  readonly resume: () => void
  /** Whether sending has begun, so that the endpoint may have received the request. */
  readonly isSent: () => boolean
}

interface CallState {
  readonly opts: HttpCallOptions
  controller: Dispatcher.DispatchController | undefined
  sent: boolean
  done: boolean
  cancelled: boolean
  paused: boolean
  lastProgressAt: MonotonicMs
  deadlineTimer: NodeJS.Timeout | undefined
  progressTimer: NodeJS.Timeout | undefined
}

function finishCall (state: CallState): void {
  state.done = true
  clearTimeout(state.deadlineTimer)
  clearTimeout(state.progressTimer)
}

function abortCall (state: CallState, message: string): void {
  state.opts.reset?.()
  state.controller?.abort(new Error(message))
}

function failCall (state: CallState, kind: CallFailure['kind'], message: string): void {
  if (state.done) return
  finishCall(state)
  abortCall(state, message)
  const { sent } = state
  queueMicrotask(() => {
    if (!state.cancelled) state.opts.handler.onFail({ kind, sent, message })
  })
}

/** Rearms itself for the time left since the last progress, so that progress itself sets no timer. */
function watchProgress (state: CallState, timeoutMs: DurationMs): void {
  const now = state.opts.clock.getMonotonicMs()
  if (state.paused) state.lastProgressAt = now
  const leftMs = state.lastProgressAt + timeoutMs - now
  if (leftMs <= 0) {
    failCall(state, 'silent', `no progress for ${timeoutMs} ms`)
    return
  }
  state.progressTimer = setTimeout(() => watchProgress(state, timeoutMs), Math.min(Math.ceil(leftMs), MAX_TIMER_MS))
}

function watchDeadline (state: CallState): void {
  const leftMs = state.opts.endBeforeMs - state.opts.clock.getMonotonicMs()
  if (leftMs <= 0) {
    failCall(state, 'ended', 'time limit of the call exceeded')
    return
  }
  state.deadlineTimer = setTimeout(() => watchDeadline(state), Math.min(Math.ceil(leftMs), MAX_TIMER_MS))
}

function createDispatchHandler (state: CallState): Dispatcher.DispatchHandler {
  const { clock, handler, sendBeforeMs } = state.opts
  return {
    onRequestStart: controller => {
      state.controller = controller
      if (state.done) {
        abortCall(state, 'cancelled before sending')
        return
      }
      if (clock.getMonotonicMs() > sendBeforeMs) {
        failCall(state, 'tooLate', 'send deadline exceeded')
        return
      }
      state.sent = true
    },
    onResponseStart: (controller, status, headers) => {
      if (state.done) return
      state.controller = controller
      state.lastProgressAt = clock.getMonotonicMs()
      handler.onHead(status, headers)
      if (state.paused) controller.pause()
    },
    onResponseData: (_controller, data) => {
      if (state.done) return
      state.lastProgressAt = clock.getMonotonicMs()
      handler.onData(data)
    },
    onResponseEnd: () => {
      if (state.done) return
      finishCall(state)
      handler.onEnd()
    },
    onResponseError: (_controller, error) => {
      failCall(state, 'connection', error.message === '' ? error.name : error.message)
    }
  }
}

/** Starts a call. The handler is not called before this returns, and its last call is `onEnd` or `onFail`. */
export function startHttpCall (opts: HttpCallOptions): HttpCall {
  const { dispatcher, method, path, headers, body } = opts
  const state: CallState = {
    opts,
    controller: undefined,
    sent: false,
    done: false,
    cancelled: false,
    paused: false,
    lastProgressAt: opts.clock.getMonotonicMs(),
    deadlineTimer: undefined,
    progressTimer: undefined
  }
  state.deadlineTimer = setTimeout(() => watchDeadline(state), 0)
  if (opts.progressTimeoutMs !== undefined) {
    const timeoutMs = opts.progressTimeoutMs
    state.progressTimer = setTimeout(() => watchProgress(state, timeoutMs), timeoutMs)
  }
  dispatcher.dispatch({ method, path, headers, body }, createDispatchHandler(state))
  return {
    cancel: () => {
      state.cancelled = true
      if (state.done) return
      finishCall(state)
      abortCall(state, 'cancelled')
    },
    pause: () => {
      state.paused = true
      state.controller?.pause()
    },
    resume: () => {
      state.paused = false
      state.lastProgressAt = opts.clock.getMonotonicMs()
      state.controller?.resume()
    },
    isSent: () => state.sent
  }
}
