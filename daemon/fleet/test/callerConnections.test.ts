import { waitFor } from '@catkinferry/testing.fakes'
import { expect } from 'earl'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { CloseCause, createConnections, EndCause } from '../src/callerConnections.ts'
import type { UnansweredBytes } from '../src/callerConnections.ts'

const POST = 'POST / HTTP/1.1\r\nHost: h\r\n'
const WHOLE = `${POST}Content-Length: 2\r\n\r\nab`
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
const LIMIT_MS = 300

describe('createConnections', () => {
  let server: Server | undefined
  let socket: Socket | undefined
  let closed: CloseCause[] = []
  let lateCauses: EndCause[] = []
  let unanswered: UnansweredBytes[] = []
  let runCount = 0

  afterEach(() => {
    socket?.destroy()
    server?.close()
    closed = []
    lateCauses = []
    unanswered = []
    runCount = 0
  })

  async function listen (handle: RequestListener): Promise<Socket> {
    const connections = createConnections({
      getNow: () => performance.now(),
      findIdleLimit: () => 60_000,
      findHeaderLimit: () => 60_000,
      onClose: cause => { closed.push(cause) },
      onLateRequest: (_req, { cause, ageMs }) => { if (ageMs >= 0) lateCauses.push(cause) },
      onUnanswered: bytes => { unanswered.push(bytes) }
    })
    const opened = createServer({ headersTimeout: LIMIT_MS, requestTimeout: LIMIT_MS, connectionsCheckingInterval: 50 }, (req, res) => {
      if (connections.recordRequest(req, res)) handle(req, res)
    })
    server = opened
    opened.on('connection', connections.add)
    opened.on('clientError', ({ code }: NodeJS.ErrnoException, from) => connections.handleError(from as Socket, code))
    opened.listen(0, '127.0.0.1')
    await once(opened, 'listening')
    // Callers may send the rest of a request after they have got the end of the connection.
    socket = connect({ port: (opened.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
    socket.on('error', () => undefined)
    return socket
  }

  function collect (from: Socket): { text: string, hasEnded: boolean, hasClosed: boolean } {
    const got = { text: '', hasEnded: false, hasClosed: false }
    from.on('data', part => { got.text += String(part) })
    from.on('end', () => { got.hasEnded = true })
    from.on('close', () => { got.hasClosed = true })
    return got
  }

  /** Runs requests that have arrived whole until one behind them has failed. */
  const handleUntilFailure = (begins: boolean): RequestListener => (req, res) => {
    req.resume()
    req.on('end', () => {
      runCount += 1
      if (begins) res.write('begun ')
      void waitFor('a connection is closed', () => closed.length > 0).then(() => sleep(100)).then(() => { res.end('whole') })
    })
  }

  // Guards against a 408 or 400 for bytes behind a running request, which its caller takes for the answer to that request, and against the end of its response there.
  for (const [name, cause, behind] of [
    ['the head behind it does not arrive whole in time', CloseCause.REQUEST_TIMEOUT, [`${POST}Con`]],
    ['the body behind it does not arrive whole in time', CloseCause.REQUEST_TIMEOUT, [`${POST}Content-Length: 5\r\n\r\nab`]],
    ['bytes behind it are no request', CloseCause.MALFORMED, ['\0\0\r\n\r\n', 'GET / HTTP/1.1\r\n\r\n']],
    ['the body behind it is malformed', CloseCause.MALFORMED, [`${POST}${CHUNKED}no length\r\n`, WHOLE]]
  ] as const) {
    for (const begins of [false, true]) {
      it(`sends the whole response of a request${begins ? ' whose response has begun' : ''}, and ends the connection after it, if ${name}`, async () => {
        const caller = await listen(handleUntilFailure(begins))
        const got = collect(caller)
        caller.write(WHOLE)
        await waitFor('the request runs', () => runCount === 1)
        for (const part of behind) {
          caller.write(part)
          await sleep(20)
        }
        await waitFor('the host ends the connection', () => got.hasEnded)
        const [head = '', body] = got.text.split('\r\n\r\n', 2)
        expect([head.split('\r\n', 1), head.includes('Connection: close'), got.text.split('HTTP/1.1').length - 1]).toEqual([['HTTP/1.1 200 OK'], !begins, 1])
        expect([body, runCount, closed]).toEqual([begins ? '6\r\nbegun \r\n5\r\nwhole\r\n0' : 'whole', 1, [cause]])
      })
    }
  }

  it('sends the responses of all whole requests before it ends the connection', async () => {
    const caller = await listen(handleUntilFailure(false))
    const got = collect(caller)
    caller.write(`${WHOLE}${WHOLE}${POST}Con`)
    await waitFor('the host ends the connection', () => got.hasEnded)
    expect([got.text.split('200 OK').length - 1, got.text.endsWith('whole'), got.text.split('HTTP/1.1').length - 1, runCount]).toEqual([2, true, 2, 2])
  })

  it('sends the whole response that began before its request had arrived, and ends the connection after it, if the request does not arrive whole in time', async () => {
    const caller = await listen((req, res) => {
      req.resume()
      res.write('begun ')
      void waitFor('a connection is closed', () => closed.length > 0).then(() => sleep(100)).then(() => { res.end('whole') })
    })
    const got = collect(caller)
    caller.write(`${POST}Content-Length: 4\r\n\r\nab`)
    await waitFor('the host ends the connection', () => got.hasEnded)
    expect([got.text.endsWith('whole\r\n0\r\n\r\n'), got.text.split('HTTP/1.1').length - 1]).toEqual([true, 1])
  })

  // Guards against a request that goes on for a caller that is gone, and against a 400 in place of its answer.
  for (const [name, rest, counted] of [
    ['behind a whole request', '', []],
    ['in the midst of a head behind it', `${POST}Con`, [CloseCause.MALFORMED]],
    ['after the time limit of a head behind it', `${POST}Con`, [CloseCause.REQUEST_TIMEOUT]],
    ['after bytes that are no request', '\0\0\r\n\r\n', [CloseCause.MALFORMED]]
  ] as const) {
    it(`ends a running request whose caller ends its side ${name}`, async () => {
      let aborted = 0
      const caller = await listen((req, res) => {
        req.resume()
        res.on('close', () => { aborted += 1 })
      })
      const got = collect(caller)
      caller.write(`${WHOLE}${rest}`)
      await waitFor('the connection is closed, if the rest comes after that', () => !name.startsWith('after') || closed.length > 0)
      await sleep(50)
      expect(aborted).toEqual(0)
      caller.end()
      await waitFor('the request is aborted', () => aborted === 1)
      await waitFor('the host ends the connection', () => got.hasEnded)
      expect([got.text, closed]).toEqual(['', [...counted]])
    })
  }

  const STRAY = '\0\0\r\n\r\n'
  const PART = WHOLE.slice(0, 20)

  // Guards against a request without an answer that no line of its host names: it crossed the end of its connection.
  for (const [name, handled, sent, expected] of [
    ['a request that arrives after the last response', WHOLE, WHOLE, { late: [EndCause.RESPONSE], bytes: [EndCause.RESPONSE, 0, WHOLE.length] }],
    ['part of a request that arrives after the last response', WHOLE, PART, { late: [], bytes: [EndCause.RESPONSE, 0, PART.length] }],
    ['a request that arrives after bytes that are none', STRAY, WHOLE, { late: [], bytes: [EndCause.MALFORMED, STRAY.length, WHOLE.length] }],
    ['nothing after the last response', WHOLE, '', { late: [], bytes: undefined }]
  ] as const) {
    it(`reports what is not answered: ${name}`, async () => {
      const caller = await listen((req, res) => {
        req.resume()
        res.shouldKeepAlive = false
        req.on('end', () => {
          runCount += 1
          res.end('whole')
        })
      })
      const got = collect(caller)
      caller.write(handled)
      await waitFor('the host ends the connection', () => got.hasEnded)
      caller.end(sent)
      await waitFor('the connection is closed, and its bytes are reported', () => got.hasClosed && (expected.bytes === undefined || unanswered.length > 0))
      expect([lateCauses, unanswered.map(({ cause, before, after }) => [cause, before, after]), runCount]).toEqual([[...expected.late], expected.bytes === undefined ? [] : [[...expected.bytes]], handled === WHOLE ? 1 : 0])
    })
  }

  // Guards against a caller that fills the memory of its host behind the end of its connection: all that it sent there was parsed and kept.
  it('reports few of many requests that arrive after the last response, and the bytes of all', async () => {
    const caller = await listen((req, res) => {
      req.resume()
      res.shouldKeepAlive = false
      res.end('whole')
    })
    const got = collect(caller)
    caller.write(WHOLE)
    await waitFor('the host ends the connection', () => got.hasEnded)
    caller.end(WHOLE.repeat(1_000))
    await waitFor('bytes without an answer are reported', () => unanswered.length > 0)
    // 8, and what was parsed at once with the last of these.
    expect([lateCauses.length <= 8 + 2_048 / WHOLE.length, unanswered.map(({ cause, after }) => [cause, after])]).toEqual([true, [[EndCause.RESPONSE, 1_000 * WHOLE.length]]])
  })

  // Guards against a request that is passed on after its caller was told that it has not run: the rest of its body arrived while the connection was still read.
  for (const [name, first, rest] of [
    ['body', `${POST}Content-Length: 4\r\n\r\nab`, 'cd'],
    ['last chunk', `${POST}${CHUNKED}2\r\nab\r\n`, '0\r\n\r\n'],
    ['head', `${POST}Con`, 'tent-Length: 0\r\n\r\n']
  ] as const) {
    it(`passes on no request whose ${name} arrives whole after its 408`, async () => {
      const caller = await listen(handleUntilFailure(false))
      const got = collect(caller)
      caller.write(first)
      await waitFor('bytes of the response arrive', () => got.text !== '')
      caller.end(rest)
      await waitFor('the connection is closed', () => got.hasClosed)
      await sleep(50)
      expect([got.text.startsWith('HTTP/1.1 408 '), got.text.split('HTTP/1.1').length - 1, runCount, closed]).toEqual([true, 1, 0, [CloseCause.REQUEST_TIMEOUT]])
    })
  }
})
