import { createMemoryBudget } from '@catkinferry/core.memory-budget'
import type { MemoryBudget } from '@catkinferry/core.memory-budget'
import type { HostEvent } from '@catkinferry/host.events'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createAnswerReader } from '../src/answerReader.ts'
import type { AnswerReader } from '../src/answerReader.ts'

const EVENT = 'data: {"id":"r1.0","model":"a@1"}\n\n'
const STREAM = { status: 200, contentType: 'text/event-stream' }

interface TestReader extends AnswerReader {
  readonly budget: MemoryBudget
  readonly events: HostEvent[]
  readonly countEvicted: () => number
}

function createReader (response: { readonly status: number, readonly contentType: string }): TestReader {
  const budget = createMemoryBudget({ maxBytes: 20_000, maxOwnerBytes: 20_000 })
  const events: HostEvent[] = []
  let evicted = 0
  const reader = createAnswerReader({ ...response, attemptId: 'r1.0', endpoint: 'e1', firstIndex: 0, emit: event => events.push(event), budget, onEvicted: () => { evicted += 1 } })
  return { ...reader, budget, events, countEvicted: () => evicted }
}

describe('createAnswerReader', () => {
  // Guards against attempts that go on, without what they held, after another endpoint needed the memory.
  for (const [name, response, data] of [
    ['a response', { status: 200, contentType: 'application/json' }, 'x'.repeat(12_000)],
    ['an error', { status: 500, contentType: 'application/json' }, 'x'.repeat(12_000)],
    ['an event', STREAM, `data: ${'x'.repeat(6_000)}`]
  ] as const) {
    it(`fails the attempt whose part of ${name} gives way to another endpoint`, () => {
      const { budget, events, countEvicted, read, end } = createReader(response)
      expect(read(Buffer.from(data))).toEqual('ok')
      expect(budget.open('e2', () => undefined).add(10_000)).toEqual(undefined)
      expect([countEvicted(), budget.getHeldBytes()]).toEqual([1, 10_000])
      expect(events).toEqual([expect.subset({ kind: 'attempt.failed', sent: true, failure: expect.subset({ ran: 'unknown' }) })])
      if (response === STREAM) end()
      expect([events.length, read(Buffer.from('x'))]).toEqual([1, 'failed'])
    })
  }

  // Guards against long streams that use up the memory for responses, although their events are passed on.
  for (const [name, parts] of Object.entries({
    'in one part': [EVENT + EVENT + 'data: {'],
    'in single bytes': [...EVENT, ...EVENT, ...'data: {'],
    'with carriage returns': [(EVENT + EVENT).replaceAll('\n', '\r\n') + 'data: {']
  })) {
    it(`holds what came of a stream after its last event, ${name}`, () => {
      const { budget, events, read, release } = createReader(STREAM)
      for (const part of parts) read(Buffer.from(part))
      expect([events.filter(({ kind }) => kind === 'attempt.chunk').length, Math.abs(budget.getHeldBytes() - 14) <= 2]).toEqual([2, true])
      release()
      expect(budget.getHeldBytes()).toEqual(0)
    })
  }

  // Guards against an endpoint that goes on with a line without end after the end of a stream.
  it('keeps nothing that comes after the end of a stream', () => {
    const { events, read } = createReader(STREAM)
    read(Buffer.from(`${EVENT}data: [DONE]\n\n`))
    const data = Buffer.alloc(0x10000, 'x')
    const before = process.memoryUsage().heapUsed
    for (let count = 0; count < 128; count += 1) expect(read(data)).toEqual('ok')
    expect([events.at(-1)?.kind, process.memoryUsage().heapUsed - before < 4_000_000]).toEqual(['attempt.ended', true])
  })
})
