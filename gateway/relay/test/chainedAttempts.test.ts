/** Three attempts of a request beside each other, and one at a peer beside one at an endpoint that is reached again. */
import { expect } from 'earl'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { MAX_OVERLAP_MS } from '../src/constants.ts'
import { formatEvent } from './stallingEndpoint.ts'
import { answerOk, startEndpoint, startTestRelay } from './testRelay.ts'
import type { CallResult, Endpoint, TestRelay, TestRelayOptions } from './testRelay.ts'
import { startTurnClock } from './turnClock.ts'

startTurnClock()

const REPEATABLE = { kind: 'idempotent', resumable: false, maxEndpoints: 6, timeoutMs: 6_000 } as const
const RESUMABLE = { kind: 'stream', resumable: true, maxEndpoints: 6, timeoutMs: 6_000 } as const
const ANSWER = 'HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Stamp: s\r\nContent-Length: 7\r\n\r\nfrom a1'
const REFUSAL = 'HTTP/1.1 503 Full\r\nX-Id: id1\r\nX-Stamp: s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
const HEALTHY = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
const EVENTS = formatEvent(1) + formatEvent(2)
const STREAM = `HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${EVENTS.length.toString(16)}\r\n${EVENTS}\r\n0\r\n\r\n`

/** Turns of the event loop until an endpoint sees what the relay did; without the limit the attempts overlap for 1.5 s or more. */
const LATE_MS = 50

interface Received {
  readonly id: string
  readonly socket: Socket
  /** Takes no further connections, or takes them again. */
  readonly pause: () => void
  readonly resume: () => void
}

