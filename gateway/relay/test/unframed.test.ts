import { expect } from 'earl'
import { once } from 'node:events'
import { afterEach, describe, it } from 'node:test'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { waitFor } from '@catkinferry/testing.fakes'
import { startEndpoint, startRawEndpoint, startTestRelay } from './testRelay.ts'
import type { CallResult, Endpoint, TestRelay, TestRelayOptions } from './testRelay.ts'

let testRelay: TestRelay | undefined

afterEach(() => {
  testRelay?.close()
  testRelay = undefined
})

const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\n'
const buildEvent = (id: number): string => `id: ${id}\ndata: ${id}\n\n`
const STREAM = { kind: 'stream' } as const
const RESUMABLE = { kind: 'stream', resumable: true, maxEndpoints: 2 } as const

type End = (socket: Socket, text: string) => void

interface Sending {
  readonly headers: string
  readonly end: End
}

const UNFRAMED: Sending = { headers: 'Connection: close\r\n\r\n', end: (socket, text) => { socket.end(text) } }

/** How an endpoint may send a body and end it. */
const ENDS: Readonly<Record<string, Sending>> = {
  'without length or chunks and closes': UNFRAMED,
  'in chunks and ends them': { headers: 'Transfer-Encoding: chunked\r\n\r\n', end: (socket, text) => { socket.write(`${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`) } },
  'with a length': { headers: '', end: (socket, text) => { socket.write(`Content-Length: ${text.length}\r\n\r\n${text}`) } }
}

async function callOnce (text: string, { headers, end }: Sending, opts: Omit<TestRelayOptions, 'endpoints'>): Promise<CallResult | undefined> {
  const endpoint = await startRawEndpoint('e1', socket => {
    socket.write(HEAD + headers)
    end(socket, text)
  })
  testRelay = await startTestRelay({ ...opts, endpoints: [endpoint] })
  return await testRelay.call().catch(() => undefined)
}

