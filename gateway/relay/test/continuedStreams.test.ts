/** Responses to the retry of a request whose caller has the beginning of a stream: only the same stream may follow it. */
import { expect } from 'earl'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import type { Socket } from 'node:net'
import { MAX_BUFFERED_RESPONSE_BYTES } from '../src/constants.ts'
import { OUTCOME_HEADER, PeerOutcome } from '../src/forwardedRequest.ts'
import { formatEvent } from './stallingEndpoint.ts'
import { buildLostEndpoint, startRawEndpoint, startTestRelay } from './testRelay.ts'
import type { CallResult, Endpoint, TestRelay, TestRelayOptions } from './testRelay.ts'

/** Nothing here depends on the deadline, which a pause of the test process may not use up. */
const TIMEOUT_MS = 10_000
const RESUMABLE = { kind: 'stream', resumable: true, maxEndpoints: 3, timeoutMs: TIMEOUT_MS } as const
const DEADLINE = { 'X-Deadline': String(TIMEOUT_MS) }
const BEGINNING = formatEvent(1)
const REST = formatEvent(2) + formatEvent(3)
const IDENTITY = 'X-Id: id1\r\nX-Stamp: s\r\n'
const EVENT_STREAM = 'Content-Type: text/event-stream\r\n'
const ERROR_TEXT = 'an error\n\n'
const LONG_ERROR = 'x'.repeat(MAX_BUFFERED_RESPONSE_BYTES + 1)

