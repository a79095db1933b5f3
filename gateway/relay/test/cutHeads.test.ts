/** Responses of endpoints that stop at each of their bytes: in the status line, a header, the body, the size of a chunk or a trailer. */
import { expect } from 'earl'
import type { Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { startEndpoint, startRawEndpoint, startTestRelay } from './testRelay.ts'
import type { Call, CallResult, Endpoint, TestRelay, TestRelayOptions } from './testRelay.ts'

const DEADLINE_MS = 60_000
const CALL: Call = { headers: { 'X-Deadline': String(DEADLINE_MS) } }
/** Time in which the relay reads what came before a reset. */
const RESET_DELAY_MS = 20
/** Sound requests between two that are cut, so that the endpoint is not avoided. */
const SOUND_REQUESTS = 2

const EVENT = 'id: 1\ndata: x\n\n'
const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\n'
const WITH_LENGTH = `${HEAD}Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`
const IN_CHUNKS = `${HEAD}Transfer-Encoding: chunked\r\n\r\n${EVENT.length.toString(16).padStart(2, '0')}\r\n${EVENT}\r\n0\r\nX-Sum: 1\r\n\r\n`
const UNFRAMED_HEAD = `${HEAD}Connection: close\r\n\r\n`

const RESPONSES: Readonly<Record<string, string>> = {
  'with a length': WITH_LENGTH,
  'in chunks': IN_CHUNKS,
  'with a folded header': WITH_LENGTH.replace('X-Stamp: s', 'X-Stamp:\r\n s'),
  'after an informational one': `HTTP/1.1 103 Early Hints\r\n\r\n${WITH_LENGTH}`
}

type End = (socket: Socket, text: string) => void

const close: End = (socket, text) => { socket.end(text) }
const reset: End = (socket, text) => { socket.write(text, () => { socket.resetAndDestroy() }) }
const resetLater: End = (socket, text) => { socket.write(text, () => { setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS) }) }
/** How a connection ends, and after every how many bytes. */
const ENDS: ReadonlyArray<{ readonly name: string, readonly end: End, readonly step: number }> = [
  { name: 'closes the connection', end: close, step: 1 },
  { name: 'resets the connection', end: reset, step: 5 },
  { name: 'resets the connection later', end: resetLater, step: 17 }
]
const PEER_STEP = 3

const ROUTES: Readonly<Record<string, NonNullable<TestRelayOptions['route']>>> = {
  'a request that may be repeated': { kind: 'idempotent', timeoutMs: DEADLINE_MS },
  'a request that may not be repeated': { kind: 'nonIdempotent', timeoutMs: DEADLINE_MS },
  'a stream that may be resumed': { kind: 'stream', resumable: true, timeoutMs: DEADLINE_MS },
  'a stream that may not be resumed': { kind: 'stream', timeoutMs: DEADLINE_MS }
}

const running: TestRelay[] = []
afterEach(() => { for (const relay of running.splice(0)) relay.close() })

async function start (opts: TestRelayOptions): Promise<TestRelay> {
  const relay = await startTestRelay({ ...opts, retryBudget: { ratio: 1, slack: 10_000 } })
  running.push(relay)
  return relay
}

/** An endpoint that sends so many bytes of a response as the request says, and then ends the connection; by default the whole response. */
function startCuttingEndpoint (id: string, response: string, end: End): Promise<Endpoint> {
  return startRawEndpoint(id, (socket, text) => {
    const bytes = /x-bytes: (\d+)/i.exec(text)?.[1]
    if (bytes === undefined) socket.write(WITH_LENGTH)
    else end(socket, response.slice(0, Number(bytes)))
  })
}

/** Whether a caller takes what it got for a whole response with success. */
const isTakenForWhole = (answer: CallResult | undefined): boolean => answer?.status === 200 && !answer.broken

/** Whether what a caller got is whole: by its length or chunks, or because its connection ended in order. */
function isWholeText (text: string, hasEnded: boolean): boolean {
  const [head = '', body = ''] = text.split('\r\n\r\n')
  if (/transfer-encoding: chunked/i.test(head)) return text.endsWith('\r\n0\r\n\r\n')
  const length = /content-length: (\d+)/i.exec(head)?.[1]
  return length === undefined ? hasEnded : body.length === Number(length)
}