describe('a stream', () => {
  for (const [name, sending] of Object.entries(ENDS)) {
    it(`that an endpoint sends ${name} is complete if it ends between two events`, async () => {
      for (const text of [buildEvent(1) + buildEvent(2), `${buildEvent(1)}\n`, 'data: 1\r\n\r\n']) {
        expect(await callOnce(text, sending, { route: STREAM })).toEqual(expect.subset({ status: 200, body: text, broken: false }))
        testRelay?.close()
      }
    })

    // Guards against a stream that an endpoint broke off inside an event and that looks complete to the caller.
    it(`that an endpoint sends ${name} does not look complete if it ends inside an event`, async () => {
      for (const text of [`${buildEvent(1)}id: 2\nda`, `${buildEvent(1)}id: 2\ndata: 2\n`, 'id: 1']) {
        const answer = await callOnce(text, sending, { route: STREAM })
        expect(answer === undefined || answer.broken || answer.status === 502).toEqual(true)
        expect(buildEvent(1).startsWith(answer?.status === 200 ? answer.body : '')).toEqual(true)
        testRelay?.close()
      }
    })

    it(`that an endpoint sends ${name} continues at another after its last whole event if it ends inside one`, async () => {
      const first = await startRawEndpoint('e1', socket => {
        socket.write(HEAD + sending.headers)
        sending.end(socket, `${buildEvent(1)}id: 2\nda`)
      })
      const second = await startEndpoint('e2', (req, res) => {
        res.writeHead(200, { 'X-Id': String(req.headers['x-id']), 'X-Stamp': 's', 'Content-Type': 'text/event-stream' })
        res.end(buildEvent(2) + buildEvent(3))
      })
      testRelay = await startTestRelay({ endpoints: [first, second], route: RESUMABLE, othersLoad: { e1: 0, e2: 3 } })
      expect(await testRelay.call()).toEqual(expect.subset({ status: 200, body: buildEvent(1) + buildEvent(2) + buildEvent(3), broken: false }))
      expect(second.seen[0]?.headers['x-resume']).toEqual('1')
    })
  }

  // Guards against an endpoint that crashes before its first event, whose closed connection is the only sign of it.
  it('without length, chunks and events does not look complete', async () => {
    expect((await callOnce('', UNFRAMED, { route: STREAM }))?.status).toEqual(502)
  })

  /** Returns what a caller gets, whether it is framed as a whole response, and whether its connection was reset. A caller that takes no chunks may take a reset for the end of a body. */
  async function readRaw (route: TestRelayOptions['route'], end: End, version = '1.1'): Promise<{ readonly text: string, readonly isWhole: boolean, readonly isReset: boolean }> {
    const endpoint = await startRawEndpoint('e1', socket => {
      socket.write(`${HEAD}\r\n`)
      end(socket, buildEvent(1))
    })
    testRelay = await startTestRelay({ endpoints: [endpoint], route })
    const socket = testRelay.dial()
    let text = ''
    let isReset = false
    socket.on('data', chunk => { text += String(chunk) })
    socket.on('error', (error: NodeJS.ErrnoException) => { isReset = error.code === 'ECONNRESET' })
    socket.write(`POST /p/x HTTP/${version}\r\nHost: h.example\r\nX-Id: id1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
    await new Promise(resolve => { socket.on('close', resolve) })
    return { text, isWhole: text.endsWith('\r\n0\r\n\r\n'), isReset }
  }

  // Guards against a response that looks whole to the caller when the process of this host is killed: the kernel closes its connections in order.
  it('without length or chunks is sent to the caller in chunks, which end only with the stream', async () => {
    const { text, isWhole, isReset } = await readRaw(STREAM, UNFRAMED.end)
    expect([text.includes(buildEvent(1)), /transfer-encoding: chunked/i.test(text), isWhole, isReset]).toEqual([true, true, true, false])
  })

  for (const version of ['1.1', '1.0']) {
    // Guards against a connection that is closed in order although the endpoint reset its own in the middle of the body.
    it(`without length or chunks whose endpoint resets the connection does not look complete in HTTP/${version}`, async () => {
      const { isWhole, isReset } = await readRaw(STREAM, (socket, text) => { socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), 40)) }, version)
      expect([isWhole, isReset || version === '1.1']).toEqual([false, true])
    })

    it(`without length or chunks does not look complete at the deadline in HTTP/${version}`, async () => {
      const { isWhole, isReset } = await readRaw({ ...STREAM, timeoutMs: 200 }, (socket, text) => { socket.write(text) }, version)
      expect([isWhole, isReset || version === '1.1']).toEqual([false, true])
    })
  }
})

describe('another response without length or chunks', () => {
  it('is complete when its connection closes', async () => {
    expect(await callOnce('all of it', UNFRAMED, {})).toEqual(expect.subset({ status: 200, body: 'all of it', broken: false }))
  })
})

/** Heads after which a body ends with its connection. */
const UNFRAMED_HEADS = ['Connection: close\r\n\r\n', 'Transfer-Encoding: identity\r\n\r\n', 'Transfer-Encoding: chunked, gzip\r\n\r\n']

/** What a caller gets whose endpoint ends the connection between two events, or behind a short body: of a response that is complete, and of one that may not be. */
const ENDED_RESPONSES: Readonly<Record<string, { readonly route: NonNullable<TestRelayOptions['route']>, readonly body: string, readonly whole: Partial<CallResult>, readonly broken: Partial<CallResult> }>> = {
  'a stream that may not be resumed': { route: STREAM, body: buildEvent(1), whole: { status: 200, body: buildEvent(1), broken: false }, broken: { status: 200, body: buildEvent(1), broken: true } },
  'a stream that may be resumed': { route: RESUMABLE, body: buildEvent(1), whole: { status: 200, body: buildEvent(1), broken: false }, broken: { status: 200, body: buildEvent(1) + buildEvent(2), broken: false } },
  'a short response': { route: { kind: 'nonIdempotent' }, body: 'all', whole: { status: 200, body: 'all', broken: false }, broken: { status: 502 } },
  'a short response to a request that may be repeated': { route: { maxEndpoints: 2 }, body: 'all', whole: { status: 200, body: 'all', broken: false }, broken: { status: 200, body: buildEvent(2), broken: false } }
}

describe('the end of the connection of a response without length or chunks', () => {
  for (const [name, { route, body, whole, broken }] of Object.entries(ENDED_RESPONSES)) {
    for (const head of UNFRAMED_HEADS) {
      for (const [endName, idleConnections, isKilled] of [['lives on', 0, false], ['lives on, with idle connections', 2, false], ['is killed', 0, true], ['is killed, with idle connections', 2, true]] as const) {
        // Guards against a stream that ends as complete because the process of its endpoint was killed: the kernel closes its connections in order.
        it(`${isKilled ? 'does not complete' : 'completes'} ${name} if the endpoint ${endName} (${head.trim()})`, async () => {
          const first: Endpoint = await startRawEndpoint('e1', (socket, text) => {
            if (/x-id: idle/i.test(text)) {
              setTimeout(() => socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${/x-id: (\S+)/i.exec(text)?.[1]}\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n`), 20)
              return
            }
            socket.end(`HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Stamp: s\r\n${head}${body}`, () => { if (isKilled) first.close() })
          })
          const second = await startEndpoint('e2', (req, res) => {
            res.writeHead(200, { 'X-Id': String(req.headers['x-id']), 'X-Stamp': 's', ...(route.kind === 'stream' ? { 'Content-Type': 'text/event-stream' } : {}) })
            res.end(buildEvent(2))
          })
          testRelay = await startTestRelay({ endpoints: [first, second], route, othersLoad: { e1: 0, e2: 3 } })
          const { call } = testRelay
          await Promise.all(Array.from({ length: idleConnections }, (_, index) => call({ headers: { 'X-Id': `idle${index}` } })))
          expect(await call({ headers: { 'X-Id': 'id1' } })).toEqual(expect.subset({ ...(isKilled ? broken : whole) }))
        })
      }
    }
  }
})

