import { EventEmitter, once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createMemoryBudget } from '@catkinferry/core.memory-budget'
import { createLogger } from '@catkinferry/core.logger'
import { createCallerQueue } from '../src/callerQueue.ts'
import { MAX_ENDPOINT_RESPONSE_BYTES, MAX_EVENT_BYTES } from '../src/constants.ts'
import { openResponseMemory } from '../src/responseMemory.ts'
import { startRawEndpoint, startTestRelay } from './testRelay.ts'
import type { CallResult, TestRelayOptions } from './testRelay.ts'
import { startTurnClock } from './turnClock.ts'

startTurnClock()

const TIMEOUT_MS = 5_000
const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Stamp: s\r\n'
const EVENTS = `${HEAD}Content-Type: text/event-stream\r\n`
const CHUNK = 'x'.repeat(0x4000)

interface EndlessResult {
  readonly answer: CallResult | undefined
  /** The request was ended by its deadline. */
  readonly isExpired: boolean
  /** The relay closed the connection to the endpoint. */
  readonly closed: boolean
}

/** Calls an endpoint that writes `first` and then `repeated` until its connection is closed. */
async function callEndless (first: string, repeated: string, opts: Omit<TestRelayOptions, 'endpoints'> = {}): Promise<EndlessResult> {
  const sockets: Socket[] = []
  const server = createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => undefined)
    const write = (): void => {
      while (!socket.destroyed && socket.write(repeated));
    }
    socket.once('data', () => {
      socket.on('drain', write)
      socket.write(first)
      write()
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const endpoint = { id: 'e1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, seen: [], close: () => { for (const socket of sockets) socket.destroy(); server.close() } }
  const { relay, call, close, lines } = await startTestRelay({ ...opts, endpoints: [endpoint], route: { timeoutMs: TIMEOUT_MS, ...opts.route } })
  const answer = await call({ headers: { 'X-Deadline': String(TIMEOUT_MS) } }).catch(() => undefined)
  for (let count = 0; count < 40 && sockets.some(socket => !socket.destroyed); count += 1) await new Promise(resolve => setTimeout(resolve, 25))
  const closed = sockets.every(socket => socket.destroyed)
  const heldBytes = Object.values(relay.getHeldBytes())
  close()
  expect(heldBytes.every(bytes => bytes === 0)).toEqual(true)
  return { answer, isExpired: lines.some(({ reason }) => reason === 'request deadline exceeded'), closed }
}

/** Faulty endpoints send bytes that are no response until the caller closes. Guards against relays that read them until the deadline, or without end. */
describe('bytes without end', () => {
  const heads: Readonly<Record<string, readonly [string, string]>> = {
    'that are no response': ['', 'no response '],
    'of blank lines before a response': ['', '\r\n'.repeat(512)],
    'of informational responses': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(64)],
    'in a status line': ['HTTP/1.1 200 ', CHUNK],
    'in the name of a header': ['HTTP/1.1 200 OK\r\n', CHUNK],
    'of headers': ['HTTP/1.1 200 OK\r\n', 'X-More: y\r\n'.repeat(64)],
    'in the size of a chunk': [`${HEAD}Transfer-Encoding: chunked\r\n\r\n`, '0'.repeat(1_024)],
    'in the extension of a chunk': [`${HEAD}Transfer-Encoding: chunked\r\n\r\n5;a=`, CHUNK],
    'of trailers': [`${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`, 'X-More: y\r\n'.repeat(64)]
  }
  for (const [name, [first, repeated]] of Object.entries(heads)) {
    it(`${name} end the attempt and the connection`, async () => {
      const { answer, isExpired, closed } = await callEndless(first, repeated)
      expect([answer?.status, isExpired, closed]).toEqual([502, false, true])
    })
  }

  for (const [name, first, repeated] of [
    ['in an event of a stream in chunks', `${EVENTS}Transfer-Encoding: chunked\r\n\r\n`, `4000\r\n${CHUNK}\r\n`],
    ['in an event of a stream without chunks', `${EVENTS}\r\n`, CHUNK],
    ['in an event of a stream with a length', `${EVENTS}Content-Length: 999999999\r\n\r\n`, CHUNK]
  ] as const) {
    for (const resumable of [false, true]) {
      it(`${name} ${resumable ? 'that is resumable ' : ''}end the stream and the connection`, async () => {
        const { answer, isExpired, closed } = await callEndless(first, repeated, { route: { kind: 'stream', resumable } })
        expect([answer === undefined || answer.broken || answer.status === 502, isExpired, closed]).toEqual([true, false, true])
      })
    }
  }

  it('after a refusal are not read on', async () => {
    const { answer, isExpired, closed } = await callEndless('HTTP/1.1 503 Full\r\nX-Id: id1\r\nX-Not-Run: 1\r\n\r\n', CHUNK)
    expect([answer?.status, isExpired, closed]).toEqual([503, false, true])
  })

  it('after a complete response do not reach the caller', async () => {
    const { answer, closed } = await callEndless(`${HEAD}Content-Length: 4\r\n\r\ndone`, CHUNK)
    expect([answer?.status, answer?.body, closed]).toEqual([200, 'done', true])
  })

  it('in a body without a length end at the deadline', async () => {
    const { isExpired, closed } = await callEndless(`${HEAD}\r\n`, CHUNK, { route: { timeoutMs: 100 } })
    expect([isExpired, closed]).toEqual([true, true])
  })
})

/** A limit on one response bounds no process. Guards against endpoints that take the memory of the host with many responses within their limits. */
describe('responses that do not end', () => {
  const FITTING = MAX_ENDPOINT_RESPONSE_BYTES / MAX_EVENT_BYTES
  const FURTHER = 4
  const wait = (): Promise<void> => new Promise(resolve => { setTimeout(resolve, 25) })

  it('of one endpoint are held up to a limit, and all bytes are given back', async () => {
    const endpoint = await startRawEndpoint('e1', (socket, request) => {
      const id = /x-id: (\w+)/i.exec(request)?.[1]
      if (id !== undefined) socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n${'x'.repeat(MAX_EVENT_BYTES)}`)
    })
    const { relay, dial, close, counts, lines } = await startTestRelay({ endpoints: [endpoint], route: { kind: 'stream', timeoutMs: 60_000 }, maxConnections: 100 })
    const refused = (): number => lines.filter(({ hostReason }) => hostReason === 'memory').length
    let largest = 0
    const sockets = Array.from({ length: FITTING + FURTHER }, () => dial())
    for (const [index, socket] of sockets.entries()) socket.write(`GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: id${index}\r\n\r\n`)
    while (refused() < FURTHER) {
      largest = Math.max(largest, relay.getHeldBytes().responses)
      await wait()
    }
    for (const socket of sockets) socket.destroy()
    while (relay.getHeldBytes().responses > 0) await wait()
    close()
    expect([largest <= MAX_ENDPOINT_RESPONSE_BYTES, counts.filter(count => count === 'memory_refusals responses,owner').length >= FURTHER]).toEqual([true, true])
  })

  it('give way to those of other endpoints', () => {
    const budget = createMemoryBudget({ maxBytes: 10, maxOwnerBytes: 8 })
    const refusals: string[] = []
    const open = (owner: string): ReturnType<typeof openResponseMemory> => openResponseMemory({ budget, owner, onRefused: refusal => refusals.push(`${owner} ${refusal}`) })
    const [large, small, tooLarge] = [open('a'), open('b'), open('c')]
    const results = [large.resize(8), small.resize(1), small.resize(4), large.resize(1), tooLarge.resize(9), small.resize(2)]
    expect([results, refusals, budget.getHeldBytes()]).toEqual([[true, true, true, false, false, true], ['a evicted', 'c owner'], 2])
    small.release()
    expect(budget.getHeldBytes()).toEqual(0)
  })
})

/** Guards against callers that stop reading and keep their connections open: what waited for them was bounded by response only. */
describe('responses that callers do not read', () => {
  interface SlowCaller extends EventEmitter {
    writableLength: number
    isReset: boolean
  }

  function createSlowCaller (port: number): SlowCaller {
    const caller: SlowCaller = Object.assign(new EventEmitter(), {
      writableLength: 0,
      writableHighWaterMark: 1,
      isReset: false,
      socket: {
        remoteAddress: '::1',
        remotePort: port,
        resetAndDestroy: () => {
          caller.isReset = true
          caller.emit('close')
        }
      }
    })
    return caller
  }

  it('are held up to a limit: the connection with most is reset', () => {
    const callerMemory = createMemoryBudget({ maxBytes: 10, maxOwnerBytes: 6 })
    const opts = { logger: createLogger({ level: 'error', write: () => undefined }), observer: { count: () => undefined, time: () => undefined } }
    const callers = [1, 2, 3].map(createSlowCaller)
    const queues = callers.map(caller => createCallerQueue({ opts, callerMemory }, caller as unknown as ServerResponse))
    const write = (index: number, queuedBytes: number): readonly [number, string] => {
      Object.assign(callers[index] ?? {}, { writableLength: queuedBytes })
      queues[index]?.record()
      return [callerMemory.getHeldBytes(), callers.filter(({ isReset }) => isReset).map(caller => callers.indexOf(caller)).join()]
    }
    expect([write(0, 5), write(1, 3), write(2, 4), write(1, 7)]).toEqual([[5, ''], [8, ''], [7, '0'], [4, '0,1']])
    Object.assign(callers[2] ?? {}, { writableLength: 1 })
    callers[2]?.emit('drain')
    expect(callerMemory.getHeldBytes()).toEqual(1)
    callers[2]?.emit('close')
    expect(callerMemory.getHeldBytes()).toEqual(0)
  })

  it('are counted until the caller has left', async () => {
    const endpoint = await startRawEndpoint('e1', (socket, request) => {
      const write = (): void => { while (!socket.destroyed && socket.write(`data: ${CHUNK}\n\n`)); }
      if (!request.includes('id1')) return
      socket.write(`${EVENTS}\r\n`)
      socket.on('drain', write)
      write()
    })
    const { relay, dial, close } = await startTestRelay({ endpoints: [endpoint], route: { kind: 'stream', timeoutMs: 60_000 } })
    const socket = dial()
    socket.write('GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: id1\r\n\r\n')
    const wait = (): Promise<void> => new Promise(resolve => { setTimeout(resolve, 25) })
    while (relay.getHeldBytes().callers === 0) await wait()
    socket.destroy()
    while (relay.getHeldBytes().callers > 0) await wait()
    close()
  })
})