/** An endpoint that answers health checks and passes on each request by its id. */
async function startScripted (id: string, onRequest: (received: Received) => void): Promise<Endpoint> {
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.on('data', data => {
      const requestId = /x-id: (\w+)/i.exec(data.toString())?.[1]
      if (requestId === undefined) socket.write(HEALTHY)
      else onRequest({ id: requestId, socket, pause: () => { server.close() }, resume: () => { server.listen(port, '127.0.0.1') } })
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  return {
    id,
    seen: [],
    address: `127.0.0.1:${port}`,
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

async function start (t: TestContext, opts: TestRelayOptions): Promise<TestRelay> {
  const relay = await startTestRelay(opts)
  t.after(relay.close)
  return relay
}

interface Chain {
  readonly answer: Promise<CallResult>
  readonly relay: TestRelay
  /** How long `a` and `c` both worked at the request, in ms. */
  readonly getOverlapMs: () => number
  /** Requests that `d` got. */
  readonly ranAtD: string[]
}

interface ChainOptions {
  readonly route: typeof REPEATABLE | typeof RESUMABLE
  /** What `a` answers just after `b` has ended; it is silent without. */
  readonly text?: string
  readonly isRefused: boolean
}

/** `a` falls silent, then its replacement `b`, so that `c` runs beside both; then `b` ends in the way given. */
async function startChain (t: TestContext, { route, text, isRefused }: ChainOptions): Promise<Chain> {
  const ranAtD: string[] = []
  const sockets = new Map<string, Socket>()
  let startedAt = 0
  let overlapMs = Infinity
  const a = await startScripted('a', ({ socket, pause }) => {
    pause()
    sockets.set('a', socket)
    socket.once('close', () => { overlapMs = performance.now() - startedAt })
  })
  const b = await startScripted('b', ({ id, socket, pause }) => {
    if (id !== 'id1') return
    pause()
    sockets.set('b', socket)
  })
  const c = await startScripted('c', ({ socket }) => {
    startedAt = performance.now()
    if (isRefused) sockets.get('b')?.write(REFUSAL)
    else sockets.get('b')?.destroy()
    if (text !== undefined) setTimeout(() => sockets.get('a')?.write(text), 40)
    setTimeout(() => socket.write(ANSWER.replace('a1', 'c1')), 1_500)
  })
  const d = await startEndpoint('d', (req, res) => {
    const id = req.headers['x-id']
    if (id === undefined) {
      res.end()
      return
    }
    if (id !== 'background') {
      ranAtD.push(String(id))
      answerOk(req, res)
      return
    }
    // Keeps the host from taking itself for cut off.
    res.writeHead(200, { 'X-Id': id, 'X-Stamp': 's' })
    const timer = setInterval(() => res.write('.'), 20)
    res.on('close', () => clearInterval(timer))
  })
  const othersLoad: Record<string, number> = {}
  const prefer = (order: readonly string[]): void => { for (const [index, id] of order.entries()) othersLoad[id] = index * 20 }
  prefer(['d', 'a', 'b', 'c'])
  const relay = await start(t, { endpoints: [a, b, c, d], othersLoad, route })
  const callBeside = (id: string): void => { relay.call({ headers: { 'X-Id': id, 'X-Deadline': '5000' } }).catch(() => undefined) }
  callBeside('background')
  await sleep(50)
  prefer(['a', 'b', 'c', 'd'])
  const answer = relay.call({ headers: { 'X-Deadline': '5000' } })
  await sleep(150)
  prefer(['b', 'a', 'c', 'd'])
  callBeside('id2')
  await sleep(50)
  prefer(['a', 'b', 'c', 'd'])
  return { answer, relay, getOverlapMs: () => overlapMs, ranAtD }
}

function findEnds ({ lines }: TestRelay): unknown[] {
  return lines.filter(({ step, requestId }) => step === 'end' && requestId === 'id1').map(({ status }) => status)
}

describe('a request with three attempts', () => {
  // Guards against a host that sends a request on after its answer, and ends or cuts the answer when that is answered too.
  for (const [title, route, text, isRefused] of [
    ['a response whose replacement was refused', REPEATABLE, ANSWER, true],
    ['a response whose replacement broke', REPEATABLE, ANSWER, false],
    ['a stream whose replacement was refused', RESUMABLE, STREAM, true]
  ] as const) {
    it(`runs nowhere else once the first has answered: ${title}`, async t => {
      const { answer, relay, ranAtD } = await startChain(t, { route, text, isRefused })
      const { body, broken } = await answer
      await sleep(300)
      expect([body, broken, ranAtD, findEnds(relay)]).toEqual([route === REPEATABLE ? 'from a1' : EVENTS, false, [], [200]])
    })
  }

  // Guards against two attempts that run on beside each other because the one between them has ended.
  it('occupies two endpoints for no longer than the limit if the second ends', async t => {
    const { answer, getOverlapMs } = await startChain(t, { route: REPEATABLE, isRefused: false })
    const { body } = await answer
    expect([body, getOverlapMs() < MAX_OVERLAP_MS + LATE_MS]).toEqual(['from c1', true])
  })
})

describe('a request that a peer runs beside an endpoint in doubt', () => {
  // Guards against a request that runs to its end in two places after a short cut.
  it('is ended at the peer once the endpoint is heard again', async t => {
    let heardAt = 0
    let closed: Promise<number> | undefined
    const silent = await startScripted('silent', ({ id, socket, pause, resume }) => {
      if (id === 'id1') {
        pause()
        setTimeout(() => socket.write(ANSWER), 3_000)
        return
      }
      setTimeout(() => {
        heardAt = performance.now()
        socket.write(ANSWER.replace('id1', id))
        resume()
      }, 900)
    })
    const other = await startScripted('other', ({ id, socket }) => { if (id === 'id1') closed = once(socket, 'close').then(() => performance.now() - heardAt) })
    const peer = await start(t, { endpoints: [other], route: REPEATABLE })
    const { call } = await start(t, { endpoints: [silent], route: REPEATABLE, peers: [peer.peer] })
    const beside = call({ headers: { 'X-Id': 'id2', 'X-Deadline': '5000' } })
    await sleep(60)
    const { body } = await call({ headers: { 'X-Deadline': '5000' } })
    await beside
    const overlapMs = await closed ?? Infinity
    expect([body, overlapMs < MAX_OVERLAP_MS + LATE_MS]).toEqual(['from a1', true])
  })
})
