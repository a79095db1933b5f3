/**
 * Sends attempts (one try of a request) to plain services, which are HTTP endpoints that are not model engines, and emits
 * their responses as host events. The daemon calls it when the host core starts or cancels an attempt and when a slow caller
 * pauses one. A response is buffered and emitted whole, as `attempt.started`, one `attempt.chunk` and `attempt.ended`.
 */
import type { Clock } from '@catkinferry/core.clock'
import { ErrorCode } from '@catkinferry/core.errors'
import { createHeldBuffer } from '@catkinferry/core.memory-budget'
import type { MemoryBudget } from '@catkinferry/core.memory-budget'
import type { AnswerEcho, AttemptId, ServiceWork } from '@catkinferry/core.types'
import { buildCallFailure, createAttemptTable, createConnections, createResponseBudget, MAX_RESPONSE_BYTES, startHttpCall } from '@catkinferry/endpoints.http-dispatch'
import type { CallHandler, Connections, ConnectionsOptions, HttpCall, HttpCallOptions } from '@catkinferry/endpoints.http-dispatch'
import { isAliveAfterEnd, isFramed } from '@catkinferry/endpoints.liveness'
import type { AttemptStart, HostEvent } from '@catkinferry/host.events'

export interface ServiceDriverOptions {
  readonly clock: Clock
  readonly emit: (event: HostEvent) => void
  readonly connections?: ConnectionsOptions
  /** Accounts for what is held of responses; shared by the drivers of a process. */
  readonly budget?: MemoryBudget
}

export interface ServiceDriver {
  readonly startAttempt: (start: AttemptStart) => void
  /** Aborts an attempt without emitting an event for it, then or later. */
  readonly cancelAttempt: (attemptId: AttemptId) => void
  readonly setAttemptPaused: (attemptId: AttemptId, paused: boolean) => void
  readonly close: () => Promise<void>
}

/** A service answers with this status instead of running the request, so another endpoint may. A response with any other status is passed on. */
const TOO_MANY_REQUESTS = 429
/** Limit on opening a connection that shows whether a service lives on. */
const PROBE_TIMEOUT_MS = 300
const DEFAULT_PORTS: Readonly<Record<string, string>> = { 'http:': '80', 'https:': '443' }

function getAddress (url: string): string {
  const { hostname, port, protocol } = new URL(url)
  return `${hostname}:${port === '' ? DEFAULT_PORTS[protocol] : port}`
}

function buildHeaders (start: AttemptStart, work: ServiceWork): Record<string, string> {
  const headers: Record<string, string> = { 'x-catkinferry-attempt': start.attemptId }
  if (work.contentType !== undefined) headers['content-type'] = work.contentType
  if (start.claimKey !== undefined) headers['idempotency-key'] = start.claimKey
  return headers
}

/** Uses `attemptId` if the service does not echo the attempt; the response is then matched to it only by its connection. */
function buildEcho (attemptId: AttemptId, header: string | string[] | undefined): AnswerEcho {
  return { attemptId: typeof header === 'string' && header !== '' ? header : attemptId }
}

interface ServiceAttemptOptions extends ServiceDriverOptions {
  readonly start: AttemptStart
  readonly httpConnections: Connections
  readonly budget: MemoryBudget
  readonly onDone: () => void
}

function startCall ({ start, clock }: ServiceAttemptOptions, dispatcher: HttpCallOptions['dispatcher'], handler: CallHandler): HttpCall {
  const work = start.work as ServiceWork
  return startHttpCall({
    dispatcher,
    clock,
    method: work.method,
    path: work.path,
    headers: buildHeaders(start, work),
    body: work.body === '' ? undefined : work.body,
    sendBeforeMs: start.sendBeforeMs,
    endBeforeMs: start.endBeforeMs,
    handler
  })
}

