import { expect } from 'earl'
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { openCallerServer } from '../src/callerServer.ts'
import type { CallerServer } from '../src/callerServer.ts'

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'

const LIMITS = { maxHeaderBytes: 10_000, maxBodyBytes: 10_000, headerTimeoutMs: 500, idleTimeoutMs: 400 }

describe('openCallerServer', () => {
  let server: CallerServer | undefined
  const sockets: Socket[] = []

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy()
    void server?.stopAccepting()
    void server?.close(0)
  })

  async function open (handle: (res: ServerResponse) => void, onClose?: () => void): Promise<CallerServer> {
    server = await openCallerServer({ address: '127.0.0.1:0', handle: (_req, res) => handle(res), getNow: () => performance.now(), onClose })
    return server
  }

  async function dial ({ address }: CallerServer): Promise<Socket> {
    const socket = connect({ host: '127.0.0.1', port: Number(address.slice(address.lastIndexOf(':') + 1)) })
    sockets.push(socket)
    socket.on('error', () => undefined)
    await once(socket, 'connect')
    socket.resume()
    return socket
  }

  it('closes idle connections, and unused ones only after it stopped accepting', async () => {
    const opened = await open(res => res.end('ok'))
    const used = await dial(opened)
    used.write(REQUEST)
    await once(used, 'data')
    const fresh = await dial(opened)
    await sleep(20)
    opened.closeIdle()
    await sleep(50)
    expect([used.destroyed || used.readableEnded, fresh.destroyed || fresh.readableEnded]).toEqual([true, false])
    opened.stopAccepting()
    opened.closeIdle()
    await sleep(50)
    expect(fresh.destroyed || fresh.readableEnded).toEqual(true)
  })

  /** Opens connections that fall idle, and sends a request on all others once the first of them is closed. */
  async function sendWhileClosing (closeIdle: (opened: CallerServer) => void): Promise<string[]> {
    const idle: Socket[] = []
    const got: string[] = []
    const opened = await open(res => res.end('ok'), () => {
      if (got.length > 0) return
      for (const [index, socket] of idle.entries()) {
        got.push('')
        socket.on('data', chunk => { got[index] += String(chunk) })
        socket.write(REQUEST)
      }
    })
    opened.setLimits(LIMITS)
    // Until then the limit of before counts.
    await sleep(5_100)
    for (let count = 0; count < 4; count += 1) idle.push(await dial(opened))
    for (const socket of idle) socket.write(REQUEST)
    await Promise.all(idle.map(socket => once(socket, 'data')))
    closeIdle(opened)
    await Promise.all(idle.map(socket => once(socket, 'close')))
    return got.map(text => text.split('\r\n', 1).join())
  }

  // Guards against requests that end without an answer: they had arrived while the host closed other connections, and were not read before theirs was closed.
  it('answers requests that arrive while it closes other connections, when it stops', async () => {
    const got = await sendWhileClosing(opened => {
      void opened.closeIdle().then(() => sleep(20)).then(opened.closeIdle)
    })
    expect(got).toEqual(['', 'HTTP/1.1 200 OK', 'HTTP/1.1 200 OK', 'HTTP/1.1 200 OK'])
  })

  it('answers requests that arrive while it closes other connections, after a pause in which their idle limits have passed', async () => {
    const got = await sendWhileClosing(() => {
      // The limit of callers, and the margin by which connections stay open longer.
      const limitMs = LIMITS.idleTimeoutMs + 1_000
      setTimeout(() => { for (const until = performance.now() + limitMs; performance.now() < until;); }, limitMs / 2)
    })
    expect(got).toEqual(['', 'HTTP/1.1 200 OK', 'HTTP/1.1 200 OK', 'HTTP/1.1 200 OK'])
  })

  // Guards against a host that ends at the first response, or warns at each, because a configuration has times that timers do not take.
  for (const ms of [-1, 0, 0.5, 2 ** 31, 1e26, 1e308]) {
    it(`serves several requests on a connection with limits of ${ms} ms`, async () => {
      const warnings: string[] = []
      const onWarning = ({ name }: Error): void => { warnings.push(name) }
      process.on('warning', onWarning)
      const opened = await open(res => res.end('ok'))
      opened.setLimits({ maxHeaderBytes: 1_000, maxBodyBytes: 1_000, headerTimeoutMs: ms, idleTimeoutMs: ms })
      const socket = await dial(opened)
      const closed = once(socket, 'close')
      for (let count = 0; count < 2; count += 1) {
        socket.write(REQUEST)
        await Promise.race([once(socket, 'data'), closed])
        await sleep(20)
      }
      process.off('warning', onWarning)
      expect(warnings).toEqual([])
      const second = await dial(opened)
      second.write(REQUEST)
      expect(String((await once(second, 'data'))[0])).toEqual(expect.includes('200 OK'))
    })
  }

  it('completes a response in flight after it stopped accepting', async () => {
    let answer: ServerResponse | undefined
    const opened = await open(res => { answer = res; res.write('first') })
    const socket = await dial(opened)
    let text = ''
    socket.on('data', chunk => { text += String(chunk) })
    socket.write(REQUEST)
    await sleep(30)
    opened.stopAccepting()
    opened.closeIdle()
    answer?.end('last')
    await sleep(50)
    expect(text.endsWith('last\r\n0\r\n\r\n')).toEqual(true)
  })

  /** Writes a request after a turn has read its sockets and blocks the loop, so that timers come next. */
  function writeBeforePause (socket: Socket, ms: number): Promise<void> {
    return new Promise(resolve => {
      setImmediate(() => {
        socket.write(REQUEST)
        for (const until = performance.now() + ms; performance.now() < until;);
        resolve()
      })
    })
  }

  /** Collects what arrives on a connection. */
  function collect (socket: Socket): { text: string, hasEnded: boolean } {
    const got = { text: '', hasEnded: false }
    socket.on('data', chunk => { got.text += String(chunk) })
    socket.on('close', () => { got.hasEnded = true })
    return got
  }

  // Guards against requests that end without an answer after a pause: the time limits of the HTTP server expired before it had read them.
  describe('after a pause of the event loop', () => {
    for (const [idleTimeoutMs, idleMs] of [[1_000, 800], [100, 900]] as const) {
      it(`serves a request that has arrived at the end of an idle limit of ${idleTimeoutMs} ms`, async () => {
        const opened = await open(res => res.end('ok'))
        opened.setLimits({ ...LIMITS, idleTimeoutMs })
        await sleep(5_100)
        const socket = await dial(opened)
        const got = collect(socket)
        socket.write(REQUEST)
        await once(socket, 'data')
        await sleep(idleMs)
        await writeBeforePause(socket, 600)
        await sleep(200)
        expect(got.text.split('200 OK').length - 1).toEqual(2)
      })
    }

    it('serves a request whose headers have arrived on a new connection', async () => {
      const opened = await open(res => res.end('ok'))
      opened.setLimits(LIMITS)
      await sleep(5_100)
      const socket = await dial(opened)
      const got = collect(socket)
      await sleep(50)
      await writeBeforePause(socket, 2_000)
      await sleep(200)
      expect([got.text.split('200 OK').length - 1, got.text.includes('408')]).toEqual([1, false])
    })

    it('still answers 408 to a request of which a part has not arrived', async () => {
      const opened = await open(res => res.end('ok'))
      opened.setLimits(LIMITS)
      await sleep(5_100)
      const socket = await dial(opened)
      const got = collect(socket)
      socket.write(REQUEST.slice(0, -2))
      await once(socket, 'close')
      expect(got.text.startsWith('HTTP/1.1 408 ')).toEqual(true)
    })
  })

  // Guards against a configuration that closes connections on which callers may send by the limit that they know.
  describe('a changed idle limit', () => {
    async function measureClose (changes: ReadonlyArray<number>): Promise<number> {
      const opened = await open(res => res.end('ok'))
      const [first = 0, ...later] = changes
      opened.setLimits({ ...LIMITS, idleTimeoutMs: first })
      await sleep(5_100)
      const socket = await dial(opened)
      socket.write(REQUEST)
      await once(socket, 'data')
      const startedAt = performance.now()
      const closed = once(socket, 'close')
      await sleep(20)
      for (const idleTimeoutMs of later) opened.setLimits({ ...LIMITS, idleTimeoutMs })
      await closed
      return performance.now() - startedAt
    }

    it('keeps idle connections for the former limit when it is lowered', async () => {
      expect(await measureClose([1_500, 100]) >= 1_500).toEqual(true)
    })

    // Guards against an entry host that ends by an exception at its first response: a configuration had an idle limit below -1 s.
    it('keeps idle connections for a while if it is negative', async () => {
      expect(await measureClose([-5_000]) >= 500).toEqual(true)
    })

    it('keeps connections that are idle already for the new limit when it is raised', async () => {
      expect(await measureClose([200, 2_500]) >= 2_500).toEqual(true)
    })
  })

  // Guards against connections that are open for ever: bytes that begin no request kept them from being idle, and no other limit counts for these.
  describe('bytes that begin no request', () => {
    const POST = 'POST / HTTP/1.1\r\nHost: h\r\n'
    const PART_MS = 100
    /** Several times the limits together: a connection that is still open then stays so. */
    const GIVE_UP_MS = 12_000

    async function openLimited (): Promise<CallerServer> {
      const opened = await open(res => res.end('ok'))
      opened.setLimits(LIMITS)
      await sleep(5_100)
      return opened
    }

    async function writeParts (socket: Socket, parts: readonly string[]): Promise<void> {
      for (const part of parts) {
        if (socket.destroyed) return
        socket.write(part)
        await sleep(PART_MS)
      }
    }

    for (const [name, parts] of [
      ['a line break after a response', [REQUEST, '\r\n']],
      ['line breaks again and again', [REQUEST, ...Array<string>(GIVE_UP_MS / PART_MS).fill('\r\n')]],
      ['a body whose end comes after the response', [`${POST}Content-Length: 5\r\n\r\n`, 'hello']],
      ['chunks whose end comes after the response', [`${POST}Transfer-Encoding: chunked\r\n\r\n`, '5\r\nhello\r\n0\r\n\r\n']]
    ] as const) {
      it(`do not keep a connection open: ${name}`, async () => {
        const socket = await dial(await openLimited())
        const got = collect(socket)
        await Promise.all([writeParts(socket, parts), Promise.race([once(socket, 'close'), sleep(GIVE_UP_MS)])])
        expect([got.text.split('200 OK').length - 1, got.text.includes('408'), got.hasEnded]).toEqual([1, false, true])
      })
    }

    for (const [name, parts] of [
      ['line breaks', [REQUEST, '\r\n']],
      ['the end of a body', [`${POST}Content-Length: 5\r\n\r\n`, 'hello']]
    ] as const) {
      it(`do not end a connection on which a request arrives at the idle limit after ${name}`, async () => {
        const opened = await openLimited()
        opened.setLimits({ ...LIMITS, headerTimeoutMs: 1_500 })
        const socket = await dial(opened)
        const got = collect(socket)
        await writeParts(socket, parts)
        await sleep(1_200 - PART_MS * parts.length)
        socket.write(REQUEST.slice(0, 20))
        await sleep(600)
        socket.write(REQUEST.slice(20))
        await sleep(100)
        expect([got.text.split('200 OK').length - 1, got.hasEnded]).toEqual([2, false])
      })
    }
  })

  // Guards against a reset that destroys a response on its way: the connection was closed with unread bytes.
  it('delivers a refusal while the body is still arriving', async () => {
    const opened = await open(res => {
      res.writeHead(503, { Connection: 'close', 'Content-Length': 7 })
      res.end('no room')
    })
    const results: string[] = []
    for (let index = 0; index < 20; index += 1) {
      const socket = await dial(opened)
      socket.pause()
      const got = collect(socket)
      socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n')
      for (let part = 0; part < 30; part += 1) {
        socket.write('x'.repeat(100_000))
        await sleep(1)
      }
      socket.resume()
      await sleep(30)
      results.push(got.text)
    }
    expect(results.filter(text => !text.endsWith('no room'))).toEqual([])
  })

  // Guards against a request that ends without an answer: the HTTP server destroys the connection of one that asks for a tunnel.
  it('refuses a request for a tunnel, and ends its connection', async () => {
    const opened = await open(res => res.end('ok'))
    const socket = await dial(opened)
    const got = collect(socket)
    socket.write('CONNECT a:1 HTTP/1.1\r\nHost: h\r\n\r\n')
    await once(socket, 'close')
    expect(got.text.split('\r\n', 2)).toEqual(['HTTP/1.1 501 Not Implemented', 'Connection: close'])
  })

  // Guards against a caller that ends the process: nothing listened for errors of a connection that had asked for a tunnel.
  it('goes on when the connection of a request for a tunnel is reset', async () => {
    const opened = await open(res => res.end('ok'))
    for (const delayMs of [0, 5, 20]) {
      const tunnel = await dial(opened)
      tunnel.write('CONNECT a:1 HTTP/1.1\r\nHost: h\r\n\r\n')
      await sleep(delayMs)
      tunnel.resetAndDestroy()
      await sleep(50)
    }
    const socket = await dial(opened)
    const got = collect(socket)
    socket.write(REQUEST)
    await sleep(100)
    expect(got.text.startsWith('HTTP/1.1 200')).toEqual(true)
  })

  // Guards against resets of connections that the kernel had accepted and the program had not.
  it('serves connections that were opened before it stopped accepting', async () => {
    const opened = await open(res => {
      res.shouldKeepAlive = false
      res.end('ok')
    })
    const port = Number(opened.address.slice(opened.address.lastIndexOf(':') + 1))
    const clients = Array.from({ length: 30 }, () => {
      const socket = connect({ host: '127.0.0.1', port })
      sockets.push(socket)
      socket.on('error', () => undefined)
      socket.write(REQUEST)
      return collect(socket)
    })
    await new Promise(resolve => setImmediate(resolve))
    await opened.stopAccepting()
    await sleep(200)
    expect(clients.filter(({ text }) => !text.includes('200 OK')).length).toEqual(0)
  })
})
