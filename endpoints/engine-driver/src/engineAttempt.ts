/** Sends one attempt of a completion to an engine, for the engine driver, each time the host core starts an attempt. */
import type { Clock } from '@catkinferry/core.clock'
import type { MemoryBudget } from '@catkinferry/core.memory-budget'
import type { AdapterWork, ServiceClass } from '@catkinferry/core.types'
import { formatAdapterKey } from '@catkinferry/core.types'
import { buildCallFailure, startHttpCall } from '@catkinferry/endpoints.http-dispatch'
import type { CallFailure, CallHandler, Connections, HttpCall } from '@catkinferry/endpoints.http-dispatch'
import type { AttemptStart, HostEvent } from '@catkinferry/host.events'
import { createAnswerReader } from './answerReader.ts'
import type { AnswerReader } from './answerReader.ts'

export interface EngineAttemptOptions {
  readonly start: AttemptStart
  readonly clock: Clock
  readonly emit: (event: HostEvent) => void
  readonly connections: Connections
  /** Accounts for what is held of responses. */
  readonly budget: MemoryBudget
  /** Called once when the attempt has completed or failed; not called if it is cancelled. */
  readonly onDone: () => void
}

const PATHS: Readonly<Record<AdapterWork['form'], string>> = { completions: '/v1/completions', chat: '/v1/chat/completions' }

/** Engines run lower numbers first. */
const PRIORITIES: Readonly<Record<ServiceClass, number>> = { urgent: 0, standard: 1, overnight: 2 }

function buildBody (work: AdapterWork, serviceClass: ServiceClass): string {
  const model = formatAdapterKey(work.adapter, work.version ?? '')
  return JSON.stringify({ ...work.body, model, stream: work.stream, priority: PRIORITIES[serviceClass] })
}

function buildHeaders (start: AttemptStart): Record<string, string> {
  const headers: Record<string, string> = { 'content-type': 'application/json', 'x-catkinferry-attempt': start.attemptId }
  if (start.resumeFrom !== undefined) headers['x-catkinferry-resume-from'] = String(start.resumeFrom)
  return headers
}

/** Starts an attempt. Its last event is `attempt.ended` or `attempt.failed`, unless it is cancelled. */
export function startEngineAttempt (opts: EngineAttemptOptions): HttpCall {
  const { start, clock, emit } = opts
  const { attemptId, endpoint, url } = start
  const work = start.work as AdapterWork
  const fresh = start.freshConnection ? opts.connections.openFresh(url) : undefined
  let reader: AnswerReader | undefined

  function finish (): void {
    reader?.release()
    opts.onDone()
    fresh?.close()
  }

  function fail (failure: CallFailure): void {
    finish()
    emit({ kind: 'attempt.failed', attemptId, failure: buildCallFailure({ failure, step: 'attempt.dispatch', peer: endpoint }), sent: failure.sent })
  }

  function abort (): void {
    call.cancel()
    finish()
  }

  const handler: CallHandler = {
    onHead: (status, headers) => {
      reader = createAnswerReader({ attemptId, endpoint, status, contentType: String(headers['content-type'] ?? ''), firstIndex: start.resumeFrom ?? 0, emit, budget: opts.budget, onEvicted: abort })
    },
    onData: data => {
      if (reader?.read(data) === 'failed') abort()
    },
    onEnd: () => {
      opts.onDone()
      fresh?.close()
      reader?.end()
      reader?.release()
    },
    onFail: fail
  }
  const call = startHttpCall({
    dispatcher: fresh?.dispatcher ?? opts.connections.getShared(url),
    clock,
    method: 'POST',
    path: PATHS[work.form],
    headers: buildHeaders(start),
    body: buildBody(work, start.serviceClass),
    sendBeforeMs: start.sendBeforeMs,
    endBeforeMs: start.endBeforeMs,
    progressTimeoutMs: work.stream ? start.progressTimeoutMs : undefined,
    handler
  })
  return {
    ...call,
    cancel: () => {
      call.cancel()
      reader?.release()
      fresh?.close()
    }
  }
}
