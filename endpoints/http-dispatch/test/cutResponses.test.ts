/** Responses of an endpoint that stop at each of their bytes, in the head, in the body, in the size of a chunk and in a trailer. */
import { expect } from 'earl'
import type { Socket } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { createSystemClock } from '@catkinferry/core.clock'
import { createConnections, startHttpCall } from '@catkinferry/endpoints.http-dispatch'
import type { Connections } from '@catkinferry/endpoints.http-dispatch'
import { startRawServer } from '@catkinferry/testing.fakes'
import type { RawServer } from '@catkinferry/testing.fakes'

const TIME_LIMIT_MS = 60_000
/** Time in which a caller reads what came before the reset. */
const RESET_DELAY_MS = 20
const BODY = 'hello world!'
const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nX-Id: id1\r\nConnection: close\r\n\r\n'

const RESPONSES: Readonly<Record<string, string>> = {
  'with a length': `HTTP/1.1 200 OK\r\nX-Id: id1\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'with a length, on a connection that ends': `HTTP/1.1 200 OK\r\nX-Id: id1\r\nConnection: close\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'in chunks': 'HTTP/1.1 200 OK\r\nX-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nX-Sum: 1\r\n\r\n',
  'in chunks, on a connection that ends': 'HTTP/1.1 200 OK\r\nX-Id: id1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nX-Sum: 1\r\n\r\n',
  'with a folded header': `HTTP/1.1 200 OK\r\nX-Id:\r\n id1\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'after an informational one': `HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: id1\r\nConnection: close\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`
}

const ENDS: Readonly<Record<string, (socket: Socket, text: string) => void>> = {
  'closes the connection': (socket, text) => { socket.end(text) },
  'resets the connection': (socket, text) => { socket.write(text, () => { socket.resetAndDestroy() }) },
  'resets the connection later': (socket, text) => { socket.write(text, () => { setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS) }) }
}

describe('a call whose response stops in the middle', () => {
  let server: RawServer
  let connections: Connections
  let respond: (socket: Socket, path: string) => void = () => undefined
  const clock = createSystemClock()

  before(async () => {
    connections = createConnections()
    server = await startRawServer(socket => {
      socket.on('data', data => respond(socket, String(data).split(' ')[1] ?? ''))
    })
  })
  after(async () => {
    await connections.close()
    server.close()
  })

  /** Whether the call ended as complete, and the body that came until then. */
  async function call (path: string, isFresh: boolean): Promise<{ readonly isComplete: boolean, readonly body: string }> {
    const origin = `http://${server.address}`
    const fresh = isFresh ? connections.openFresh(origin) : undefined
    const now = clock.getMonotonicMs()
    let body = ''
    const isComplete = await new Promise<boolean>(resolve => {
      startHttpCall({
        dispatcher: fresh?.dispatcher ?? connections.getShared(origin),
        clock,
        method: 'GET',
        path,
        headers: {},
        sendBeforeMs: now + TIME_LIMIT_MS,
        endBeforeMs: now + TIME_LIMIT_MS,
        handler: { onHead: () => undefined, onData: data => { body += data.toString() }, onEnd: () => resolve(true), onFail: () => resolve(false) }
      })
    })
    fresh?.close()
    return { isComplete, body }
  }

  /** Cuts a response after each number of bytes, and returns after which it was taken for complete. */
  async function listComplete (response: string, firstBytes: number, end: (socket: Socket, text: string) => void): Promise<number[]> {
    respond = (socket, path) => end(socket, response.slice(0, Number(path.slice(1))))
    const complete: number[] = []
    await Promise.all(Array.from({ length: response.length - firstBytes }, async (_, index) => {
      if ((await call(`/${firstBytes + index}`, index % 2 === 0)).isComplete) complete.push(firstBytes + index)
    }))
    return complete
  }

  // Guards against an answer that an endpoint has broken off and that is taken for a whole one.
  for (const [endName, end] of Object.entries(ENDS)) {
    for (const [name, response] of Object.entries(RESPONSES)) {
      it(`has failed if the endpoint ${endName} in a response ${name}`, async () => {
        expect(await listComplete(response, 0, end)).toEqual([])
      })
    }

    it(`has failed if the endpoint ${endName} in the head of a response without length or chunks`, async () => {
      expect(await listComplete(UNFRAMED_HEAD, 0, end)).toEqual([])
    })
  }

  it('has ended with what came of a response without length or chunks if the endpoint closes the connection', async () => {
    respond = socket => { socket.end(`${UNFRAMED_HEAD}${BODY}`) }
    expect(await call('/', true)).toEqual({ isComplete: true, body: BODY })
  })

  for (const endName of ['resets the connection', 'resets the connection later']) {
    it(`has failed if the endpoint ${endName} in the body of a response without length or chunks`, async () => {
      expect(await listComplete(`${UNFRAMED_HEAD}${BODY}`, UNFRAMED_HEAD.length, ENDS[endName] as (socket: Socket, text: string) => void)).toEqual([])
    })
  }
})
