/**
 * Sends attempts (one try of a request) to plain services, which are HTTP endpoints that are not model engines, and emits
 * their responses as host events. The daemon calls it when the host core starts or cancels an attempt and when a slow caller
 * pauses one. A response is buffered and emitted whole, as `attempt.started`, one `attempt.chunk` and `attempt.ended`.
 */
import type { Clock } from '@catkinferry/core.clock'
import { ErrorCode } from '@catkinferry/core.errors'
import type { AnswerEcho, AttemptId, ServiceWork } from '@catkinferry/core.types'
import { buildCallFailure, createAttemptTable, createConnections, startHttpCall } from '@catkinferry/endpoints.http-dispatch'
import type { CallHandler, Connections, ConnectionsOptions, HttpCall } from '@catkinferry/endpoints.http-dispatch'
import type { AttemptStart, HostEvent } from '@catkinferry/host.events'

export interface ServiceDriverOptions {
  readonly clock: Clock
  readonly emit: (event: HostEvent) => void
  readonly connections?: ConnectionsOptions
}

export interface ServiceDriver {
  readonly startAttempt: (start: AttemptStart) => void
  /** Aborts an attempt without emitting an event for it, then or later. */
  readonly cancelAttempt: (attemptId: AttemptId) => void
  readonly setAttemptPaused: (attemptId: AttemptId, paused: boolean) => void
  readonly close: () => Promise<void>
}

const MAX_RESPONSE_BYTES = 16 * 1024 * 1024
/** A service answers with this status instead of running the request, so another endpoint may. A response with any other status is passed on. */
const TOO_MANY_REQUESTS = 429

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
  readonly onDone: () => void
}

function startServiceAttempt (opts: ServiceAttemptOptions): HttpCall {
  const { start, clock, emit } = opts
  const { attemptId, endpoint } = start
  const work = start.work as ServiceWork
  const fresh = start.freshConnection ? opts.httpConnections.openFresh(start.url) : undefined
  const parts: Buffer[] = []
  let echo: AnswerEcho = { attemptId }
  let status = 0
  let contentType: string | undefined
  let bytes = 0

  function finish (): void {
    opts.onDone()
    fresh?.close()
  }

  const handler: CallHandler = {
    onHead: (value, headers) => {
      status = value
      contentType = headers['content-type'] as string | undefined
      echo = buildEcho(attemptId, headers['x-catkinferry-attempt'])
    },
    onData: data => {
      bytes += data.length
      parts.push(data)
      if (bytes <= MAX_RESPONSE_BYTES) return
      call.cancel()
      finish()
      const message = `response is over the limit of ${MAX_RESPONSE_BYTES} bytes`
      emit({ kind: 'attempt.failed', attemptId, sent: true, failure: { code: ErrorCode.TOO_LARGE, message, step: 'attempt.answer', peer: endpoint, ran: 'unknown' } })
    },
    onEnd: () => {
      finish()
      if (status === TOO_MANY_REQUESTS) {
        const failure = { code: ErrorCode.ENDPOINT_FAILED, message: `status ${status}`, step: 'attempt.answer', peer: endpoint, ran: 'no' as const }
        emit({ kind: 'attempt.failed', attemptId, sent: true, failure, refused: 'busy' })
        return
      }
      emit({ kind: 'attempt.started', attemptId, echo, status, contentType })
      emit({ kind: 'attempt.chunk', attemptId, echo, index: 0, data: Buffer.concat(parts).toString('utf8'), tokens: 0 })
      emit({ kind: 'attempt.ended', attemptId, echo, chunks: 1 })
    },
    onFail: failure => {
      finish()
      emit({ kind: 'attempt.failed', attemptId, sent: failure.sent, failure: buildCallFailure({ failure, step: 'attempt.dispatch', peer: endpoint }) })
    }
  }
  const call = startHttpCall({
    dispatcher: fresh?.dispatcher ?? opts.httpConnections.getShared(start.url),
    clock,
    method: work.method,
    path: work.path,
    headers: buildHeaders(start, work),
    body: work.body === '' ? undefined : work.body,
    sendBeforeMs: start.sendBeforeMs,
    endBeforeMs: start.endBeforeMs,
    handler
  })
  return {
    ...call,
    cancel: () => {
      call.cancel()
      fresh?.close()
    }
  }
}

export function createServiceDriver (opts: ServiceDriverOptions): ServiceDriver {
  const httpConnections = createConnections(opts.connections)
  const attempts = createAttemptTable()
  return {
    startAttempt: start => {
      const call = startServiceAttempt({ ...opts, start, httpConnections, onDone: () => attempts.remove(start.attemptId) })
      attempts.put(start.attemptId, call)
    },
    cancelAttempt: attemptId => { attempts.cancel(attemptId) },
    setAttemptPaused: attempts.setPaused,
    close: httpConnections.close
  }
}
