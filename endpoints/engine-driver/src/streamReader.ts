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
/** Memory of a character at most. */
const CHARACTER_BYTES = 2
const EVENT_ENDS = ['\n\n', '\r\r', '\r\n\r\n']

/** Counts the characters after the last event that ends in the text; all of them if its end began before the text. */
function countOpen (text: string): number {
  const ends = EVENT_ENDS.map(end => ({ at: text.lastIndexOf(end), end })).filter(({ at }) => at !== -1)
  return text.length - Math.max(0, ...ends.map(({ at, end }) => at + end.length))
}

/** Emits one chunk per event, in order. A stream that ends without the end marker has failed. */
export function createStreamReader (opts: StreamReaderOptions): AnswerReader {
  const { attemptId, emit, status, contentType } = opts
  const decoder = new StringDecoder('utf8')
  let index = opts.firstIndex
  let state: 'head' | 'open' | 'ended' | 'failed' = 'head'
  let charactersSinceEvent = 0
  let hasEvent = false
  let lastEcho: AnswerEcho = { attemptId }
  const holding = opts.budget.open(opts.endpoint, () => {
    fail('stream event was dropped: other endpoints need the memory')
    opts.onEvicted()
  })

  function fail (message: string): void {
    if (state === 'ended' || state === 'failed') return
    state = 'failed'
    holding.release()
    opts.emitFailure({ code: ErrorCode.STREAM_CUT, message, ran: 'unknown' })
  }

  function hasFailed (): boolean {
    return state === 'failed'
  }

  function readEvent (data: string): void {
    hasEvent = true
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
      // The parser would keep a line without end.
      if (state === 'ended' || state === 'failed') return state === 'ended' ? 'ok' : 'failed'
      const text = decoder.write(data)
      const characters = charactersSinceEvent + text.length
      const limit = holding.add(text.length * CHARACTER_BYTES)
      if (limit !== undefined) {
        fail(`stream event is over the limit of the memory for responses (limit: ${limit})`)
        return 'failed'
      }
      hasEvent = false
      parser.feed(text)
      charactersSinceEvent = hasEvent ? countOpen(text) : characters
      holding.trim((characters - charactersSinceEvent) * CHARACTER_BYTES)
      if (charactersSinceEvent > MAX_EVENT_CHARACTERS) fail(`stream event is over the limit of ${MAX_EVENT_CHARACTERS} characters`)
      return hasFailed() ? 'failed' : 'ok'
    },
    end: () => { fail('stream ended without the end marker') },
    release: holding.release
  }
}