/** Whether a caller took a response whose endpoint sent no length or chunks for whole. Node.js reports a reset that arrives with the last bytes as an end. */
async function isUnframedTakenForWhole (relay: TestRelay, bytes: number): Promise<boolean> {
  const socket = relay.dial()
  let text = ''
  socket.on('data', chunk => { text += String(chunk) })
  socket.write(`POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: id1\r\nX-Deadline: ${DEADLINE_MS}\r\nX-Bytes: ${bytes}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  const hasEnded = await new Promise<boolean>(resolve => {
    socket.once('end', () => resolve(socket.remoteAddress !== undefined))
    socket.once('error', () => resolve(false))
  })
  socket.destroy()
  expect(text.startsWith('HTTP/1.1 503')).toEqual(false)
  return text.startsWith('HTTP/1.1 200') && isWholeText(text, hasEnded)
}

/** Cuts a response after each of these numbers of bytes, on connections that carried requests before, and returns after which the caller took it for whole. */
async function listWhole (relay: TestRelay, { from, to, step }: { readonly from: number, readonly to: number, readonly step: number }): Promise<number[]> {
  const whole: number[] = []
  for (let bytes = from; bytes < to; bytes += step) {
    for (let count = 0; count < SOUND_REQUESTS; count += 1) expect((await relay.call(CALL)).status).toEqual(200)
    const answer = await relay.call({ headers: { ...CALL.headers, 'X-Bytes': String(bytes) } }).catch(() => undefined)
    if (isTakenForWhole(answer)) whole.push(bytes)
    // It was passed on, so that the endpoint has cut it.
    expect(answer?.status === 503).toEqual(false)
  }
  return whole
}

// Guards against an answer that an endpoint has broken off and that looks whole to the caller.
describe('a response that stops in the middle does not look whole', () => {
  for (const [routeName, route] of Object.entries(ROUTES)) {
    for (const { name: endName, end, step } of ENDS) {
      it(`if the endpoint ${endName}, for ${routeName}`, async () => {
        for (const [name, response] of Object.entries(RESPONSES)) {
          const relay = await start({ endpoints: [await startCuttingEndpoint('e1', response, end)], route })
          expect([name, await listWhole(relay, { from: 0, to: response.length, step })]).toEqual([name, []])
        }
      })

      it(`if the endpoint ${endName} in the head of one without length or chunks, for ${routeName}`, async () => {
        const relay = await start({ endpoints: [await startCuttingEndpoint('e1', UNFRAMED_HEAD, end)], route })
        expect(await listWhole(relay, { from: 0, to: UNFRAMED_HEAD.length, step })).toEqual([])
      })
    }

    for (const [endName, end] of Object.entries({ 'resets the connection': reset, 'resets the connection later': resetLater })) {
      it(`if the endpoint ${endName} in the body of one without length or chunks, for ${routeName}`, async () => {
        const response = `${UNFRAMED_HEAD}${EVENT}`
        const relay = await start({ endpoints: [await startCuttingEndpoint('e1', response, end)], route })
        const whole: number[] = []
        for (let bytes = UNFRAMED_HEAD.length; bytes <= response.length; bytes += 1) {
          for (let count = 0; count < SOUND_REQUESTS; count += 1) expect((await relay.call(CALL)).status).toEqual(200)
          if (await isUnframedTakenForWhole(relay, bytes)) whole.push(bytes)
        }
        expect(whole).toEqual([])
      })
    }
  }

  it('through a peer', async () => {
    for (const response of Object.values(RESPONSES)) {
      const peer = await start({ endpoints: [await startCuttingEndpoint('e1', response, close)], route: { kind: 'nonIdempotent', timeoutMs: DEADLINE_MS } })
      const gone = await startEndpoint('e1', () => undefined)
      gone.close()
      const relay = await start({ endpoints: [gone], route: { kind: 'nonIdempotent', timeoutMs: DEADLINE_MS }, peers: [peer.peer] })
      expect(await listWhole(relay, { from: 0, to: response.length, step: PEER_STEP })).toEqual([])
    }
  })

  it('if it should go on with a stream that another endpoint has begun', async () => {
    for (const response of Object.values(RESPONSES)) {
      const first = await startRawEndpoint('e1', socket => { socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\nf\r\n${EVENT}\r\n`, () => { setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS) }) })
      const answers: unknown[] = []
      for (let bytes = 0; bytes < response.length; bytes += 7) {
        const second = await startCuttingEndpoint('e2', response, close)
        const relay = await start({ endpoints: [first, second], route: { kind: 'stream', resumable: true, maxEndpoints: 2, timeoutMs: DEADLINE_MS }, othersLoad: { e2: 3 } })
        const answer = await relay.call({ headers: { ...CALL.headers, 'X-Bytes': String(bytes) } }).catch(() => undefined)
        if (isTakenForWhole(answer)) answers.push([bytes, answer?.body])
      }
      expect(answers).toEqual([])
    }
  })
})