/** How an endpoint frames the body of a response. */
const frameWithLength = (body: string): string => `Content-Length: ${body.length}\r\n\r\n${body}`
const frameInChunks = (body: string): string => `Transfer-Encoding: chunked\r\n\r\n${body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`}0\r\n\r\n`

/** Responses that are no continuation of a stream of events. */
const OTHER_RESPONSES: Readonly<Record<string, string>> = {
  'an error': `500 Failed\r\n${IDENTITY}${frameWithLength(ERROR_TEXT)}`,
  'an error of 256 KB with a length': `500 Failed\r\n${IDENTITY}${frameWithLength(LONG_ERROR)}`,
  'an error of 256 KB in chunks': `500 Failed\r\n${IDENTITY}${frameInChunks(LONG_ERROR)}`,
  'an error with the content type of events': `500 Failed\r\n${IDENTITY}${EVENT_STREAM}${frameWithLength(REST)}`,
  'a 503 that does not say that the request has not run': `503 Unavailable\r\n${IDENTITY}${frameWithLength(ERROR_TEXT)}`,
  'a refusal that says that the request has not run': `503 Full\r\n${IDENTITY}X-Not-Run: 1\r\n${frameWithLength(ERROR_TEXT)}`,
  'a redirect with a text': `302 Found\r\n${IDENTITY}Location: /q\r\n${frameWithLength(ERROR_TEXT)}`,
  'a redirect without a body': `302 Found\r\n${IDENTITY}Location: /q\r\n${frameWithLength('')}`,
  'a 206': `206 Partial Content\r\n${IDENTITY}${EVENT_STREAM}${frameWithLength(REST)}`,
  'a 204': `204 No Content\r\n${IDENTITY}\r\n`,
  'a 304': `304 Not Modified\r\n${IDENTITY}\r\n`,
  'a plain text': `200 OK\r\n${IDENTITY}Content-Type: text/plain\r\n${frameWithLength(ERROR_TEXT)}`,
  'a JSON document': `200 OK\r\n${IDENTITY}Content-Type: application/json\r\n${frameInChunks('{"error":"x"}\n\n')}`,
  'a body of no stated type': `200 OK\r\n${IDENTITY}${frameInChunks(ERROR_TEXT)}`,
  'an empty body of no stated type': `200 OK\r\n${IDENTITY}${frameWithLength('')}`,
  'compressed events': `200 OK\r\n${IDENTITY}${EVENT_STREAM}Content-Encoding: gzip\r\n${frameInChunks(REST)}`
}

const CONTINUATIONS: Readonly<Record<string, string>> = {
  'in chunks': `200 OK\r\n${IDENTITY}${EVENT_STREAM}${frameInChunks(REST)}`,
  'with a length': `200 OK\r\n${IDENTITY}${EVENT_STREAM}${frameWithLength(REST)}`,
  'after a 103': `103 Early Hints\r\nLink: </q>\r\n\r\nHTTP/1.1 200 OK\r\n${IDENTITY}${EVENT_STREAM}${frameInChunks(REST)}`,
  'with a charset': `200 OK\r\n${IDENTITY}Content-Type: Text/Event-Stream; charset=utf-8\r\n${frameInChunks(REST)}`
}

interface Beginning {
  readonly endpoint: Endpoint
  /** Breaks the stream off. */
  readonly reset: () => void
}

/** An endpoint that begins a stream with one event. */
async function startBeginning (headers = EVENT_STREAM, text = BEGINNING): Promise<Beginning> {
  let socket: Socket | undefined
  const endpoint = await startRawEndpoint('e1', (connection, request) => {
    if (!request.includes('id1')) return
    socket = connection
    socket.write(`HTTP/1.1 200 OK\r\n${IDENTITY}${headers}Transfer-Encoding: chunked\r\n\r\n${text.length.toString(16)}\r\n${text}\r\n`)
  })
  return { endpoint, reset: () => { socket?.resetAndDestroy() } }
}

interface Scripted extends Endpoint {
  /** Heads of the requests that it got. */
  readonly requests: string[]
}

async function startAnswering (id: string, response: string): Promise<Scripted> {
  const requests: string[] = []
  const endpoint = await startRawEndpoint(id, (socket, request) => {
    if (!request.includes('id1')) return
    requests.push(request)
    socket.write(`HTTP/1.1 ${response}`)
  })
  return { ...endpoint, requests }
}

async function start (t: TestContext, opts: TestRelayOptions): Promise<TestRelay> {
  const relay = await startTestRelay({ route: RESUMABLE, othersLoad: { e1: 0, e2: 3, e3: 6 }, ...opts })
  t.after(relay.close)
  return relay
}

/** Calls, and breaks the first stream off once the caller has its beginning. Of a long body, its length is returned. */
async function callBroken ({ call }: TestRelay, { reset }: Beginning): Promise<CallResult> {
  const answer = await call({ headers: DEADLINE, onPart: reset })
  return { ...answer, body: answer.body.length > LONG_ERROR.length ? `${answer.body.length} bytes` : answer.body }
}

const findStatuses = ({ lines }: TestRelay): unknown[] => lines.filter(({ step }) => step === 'end').map(({ status }) => status)

describe('a stream that broke off and whose retry is answered with', () => {
  // Guards against an error in the middle of a stream, and against a stream that ends as complete after its beginning.
  for (const [name, response] of Object.entries(OTHER_RESPONSES)) {
    it(`${name} is cut if no other endpoint may go on with it`, async t => {
      const first = await startBeginning()
      const second = await startAnswering('e2', response)
      const relay = await start(t, { endpoints: [first.endpoint, second] })
      const { body, broken } = await callBroken(relay, first)
      expect([body, broken, second.requests.length, findStatuses(relay)]).toEqual([BEGINNING, true, 1, ['cut']])
    })

    it(`${name} goes on at the next endpoint`, async t => {
      const first = await startBeginning()
      const second = await startAnswering('e2', response)
      const third = await startAnswering('e3', CONTINUATIONS['in chunks'] ?? '')
      const relay = await start(t, { endpoints: [first.endpoint, second, third] })
      const { body, broken } = await callBroken(relay, first)
      expect([body, broken, second.requests.length, third.requests.map(request => /x-resume: (\w+)/i.exec(request)?.[1])]).toEqual([BEGINNING + REST, false, 1, ['1']])
    })
  }

  for (const [name, response] of Object.entries(CONTINUATIONS)) {
    it(`events ${name} goes on with them`, async t => {
      const first = await startBeginning()
      const relay = await start(t, { endpoints: [first.endpoint, await startAnswering('e2', response)] })
      const { body, broken } = await callBroken(relay, first)
      expect([body, broken, findStatuses(relay)]).toEqual([BEGINNING + REST, false, [200]])
    })
  }

  // The endpoint may have broken off just after the last event; only the framing of a response ever tells that a stream is whole.
  for (const [name, frame] of [['in chunks', frameInChunks], ['with a length', frameWithLength]] as const) {
    it(`no further events, ${name}, is complete if the endpoint was told which the caller has`, async t => {
      const first = await startBeginning()
      const relay = await start(t, { endpoints: [first.endpoint, await startAnswering('e2', `200 OK\r\n${IDENTITY}${EVENT_STREAM}${frame('')}`)] })
      const { body, broken } = await callBroken(relay, first)
      expect([body, broken]).toEqual([BEGINNING, false])
    })

    // Guards against a stream that ends as complete although the endpoint does not know what the caller has.
    it(`no events, ${name}, is cut if the caller has none with an id`, async t => {
      const first = await startBeginning(EVENT_STREAM, ': waiting\n\n')
      const relay = await start(t, { endpoints: [first.endpoint, await startAnswering('e2', `200 OK\r\n${IDENTITY}${EVENT_STREAM}${frame('')}`)] })
      const { body, broken } = await callBroken(relay, first)
      expect([body, broken]).toEqual([': waiting\n\n', true])
    })
  }
})

describe('a stream that broke off after', () => {
  // Guards against an id that no request can carry: sending it failed inside the relay, or at every endpoint.
  for (const [name, id] of [['of 64 KB', 'x'.repeat(64 * 1024)], ['with a control character', 'a\u0001b']] as const) {
    it(`an event with an id ${name} is cut, and the request runs nowhere else`, async t => {
      const text = `${BEGINNING}id: ${id}\ndata: a\n\n`
      const first = await startBeginning(EVENT_STREAM, text)
      const second = await startAnswering('e2', CONTINUATIONS['in chunks'] ?? '')
      const relay = await start(t, { endpoints: [first.endpoint, second] })
      let received = 0
      const { body, broken } = await relay.call({ headers: DEADLINE, onPart: part => { received += part.length; if (received === text.length) first.reset() } })
      expect([body === text, broken, second.requests.length, findStatuses(relay), relay.lines.filter(({ step }) => step === 'relay')]).toEqual([true, true, 0, ['cut'], []])
    })
  }

  // Guards against an event that comes twice: the next endpoint goes on after the last event with an id, and sends those without one again.
  for (const [name, text] of [
    ['an event without an id', 'data: a\n\n'],
    ['an event without an id that follows others', `${BEGINNING}event: x\r\ndata: a\r\n\r\n`],
    ['an event without an id that a comment follows', `${BEGINNING}data\n\n: waiting\n\n`]
  ] as const) {
    it(`${name} is cut, and the request runs nowhere else`, async t => {
      const first = await startBeginning(EVENT_STREAM, text)
      const second = await startAnswering('e2', `200 OK\r\n${IDENTITY}${EVENT_STREAM}${frameInChunks(`data: a\n\n${REST}`)}`)
      const relay = await start(t, { endpoints: [first.endpoint, second] })
      const { body, broken } = await callBroken(relay, first)
      expect([body, broken, second.requests.length]).toEqual([text, true, 0])
    })
  }

  for (const [name, text] of [
    ['a comment and a retry time', `${BEGINNING}: waiting\n\nretry: 100\n\n`],
    ['an event with an id that follows one without', `data: a\n\n${BEGINNING}`]
  ] as const) {
    it(`${name} goes on at the next endpoint`, async t => {
      const first = await startBeginning(EVENT_STREAM, text)
      const relay = await start(t, { endpoints: [first.endpoint, await startAnswering('e2', CONTINUATIONS['in chunks'] ?? '')] })
      const { body, broken } = await callBroken(relay, first)
      expect([body, broken]).toEqual([text + REST, false])
    })
  }
})

describe('a stream that began after another endpoint had failed', () => {
  // Guards against the error of an earlier attempt in the middle of a stream.
  it('is cut if it breaks off, without a byte of that error', async t => {
    const failing = await startAnswering('e0', OTHER_RESPONSES['an error'] ?? '')
    const first = await startBeginning()
    const relay = await start(t, { endpoints: [failing, first.endpoint], othersLoad: { e0: 0, e1: 3 } })
    const { body, broken } = await callBroken(relay, first)
    expect([body, broken, failing.requests.length, findStatuses(relay)]).toEqual([BEGINNING, true, 1, ['cut']])
  })
})

describe('a stream that another endpoint begins anew', () => {
  // Guards against a stream that ends as complete after the end of a shorter one.
  for (const [name, sent, expected] of [
    ['is cut if that ends before what the caller has', [1, 2], true],
    ['is complete if that ends with what the caller has', [1, 2, 3], false]
  ] as const) {
    it(name, async t => {
      const text = BEGINNING + REST
      const first = await startBeginning(EVENT_STREAM, text)
      const relay = await start(t, { endpoints: [first.endpoint, await startAnswering('e2', `200 OK\r\n${IDENTITY}${EVENT_STREAM}${frameInChunks(sent.map(formatEvent).join(''))}`)] })
      const { body, broken } = await callBroken(relay, first)
      expect([body, broken]).toEqual([text, expected])
    })
  }
})

describe('a stream that goes on at an endpoint whose response ends with its connection', () => {
  const UNFRAMED = `HTTP/1.1 200 OK\r\n${IDENTITY}${EVENT_STREAM}Connection: close\r\n\r\n${formatEvent(2)}`

  /** The process of the endpoint ends with its response, unless it lives on. */
  async function startClosing (livesOn = false): Promise<Endpoint> {
    const endpoint = await startRawEndpoint('e2', (socket, request) => {
      if (request.includes('id1')) socket.end(UNFRAMED, () => { if (!livesOn) endpoint.close() })
    })
    return endpoint
  }

  // Guards against a stream that ends as complete after an endpoint has crashed: a closed connection does not tell that it is whole.
  for (const livesOn of [false, true]) {
    it(livesOn ? 'ends as complete if the endpoint lives on' : 'does not end as complete if the endpoint does not live on', async t => {
      const first = await startBeginning()
      const relay = await start(t, { endpoints: [first.endpoint, await startClosing(livesOn)] })
      const { body, broken } = await callBroken(relay, first)
      expect([body, broken]).toEqual([BEGINNING + formatEvent(2), !livesOn])
    })
  }

  it('ends as complete once another endpoint has told that it is', async t => {
    const first = await startBeginning()
    const third = await startAnswering('e3', `200 OK\r\n${IDENTITY}${EVENT_STREAM}${frameInChunks('')}`)
    const relay = await start(t, { endpoints: [first.endpoint, await startClosing(), third] })
    const { body, broken } = await callBroken(relay, first)
    expect([body, broken, third.requests.map(request => /x-resume: (\w+)/i.exec(request)?.[1])]).toEqual([BEGINNING + formatEvent(2), false, ['2']])
  })

  it('ends as complete if it began without length or chunks too, and the endpoint lives on', async t => {
    let socket: Socket | undefined
    const first = await startRawEndpoint('e1', (connection, request) => {
      if (!request.includes('id1')) return
      socket = connection
      socket.write(`HTTP/1.1 200 OK\r\n${IDENTITY}${EVENT_STREAM}\r\n${BEGINNING}`)
    })
    const relay = await start(t, { endpoints: [first, await startClosing(true)] })
    const { body, broken } = await relay.call({ headers: DEADLINE, onPart: () => { socket?.resetAndDestroy() } })
    expect([body, broken, findStatuses(relay)]).toEqual([BEGINNING + formatEvent(2), false, [200]])
  })
})

describe('a stream whose endpoints state no content type', () => {
  it('goes on with events, of no stated type or as events', async t => {
    for (const [response, text] of [[`200 OK\r\n${IDENTITY}${frameInChunks(REST)}`, BEGINNING], [CONTINUATIONS['in chunks'] ?? '', 'id: 1\nown: a\ndata: a\n\n']] as const) {
      const first = await startBeginning('', text)
      const relay = await start(t, { endpoints: [first.endpoint, await startAnswering('e2', response)] })
      const { body, broken } = await callBroken(relay, first)
      expect([body, broken]).toEqual([text + REST, false])
    }
  })

  // Guards against an error text in the middle of a stream whose type does not tell it from events.
  for (const [name, text] of [['a line', ERROR_TEXT], ['a JSON document', '{"error":"x"}\n\n'], ['a line after one of an event', 'data: 2\nan error\n\n']] as const) {
    it(`is cut if its retry is answered with ${name}`, async t => {
      const first = await startBeginning('')
      const relay = await start(t, { endpoints: [first.endpoint, await startAnswering('e2', `200 OK\r\n${IDENTITY}${frameInChunks(text)}`)] })
      const { body, broken } = await callBroken(relay, first)
      expect([body, broken]).toEqual([BEGINNING, true])
    })
  }

  // Guards against an event that is missing because a response that was not passed on counted as delivered.
  it('gets the events that a response with other lines had too from the next endpoint', async t => {
    const first = await startBeginning('')
    const second = await startAnswering('e2', `200 OK\r\n${IDENTITY}${frameInChunks(`${formatEvent(2)}${ERROR_TEXT}`)}`)
    const third = await startAnswering('e3', `200 OK\r\n${IDENTITY}${frameInChunks(REST)}`)
    const relay = await start(t, { endpoints: [first.endpoint, second, third] })
    const { body, broken } = await callBroken(relay, first)
    expect([body, broken, second.requests.length]).toEqual([BEGINNING + REST, false, 1])
  })

  it('does not go on elsewhere if it begins with other lines', async t => {
    const text = `an error\n\n${BEGINNING}`
    const first = await startBeginning('', text)
    const second = await startAnswering('e2', CONTINUATIONS['in chunks'] ?? '')
    const relay = await start(t, { endpoints: [first.endpoint, second] })
    const { body, broken } = await callBroken(relay, first)
    expect([body, broken, second.requests.length]).toEqual([text, true, 0])
  })
})

describe('a response on the route of a stream', () => {
  // Guards against events that follow the beginning of an error, or of a document, in one response.
  for (const [name, head, text] of [
    ['an error too long to be buffered', '500 Failed', LONG_ERROR],
    ['a document', '200 OK\r\nContent-Type: application/json', '{"a":\n\n'],
    ['compressed events', '200 OK\r\nContent-Type: text/event-stream\r\nContent-Encoding: gzip', BEGINNING]
  ] as const) {
    it(`that is ${name} and breaks off is cut, and the request runs nowhere else`, async t => {
      let broken: Socket | undefined
      const first = await startRawEndpoint('e1', (socket, request) => {
        if (!request.includes('id1')) return
        broken = socket
        socket.write(`HTTP/1.1 ${head}\r\n${IDENTITY}Transfer-Encoding: chunked\r\n\r\n${text.length.toString(16)}\r\n${text}\r\n`)
      })
      const second = await startAnswering('e2', CONTINUATIONS['in chunks'] ?? '')
      const relay = await start(t, { endpoints: [first, second] })
      let got = ''
      const answer = await relay.call({
        headers: DEADLINE,
        onPart: part => {
          got += part
          if (got.length === text.length) broken?.resetAndDestroy()
        }
      })
      expect([answer.body === text, answer.broken, second.requests.length]).toEqual([true, true, 0])
    })
  }

  it('that is an error too long to be buffered is passed on as it is if nothing was sent before', async t => {
    const relay = await start(t, { endpoints: [await startAnswering('e1', OTHER_RESPONSES['an error of 256 KB in chunks'] ?? '')] })
    const { status, body, broken } = await relay.call({ headers: DEADLINE })
    expect([status, body === LONG_ERROR, broken]).toEqual([500, true, false])
  })
})

describe('a response that may not go on elsewhere', () => {
  // Guards against bytes of two endpoints in one response on routes whose requests are repeated at most before the first byte.
  for (const [name, route, text] of [
    ['a stream that is not resumable', { ...RESUMABLE, resumable: false }, BEGINNING],
    ['a long response to a request that may be repeated', { ...RESUMABLE, kind: 'idempotent', resumable: false }, LONG_ERROR]
  ] as const) {
    it(`is cut if it breaks off: ${name}`, async t => {
      const first = await startBeginning(EVENT_STREAM, text)
      const second = await startAnswering('e2', CONTINUATIONS['in chunks'] ?? '')
      const relay = await start(t, { endpoints: [first.endpoint, second], route })
      let got = 0
      const { body, broken } = await relay.call({
        headers: DEADLINE,
        onPart: part => {
          got += part.length
          if (got === text.length) first.reset()
        }
      })
      expect([body === text, broken, second.requests.length]).toEqual([true, true, 0])
    })
  }
})

describe('a stream that broke off and goes on at a peer', () => {
  /** The endpoints of the caller's host but for the first are out of its reach, so that a peer runs the retry. */
  async function callWithPeer (t: TestContext, responses: readonly string[], headers?: string): Promise<CallResult & { readonly ran: readonly number[] }> {
    const first = await startBeginning(headers)
    const lost = buildLostEndpoint('e2')
    const further = await Promise.all(responses.map((response, index) => startAnswering(`e${index + 2}`, response)))
    const peer = await start(t, { endpoints: further })
    const relay = await start(t, { endpoints: [first.endpoint, lost], peers: [peer.peer] })
    return { ...await callBroken(relay, first), ran: further.map(({ requests }) => requests.length) }
  }

  // Guards against an answer of the peer's endpoint, or of the peer itself, in the middle of a stream.
  for (const [name, response] of Object.entries(OTHER_RESPONSES)) {
    it(`is cut if that is answered with ${name}`, async t => {
      const { body, broken, ran } = await callWithPeer(t, [response])
      expect([body, broken, ran]).toEqual([BEGINNING, true, [1]])
    })

    // Guards against a stream that is cut although the route allows another endpoint: the peer took the response for the answer.
    it(`goes on at the peer's next endpoint if that is answered with ${name}`, async t => {
      const { body, broken, ran } = await callWithPeer(t, [response, CONTINUATIONS['in chunks'] ?? ''])
      expect([body, broken, ran]).toEqual([BEGINNING + REST, false, [1, 1]])
    })
  }

  it('goes on there if its type was not stated', async t => {
    const { body, broken } = await callWithPeer(t, [`200 OK\r\n${IDENTITY}${frameInChunks(REST)}`], '')
    expect([body, broken]).toEqual([BEGINNING + REST, false])
  })

  /** Peers of an earlier release pass such responses on. */
  const PEER_RESPONSES: Readonly<Record<string, string>> = {
    ...OTHER_RESPONSES,
    ...Object.fromEntries(Object.values(PeerOutcome).map(outcome => [`an answer of its own (${outcome})`, `503 Unavailable\r\n${OUTCOME_HEADER}: ${outcome}\r\n${frameWithLength(ERROR_TEXT)}`])),
    'the 408 of its HTTP server': '408 Request Timeout\r\nConnection: close\r\n\r\n'
  }

  // Guards against what a peer passes on, or says itself, in the middle of a stream.
  for (const [name, response] of Object.entries(PEER_RESPONSES)) {
    it(`is cut if the peer passes on ${name}`, async t => {
      const first = await startBeginning()
      const lost = buildLostEndpoint('e2')
      const peer = await startAnswering('peer', response)
      t.after(peer.close)
      const relay = await start(t, { endpoints: [first.endpoint, lost], peers: [{ address: peer.address, zone: 'z', region: 'r' }] })
      const { body, broken } = await callBroken(relay, first)
      expect([body, broken, peer.requests.length, findStatuses(relay)]).toEqual([BEGINNING, true, 1, ['cut']])
    })
  }

  it('is cut if the peer loses it', async t => {
    const { body, broken, ran } = await callWithPeer(t, [`200 OK\r\n${IDENTITY}${EVENT_STREAM}Content-Length: 5\r\n\r\nid: 2`])
    expect([body, broken, ran]).toEqual([BEGINNING, true, [1]])
  })

  it('goes on with the events that the peer gets', async t => {
    const { body, broken } = await callWithPeer(t, [CONTINUATIONS['in chunks'] ?? ''])
    expect([body, broken]).toEqual([BEGINNING + REST, false])
  })
})