describe('requests that a caller sends ahead on one connection', () => {
  const buildAhead = (version: string): string => ['id1', 'id2'].map(id => `POST /p/x HTTP/${version}\r\nHost: h.example\r\nX-Id: ${id}\r\nContent-Length: 0\r\n\r\n`).join('')

  interface Ahead {
    readonly endpoint: Endpoint
    readonly socket: Socket
    /** The ids that the endpoint has received. */
    readonly received: readonly string[]
  }

  async function sendAhead (answer: (socket: Socket, id: string) => void, version = '1.1'): Promise<Ahead> {
    const received: string[] = []
    const endpoint = await startRawEndpoint('e1', (socket, text) => {
      const id = /x-id: (\S+)/i.exec(text)?.[1] ?? ''
      received.push(id)
      answer(socket, id)
    })
    testRelay = await startTestRelay({ endpoints: [endpoint] })
    const socket = testRelay.dial()
    socket.resume()
    socket.write(buildAhead(version))
    return { endpoint, socket, received }
  }

  // Guards against a request that runs and gets no answer, since the response before it has no length and ends the connection.
  it('are answered behind a response without length or chunks', async () => {
    const { socket, received } = await sendAhead((endpointSocket, id) => setTimeout(() => endpointSocket.end(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Stamp: s\r\n\r\nwhole ${id}`), 50))
    let text = ''
    socket.on('data', chunk => { text += String(chunk) })
    await waitFor('the second response ends', () => text.endsWith('whole id2'))
    expect([received, text.split('200 OK').length - 1]).toEqual([['id1', 'id2'], 2])
  })

  it('are not passed on behind a response that ends the connection', async () => {
    const { socket, received } = await sendAhead((endpointSocket, id) => setTimeout(() => endpointSocket.end(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Stamp: s\r\n\r\nwhole`), 50), '1.0')
    await once(socket, 'close')
    expect(received).toEqual(['id1'])
  })

  // Guards against a request that runs although its caller has left: a response that waits for the one before it does not learn of that.
  it('are not passed on once the caller has left', async () => {
    const { socket, received } = await sendAhead(() => socket.destroy())
    const { relay } = testRelay as TestRelay
    await waitFor('no request is in progress', () => received.length > 0 && relay.getActiveCount() === 0)
    await sleep(50)
    expect(received).toEqual(['id1'])
  })

  it('are answered in their order', async () => {
    const { socket, received } = await sendAhead((endpointSocket, id) => { endpointSocket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Stamp: s\r\nContent-Length: 3\r\n\r\n${id}`) })
    let text = ''
    socket.on('data', chunk => { text += String(chunk) })
    await waitFor('the second response ends', () => text.endsWith('id2'))
    expect([received, text.split('200 OK').length - 1]).toEqual([['id1', 'id2'], 2])
  })
})
