/**
 * Reads an engine's response and emits it as host events: stream, single response or error response. Each attempt creates
 * a reader when the head of the response arrives.
 */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import { createHeldBuffer } from '@catkinferry/core.memory-budget'
import type { HeldBuffer, MemoryBudget } from '@catkinferry/core.memory-budget'
import type { AttemptId, EndpointId } from '@catkinferry/core.types'
import { MAX_RESPONSE_BYTES } from '@catkinferry/endpoints.http-dispatch'
import type { HostEvent } from '@catkinferry/host.events'
import { getTokenCount, parseEcho } from './echo.ts'
import { createStreamReader } from './streamReader.ts'

export interface AnswerReaderOptions {
  readonly attemptId: AttemptId
  readonly endpoint: EndpointId
  readonly status: number
  readonly contentType: string
  /** Index of the first chunk; greater than 0 if a stream is resumed. */
  readonly firstIndex: number
  readonly emit: (event: HostEvent) => void
  /** Accounts for what is held of the response. */
  readonly budget: MemoryBudget
  /** Called after a failure was emitted because other endpoints need the memory. The call must be cancelled. */
  readonly onEvicted: () => void
}

export interface AnswerReader {
  /** `failed`: a failure was emitted and the call must be cancelled. */
  readonly read: (data: Buffer) => 'ok' | 'failed'
  readonly end: () => void
  /** Gives back what is held. Called in all cases once the call has ended. */
  readonly release: () => void
}

const MAX_ERROR_BYTES = 64 * 1024
const MAX_QUOTED_CHARACTERS = 200

type Refused = 'busy' | 'notResident' | 'leaving'

/** Statuses with which an engine states that it did not start the work. */
const REFUSALS: Readonly<Record<number, Refused>> = { 404: 'notResident', 429: 'busy', 503: 'busy' }
const BAD_REQUESTS: ReadonlySet<number> = new Set([400, 422])

interface Outcome {
  readonly refused?: Refused
  readonly ran: Failure['ran']
}

function emitFailure (opts: AnswerReaderOptions, failure: Pick<Failure, 'code' | 'message' | 'ran'>, refused?: Refused): void {
  const { attemptId, endpoint, emit } = opts
  emit({ kind: 'attempt.failed', attemptId, failure: { ...failure, step: 'attempt.answer', peer: endpoint }, sent: true, refused })
}

/** Whether the work was done, by the status alone. */
function readOutcome (status: number): Outcome {
  const refused = REFUSALS[status]
  return { refused, ran: refused !== undefined || BAD_REQUESTS.has(status) ? 'no' : 'unknown' }
}

/** Collects a body. One that exceeds a limit fails the attempt, with the outcome that its status states. */
function createCollector (opts: AnswerReaderOptions, maxBytes: number): HeldBuffer & Pick<AnswerReader, 'read'> {
  const { budget, endpoint, status, onEvicted } = opts
  const fail = (message: string): void => {
    const { ran, refused } = readOutcome(status)
    emitFailure(opts, { code: ErrorCode.TOO_LARGE, message, ran }, refused)
  }
  const content = createHeldBuffer({
    budget,
    owner: endpoint,
    maxBytes,
    onEvicted: () => {
      fail('response was dropped: other endpoints need the memory')
      onEvicted()
    }
  })
  return {
    ...content,
    read: data => {
      const limit = content.add(data)
      if (limit === undefined) return 'ok'
      fail(`response is over the limit of ${maxBytes} bytes or of the memory for responses (limit: ${limit})`)
      return 'failed'
    }
  }
}

function createBufferedReader (opts: AnswerReaderOptions): AnswerReader {
  const { attemptId, emit, status, contentType } = opts
  const collector = createCollector(opts, MAX_RESPONSE_BYTES)
  return {
    read: collector.read,
    release: collector.release,
    end: () => {
      const data = collector.getText()
      const parsed = parseEcho(data)
      if (parsed === undefined) {
        emitFailure(opts, { code: ErrorCode.BAD_FRAME, message: 'response is not a JSON object with id and model', ran: 'unknown' })
        return
      }
      emit({ kind: 'attempt.started', attemptId, echo: parsed.echo, status, contentType })
      emit({ kind: 'attempt.chunk', attemptId, echo: parsed.echo, index: 0, data, tokens: getTokenCount(parsed.body) })
      emit({ kind: 'attempt.ended', attemptId, echo: parsed.echo, chunks: 1 })
    }
  }
}

function createErrorReader (opts: AnswerReaderOptions): AnswerReader {
  const collector = createCollector(opts, MAX_ERROR_BYTES)
  return {
    read: collector.read,
    release: collector.release,
    end: () => {
      const text = collector.getText()
      const { refused, ran }: Outcome = text.includes('"leaving"') ? { refused: 'leaving', ran: 'no' } : readOutcome(opts.status)
      const code = BAD_REQUESTS.has(opts.status) ? ErrorCode.BAD_REQUEST : ErrorCode.ENDPOINT_FAILED
      emitFailure(opts, { code, message: `status ${opts.status}: ${text.slice(0, MAX_QUOTED_CHARACTERS)}`, ran }, refused)
    }
  }
}

/** Creates the reader for the status and content type of a response. */
export function createAnswerReader (opts: AnswerReaderOptions): AnswerReader {
  if (opts.status !== 200) return createErrorReader(opts)
  if (!opts.contentType.startsWith('text/event-stream')) return createBufferedReader(opts)
  return createStreamReader({ ...opts, emitFailure: failure => emitFailure(opts, failure) })
}
