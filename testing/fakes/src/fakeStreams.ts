/** Streamed answers of the fake engine, with the faults that occur within a stream. */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { setImmediate as waitTurn, setTimeout as sleep } from 'node:timers/promises'
import { buildFakeChunk, buildFakeWord } from './fakeAnswers.ts'
import type { FakeAnswerOptions } from './fakeAnswers.ts'
import type { FakeFaults } from './fakeFaults.ts'

export interface FakeStreamOptions {
  readonly res: ServerResponse
  readonly answer: FakeAnswerOptions
  readonly prompt: string
  readonly tokens: number
  readonly resumeFrom: number
  readonly tokenMs: number
  readonly faults: FakeFaults
}

async function waitForToken (opts: FakeStreamOptions): Promise<void> {
  const ms = opts.tokenMs * opts.faults.slowFactor
  if (ms > 0) await sleep(ms)
  else await waitTurn()
}

async function waitForDrain (res: ServerResponse): Promise<void> {
  await Promise.race([once(res, 'drain'), once(res, 'close')])
}

/** Sends the chunks and the end marker. Resolves with true if the stream was sent completely. */
export async function sendFakeStream (opts: FakeStreamOptions): Promise<boolean> {
  const { res, faults } = opts
  res.writeHead(200, { 'content-type': 'text/event-stream' })
  for (let index = opts.resumeFrom; index < opts.tokens; index += 1) {
    await waitForToken(opts)
    if (res.destroyed) return false
    if (faults.cutAfterChunks !== undefined && index >= faults.cutAfterChunks) {
      res.destroy()
      return false
    }
    if (faults.silentAfterChunks !== undefined && index >= faults.silentAfterChunks) {
      await once(res, 'close')
      return false
    }
    const chunk = buildFakeChunk(opts.answer, buildFakeWord(opts.prompt, index), index === opts.tokens - 1)
    if (!res.write(`data: ${chunk}\n\n`)) await waitForDrain(res)
  }
  res.end('data: [DONE]\n\n')
  return true
}
