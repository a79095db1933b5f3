import { createSystemClock } from '@catkinferry/core.clock'
import type { AdapterWork } from '@catkinferry/core.types'
import type { AttemptStart, HostEvent, OrderSend } from '@catkinferry/host.events'
import { createPeakBudget, startEndlessServer, startFakeEngine, startRawServer, waitFor } from '@catkinferry/testing.fakes'
import type { FakeEngine, FakeEngineOptions } from '@catkinferry/testing.fakes'
import { expect } from 'earl'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { once } from 'node:events'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { createEngineDriver } from '../src/index.ts'
import type { EngineDriver } from '../src/index.ts'

const clock = createSystemClock()
const FAR_MS = 60_000

describe('engine driver', () => {
  let engine: FakeEngine | undefined
  let driver: EngineDriver
  let events: HostEvent[]

  async function waitForEvent (kind: HostEvent['kind']): Promise<HostEvent> {
    const find = (): HostEvent | undefined => events.find(event => event.kind === kind)
    await waitFor(`the event ${kind}`, () => find() !== undefined)
    return find() as HostEvent
  }

  async function startEngine (opts: FakeEngineOptions): Promise<FakeEngine> {
    engine = await startFakeEngine({ resident: ['a@1'], ...opts })
    return engine
  }

  function buildStart (change: Partial<Omit<AttemptStart, 'work'>> & { work?: Partial<AdapterWork> }): AttemptStart {
    const work = { kind: 'adapter', adapter: 'a', version: '1', form: 'completions', body: { prompt: 'x', max_tokens: 3 }, stream: true, promptTokens: 1, maxTokens: 3, ...change.work } as const
    const now = clock.getMonotonicMs()
    return { kind: 'attempt.start', attemptId: 'r1.0', requestId: 'r1', endpoint: 'e1', url: engine?.url ?? '', serviceClass: 'standard', freshConnection: false, sendBeforeMs: now + FAR_MS, endBeforeMs: now + FAR_MS, progressTimeoutMs: FAR_MS, ...change, work }
  }

  function buildOrder (change: Partial<OrderSend> = {}): OrderSend {
    const now = clock.getMonotonicMs()
    return { kind: 'order.send', orderId: 'o1', endpoint: 'e1', url: engine?.url ?? '', order: { kind: 'load', adapterKey: 'b@1' }, fencing: 5, sendBeforeMs: now + FAR_MS, cutAtMs: now + FAR_MS, ...change }
  }

  beforeEach(() => {
    events = []
    driver = createEngineDriver({ clock, emit: event => { events.push(event) } })
  })

  afterEach(async () => {
    await driver.close()
    await engine?.close()
    engine = undefined
  })

  it('emits a stream as started, chunks in order and ended, each with its echo', async () => {
    await startEngine({})
    driver.startAttempt(buildStart({}))
    await waitForEvent('attempt.ended')
    const echo = { attemptId: 'r1.0', adapter: 'a', version: '1' }
    expect(events.map(({ kind }) => kind)).toEqual(['attempt.started', 'attempt.chunk', 'attempt.chunk', 'attempt.chunk', 'attempt.ended'])
    expect(events.flatMap(event => event.kind === 'attempt.chunk' ? [event.index] : [])).toEqual([0, 1, 2])
    expect(events[4]).toEqual({ kind: 'attempt.ended', attemptId: 'r1.0', echo, chunks: 3 })
  })

  it('resumes a stream from a chunk', async () => {
    await startEngine({})
    driver.startAttempt(buildStart({ resumeFrom: 2 }))
    await waitForEvent('attempt.ended')
    expect(events.flatMap(event => event.kind === 'attempt.chunk' ? [event.index] : [])).toEqual([2])
  })

  // Guards against a response to a resumed stream that passes for its rest: an error, a redirect, text or nothing at all.
  for (const [name, response] of [
    ['an error', '500 Failed\r\nContent-Length: 8\r\n\r\nan error'],
    ['a redirect', '302 Found\r\nLocation: /q\r\nContent-Length: 0\r\n\r\n'],
    ['no content', '204 No Content\r\n\r\n'],
    ['an empty body', '200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n'],
    ['a text', '200 OK\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\nan error'],
    ['a line among events', '200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 10\r\n\r\nan error\n\n'],
    ['an error event', '200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 21\r\n\r\ndata: {"error":"x"}\n\n']
  ] as const) {
    it(`fails a resumed stream that is answered with ${name}`, async t => {
      const server = await startRawServer(socket => { socket.once('data', () => socket.write(`HTTP/1.1 ${response}`)) })
      t.after(server.close)
      driver.startAttempt({ ...buildStart({ resumeFrom: 2 }), url: `http://${server.address}` })
      await waitForEvent('attempt.failed')
      expect(events.map(({ kind }) => kind)).toEqual(['attempt.failed'])
    })
  }

  // Guards against endpoints that fill the memory of the process, each within the limit of a response, or beyond it, and against refused requests that count as ones that may have run.
  for (const [name, first, repeated, failure] of [
    ['a response', '200 OK\r\n\r\n', 'x'.repeat(0x4000), 'ERR_CATKINFERRY_TOO_LARGE true unknown undefined'],
    ['an error', '500 Failed\r\n\r\n', 'x'.repeat(0x4000), 'ERR_CATKINFERRY_TOO_LARGE true unknown undefined'],
    ['a refusal', '503 Busy\r\n\r\n', 'x'.repeat(0x4000), 'ERR_CATKINFERRY_TOO_LARGE true no busy'],
    ['a refusal of its adapter', '404 Not Found\r\n\r\n', 'x'.repeat(0x4000), 'ERR_CATKINFERRY_TOO_LARGE true no notResident'],
    ['an event', '200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ', 'x'.repeat(0x4000), 'ERR_CATKINFERRY_STREAM_CUT true unknown undefined']
  ] as const) {
    it(`fails attempts that are answered with ${name} without end, holds no more than its budget, and goes on with others`, async t => {
      const budget = createPeakBudget({ maxBytes: 0x80000, maxOwnerBytes: 0x40000 })
      const ends: string[] = []
      const ended = new Promise<void>(resolve => {
        driver = createEngineDriver({
          clock,
          budget,
          emit: event => {
            if (event.kind === 'attempt.failed') ends.push(`${event.failure.code} ${event.sent} ${event.failure.ran} ${event.refused}`)
            else if (event.kind === 'attempt.ended') ends.push('ended')
            if (ends.length === 17) resolve()
          }
        })
      })
      await startEngine({})
      for (const endpoint of ['e1', 'e2', 'e3', 'e4']) {
        const server = await startEndlessServer(`HTTP/1.1 ${first}`, repeated)
        t.after(server.close)
        for (const at of Array(4).keys()) driver.startAttempt({ ...buildStart({ attemptId: `${endpoint}.${at}`, freshConnection: true }), endpoint, url: `http://${server.address}` })
      }
      driver.startAttempt(buildStart({ attemptId: 'sound' }))
      await ended
      expect([ends.filter(end => end === 'ended').length, new Set(ends)]).toEqual([1, new Set(['ended', failure])])
      expect([budget.getPeakBytes() > 0, budget.getPeakBytes() <= 0x80000, budget.getHeldBytes()]).toEqual([true, true, 0])
    })
  }

  it('emits a non-streamed response as one chunk with its token count', async () => {
    await startEngine({})
    driver.startAttempt(buildStart({ work: { stream: false }, freshConnection: true }))
    await waitForEvent('attempt.ended')
    expect(events[1]).toEqual(expect.subset({ kind: 'attempt.chunk', index: 0, tokens: 3 }))
  })

  it('emits the echo of another attempt unchanged', async () => {
    await startEngine({ faults: { crossedAttemptId: 'r9.0', wrongVersion: '2' } })
    driver.startAttempt(buildStart({}))
    const started = await waitForEvent('attempt.started')
    expect(started).toEqual(expect.subset({ attemptId: 'r1.0', echo: { attemptId: 'r9.0', adapter: 'a', version: '2' } }))
  })

  it('reports that nothing was sent if the connection is refused', async () => {
    driver.startAttempt({ ...buildStart({}), url: 'http://127.0.0.1:1' })
    expect(await waitForEvent('attempt.failed')).toEqual(expect.subset({ sent: false, failure: expect.subset({ ran: 'no', peer: 'e1' }) }))
  })

  it('sends no attempt after its send deadline', async () => {
    const { runs } = await startEngine({})
    driver.startAttempt(buildStart({ sendBeforeMs: clock.getMonotonicMs() - 1 }))
    expect(await waitForEvent('attempt.failed')).toEqual(expect.subset({ sent: false }))
    expect(runs).toEqual([])
  })

  it('reports a stream without the end marker as failed after sending', async () => {
    await startEngine({ faults: { cutAfterChunks: 1 } })
    driver.startAttempt(buildStart({}))
    expect(await waitForEvent('attempt.failed')).toEqual(expect.subset({ sent: true }))
    expect(events.some(({ kind }) => kind === 'attempt.ended')).toEqual(false)
  })

  it('fails a stalled stream after the progress timeout', async () => {
    await startEngine({ faults: { silentAfterChunks: 1 } })
    driver.startAttempt(buildStart({ progressTimeoutMs: 50 }))
    expect(await waitForEvent('attempt.failed')).toEqual(expect.subset({ sent: true, failure: expect.subset({ code: 'ERR_CATKINFERRY_STREAM_CUT' }) }))
  })

  it('aborts an attempt at its time limit', async () => {
    await startEngine({ faults: { silentAfterChunks: 1 } })
    driver.startAttempt(buildStart({ endBeforeMs: clock.getMonotonicMs() + 50 }))
    expect(await waitForEvent('attempt.failed')).toEqual(expect.subset({ failure: expect.subset({ code: 'ERR_CATKINFERRY_DEADLINE' }) }))
  })

  it('distinguishes a refusal because the adapter is not loaded from a failure', async () => {
    await startEngine({ resident: [] })
    driver.startAttempt(buildStart({}))
    expect(await waitForEvent('attempt.failed')).toEqual(expect.subset({ refused: 'notResident', sent: true, failure: expect.subset({ ran: 'no' }) }))
  })

  it('aborts the request at the engine when an attempt is cancelled, without further events', async () => {
    const { runs } = await startEngine({ tokenMs: 5 })
    driver.startAttempt(buildStart({ work: { body: { prompt: 'x', max_tokens: 10_000 } } }))
    await waitForEvent('attempt.chunk')
    driver.cancelAttempt('r1.0')
    const seen = events.length
    await waitFor('the run at the engine is cut', () => runs[0]?.ended === 'cut')
    expect(events.length).toEqual(seen)
  })

  // Guards against engines that fill the memory of the process with responses to orders and polls, or hold an order up for as long as they write.
  it('leaves the outcome of an order unknown, and an engine unreachable, whose response has no end', async t => {
    const server = await startEndlessServer('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', `4000\r\n${'x'.repeat(0x4000)}\r\n`)
    t.after(server.close)
    const budget = createPeakBudget({ maxBytes: 0x400000, maxOwnerBytes: 0x200000 })
    driver = createEngineDriver({ clock, controlBudget: budget, emit: event => { events.push(event) } })
    driver.sendOrder(buildOrder({ url: `http://${server.address}` }))
    expect(await waitForEvent('order.result')).toEqual(expect.subset({ outcome: { kind: 'unknown' } }))
    driver.pollEndpoint('e1', `http://${server.address}`)
    await waitForEvent('endpoint.unreachable')
    expect([budget.getPeakBytes() > 0x100000, budget.getPeakBytes() <= 0x200000, budget.getHeldBytes()]).toEqual([true, true, 0])
  })

  it('reports orders as done, refused by fencing, failed or unknown', async () => {
    const { faults, orders } = await startEngine({})
    const outcomes: unknown[] = []
    for (const [orderId, fencing] of [['o1', 5], ['o2', 4], ['o3', 5], ['o4', 5]] as const) {
      if (orderId === 'o3') faults.loadFails = true
      if (orderId === 'o4') faults.loseOrderAnswers = true
      driver.sendOrder(buildOrder({ orderId, fencing, order: { kind: 'load', adapterKey: `${orderId}@1` } }))
      const result = await waitForEvent('order.result')
      outcomes.push(result.kind === 'order.result' ? result.outcome.kind : undefined)
      events.length = 0
    }
    expect(outcomes).toEqual(['done', 'refusedFencing', 'failed', 'unknown'])
    expect(orders.map(({ status }) => status)).toEqual([200, 409, 500, 500])
  })

  it('resets the connection of an aborted order', async () => {
    const server = createServer({ pauseOnConnect: true })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const accepted = once(server, 'connection')
    driver.sendOrder(buildOrder({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` }))
    const [socket] = await accepted as [Socket]
    const failed = once(socket, 'error')
    socket.resume()
    await once(socket, 'data')
    driver.cutOrder('o1')
    const [error] = await failed as [NodeJS.ErrnoException]
    server.close()
    expect(error.code).toEqual('ECONNRESET')
    expect(await waitForEvent('order.result')).toEqual({ kind: 'order.result', orderId: 'o1', endpoint: 'e1', outcome: { kind: 'unknown' } })
  })

  it('sends no order after its send deadline', async () => {
    const { orders } = await startEngine({})
    driver.sendOrder(buildOrder({ sendBeforeMs: clock.getMonotonicMs() - 1 }))
    expect(await waitForEvent('order.result')).toEqual(expect.subset({ outcome: { kind: 'notSent' } }))
    expect(orders).toEqual([])
  })

  it('emits the report, and reports an unreachable engine', async () => {
    await startEngine({ slots: 3 })
    driver.pollEndpoint('e1', engine?.url ?? '')
    expect(await waitForEvent('endpoint.report')).toEqual(expect.subset({ endpoint: 'e1', report: expect.subset({ resident: ['a@1'], slots: 3, checksFencing: true }) }))
    driver.pollEndpoint('e2', 'http://127.0.0.1:1')
    expect(await waitForEvent('endpoint.unreachable')).toEqual({ kind: 'endpoint.unreachable', endpoint: 'e2' })
  })
})
