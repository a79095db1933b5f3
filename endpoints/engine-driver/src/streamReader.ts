/** Reads an engine's stream of server-sent events and emits each as a chunk as it arrives. Created for each streamed response. */
import { StringDecoder } from 'node:string_decoder'
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import type { AnswerEcho } from '@catkinferry/core.types'
import { createParser } from 'eventsource-parser'
import type { AnswerReader, AnswerReaderOptions } from './answerReader.ts'
import { parseEcho } from './echo.ts'

export interface StreamReaderOptions extends AnswerReaderOptions {
  readonly emitFailure: (failure: Pick<Failure, 'code' | 'message' | 'ran'>) => void
}

const END_MARKER = '[DONE]'
/** Limit on the characters received since the last complete event. */
const MAX_EVENT_CHARACTERS = 1024 * 1024

/** Emits one chunk per event, in order. A stream that ends without the end marker has failed. */
export function createStreamReader (opts: StreamReaderOptions): AnswerReader {
  const { attemptId, emit, status, contentType } = opts
  const decoder = new StringDecoder('utf8')
  let index = opts.firstIndex
  let state: 'head' | 'open' | 'ended' | 'failed' = 'head'
  let charactersSinceEvent = 0
  let lastEcho: AnswerEcho = { attemptId }

  function fail (message: string): void {
    if (state === 'ended' || state === 'failed') return
    state = 'failed'
    opts.emitFailure({ code: ErrorCode.STREAM_CUT, message, ran: 'unknown' })
  }

  function readEvent (data: string): void {
    charactersSinceEvent = 0
    if (state === 'ended' || state === 'failed') return
    if (data === END_MARKER) {
      state = 'ended'
      emit({ kind: 'attempt.ended', attemptId, echo: lastEcho, chunks: index })
      return
    }
    const parsed = parseEcho(data)
    if (parsed === undefined) {
      fail('stream event is not a JSON object with id and model')
      return
    }
    lastEcho = parsed.echo
    if (state === 'head') {
      state = 'open'
      emit({ kind: 'attempt.started', attemptId, echo: parsed.echo, status, contentType })
    }
    emit({ kind: 'attempt.chunk', attemptId, echo: parsed.echo, index, data, tokens: 1 })
    index += 1
  }

  const parser = createParser({ onEvent: event => readEvent(event.data) })
  return {
    read: data => {
      const text = decoder.write(data)
      charactersSinceEvent += text.length
      parser.feed(text)
      if (charactersSinceEvent > MAX_EVENT_CHARACTERS) fail(`stream event is over the limit of ${MAX_EVENT_CHARACTERS} characters`)
      return state === 'failed' ? 'failed' : 'ok'
    },
    end: () => { fail('stream ended without the end marker') }
  }
}