function startServiceAttempt (opts: ServiceAttemptOptions): HttpCall {
  const { start, emit } = opts
  const { attemptId, endpoint } = start
  const { method } = start.work as ServiceWork
  const fresh = start.freshConnection ? opts.httpConnections.openFresh(start.url) : undefined
  const content = createHeldBuffer({ budget: opts.budget, owner: endpoint, maxBytes: MAX_RESPONSE_BYTES, onEvicted: () => failTooLarge('response was dropped: other endpoints need the memory') })
  let echo: AnswerEcho = { attemptId }
  let status = 0
  let contentType: string | undefined
  let endsWithConnection = false
  let isCancelled = false

  function finish (): void {
    content.release()
    opts.onDone()
    fresh?.close()
  }

  /** A refusal is one by its status, whatever becomes of its body. */
  function fail (code: ErrorCode, message: string): void {
    const isRefused = status === TOO_MANY_REQUESTS
    emit({ kind: 'attempt.failed', attemptId, sent: true, failure: { code, message, step: 'attempt.answer', peer: endpoint, ran: isRefused ? 'no' : 'unknown' }, refused: isRefused ? 'busy' : undefined })
  }

  function failTooLarge (message: string): void {
    isCancelled = true
    call.cancel()
    finish()
    fail(ErrorCode.TOO_LARGE, message)
  }

  function complete (): void {
    const text = content.getText()
    finish()
    if (status === TOO_MANY_REQUESTS) {
      fail(ErrorCode.ENDPOINT_FAILED, `status ${status}`)
      return
    }
    emit({ kind: 'attempt.started', attemptId, echo, status, contentType })
    emit({ kind: 'attempt.chunk', attemptId, echo, index: 0, data: text, tokens: 0 })
    emit({ kind: 'attempt.ended', attemptId, echo, chunks: 1 })
  }

  /** The connection also ends when the process of the service does. */
  async function confirmEnd (): Promise<void> {
    const isAlive = await isAliveAfterEnd({ address: getAddress(start.url), timeoutMs: PROBE_TIMEOUT_MS })
    if (isCancelled) return
    if (isAlive) {
      complete()
      return
    }
    finish()
    fail(ErrorCode.ENDPOINT_FAILED, 'the service ended with the connection of a response without length or chunks')
  }

  const handler: CallHandler = {
    onHead: (value, headers) => {
      status = value
      contentType = headers['content-type'] as string | undefined
      endsWithConnection = !isFramed({ status, headers, method })
      echo = buildEcho(attemptId, headers['x-catkinferry-attempt'])
    },
    onData: data => {
      const limit = content.add(data)
      if (limit !== undefined) failTooLarge(`response is over the limit of ${MAX_RESPONSE_BYTES} bytes or of the memory for responses (limit: ${limit})`)
    },
    onEnd: () => {
      if (endsWithConnection && status !== TOO_MANY_REQUESTS) void confirmEnd()
      else complete()
    },
    onFail: failure => {
      finish()
      emit({ kind: 'attempt.failed', attemptId, sent: failure.sent, failure: buildCallFailure({ failure, step: 'attempt.dispatch', peer: endpoint }) })
    }
  }
  const call = startCall(opts, fresh?.dispatcher ?? opts.httpConnections.getShared(start.url), handler)
  return {
    ...call,
    cancel: () => {
      isCancelled = true
      call.cancel()
      content.release()
      fresh?.close()
    }
  }
}

export function createServiceDriver (opts: ServiceDriverOptions): ServiceDriver {
  const httpConnections = createConnections(opts.connections)
  const budget = opts.budget ?? createResponseBudget()
  const attempts = createAttemptTable()
  return {
    startAttempt: start => {
      const call = startServiceAttempt({ ...opts, start, httpConnections, budget, onDone: () => attempts.remove(start.attemptId) })
      attempts.put(start.attemptId, call)
    },
    cancelAttempt: attemptId => { attempts.cancel(attemptId) },
    setAttemptPaused: attempts.setPaused,
    close: httpConnections.close
  }
}
