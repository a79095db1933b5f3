import { createRandom } from '@catkinferry/core.random'
import { expect } from 'earl'
import { setTimeout as sleep } from 'node:timers/promises'
import { describe, it } from 'node:test'
import { startRawEndpoint, startTestRelay } from './testRelay.ts'
import type { CallResult } from './testRelay.ts'
import { startTurnClock } from './turnClock.ts'

startTurnClock()

/**
 * A faulty endpoint may send a response twice, late, or bytes that are no response. Connections are used again, so such bytes
 * arrive where the response to another caller's request is expected.
 */
describe('a request on a connection that was used before', () => {
  const buildResponse = (headers: string, body: string): string => `HTTP/1.1 200 OK\r\n${headers}X-Stamp: s\r\nContent-Length: ${body.length}\r\n\r\n${body}`

  /** Sends two requests, one after the other, to an endpoint that also writes `surplus` after its first response. */
  async function callTwice (opts: { readonly surplus: string, readonly delayMs: number, readonly answersSecond: boolean }): Promise<CallResult> {
    const endpoint = await startRawEndpoint('e1', (socket, text) => {
      const id = /X-Id: (\w+)/i.exec(text)?.[1] ?? ''
      if (id === 'first' || opts.answersSecond) socket.write(buildResponse(`X-Id: ${id}\r\n`, id))
      else socket.write(opts.surplus)
      if (id === 'first' && opts.answersSecond) setTimeout(() => socket.write(opts.surplus), opts.delayMs)
    })
    const { call, close } = await startTestRelay({ endpoints: [endpoint] })
    try {
      expect((await call({ headers: { 'X-Id': 'first' } })).body).toEqual('first')
      if (opts.answersSecond) await sleep(opts.delayMs + 30)
      return await call({ headers: { 'X-Id': 'second' } })
    } finally {
      close()
    }
  }

  for (const [name, headers] of [['without an id', ''], ['with the id of the earlier request', 'X-Id: first\r\n']] as const) {
    it(`gets its own response if a surplus one ${name} has arrived while the connection was idle`, async () => {
      expect(await callTwice({ surplus: buildResponse(headers, 'no'), delayMs: 30, answersSecond: true })).toEqual(expect.subset({ status: 200, body: 'second' }))
    })

    it(`gets 502 instead of a surplus response ${name} that arrives in place of its own`, async () => {
      expect((await callTwice({ surplus: buildResponse(headers, 'no'), delayMs: 0, answersSecond: false })).status).toEqual(502)
    })
  }
})

describe('a complete response that is followed by other bytes', () => {
  // Guards against a caller that gets the head of such a response with an empty body: the surplus bytes ended the connection before the body was read.
  for (const [name, surplus] of [['that are no response', 'x'.repeat(5_000)], ['of another response', buildSurplus()]] as const) {
    it(`${name} is delivered whole`, async () => {
      const endpoint = await startRawEndpoint('e1', (socket, text) => {
        const id = /X-Id: (\w+)/i.exec(text)?.[1] ?? ''
        socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\ndone${surplus}`)
      })
      const { call, close } = await startTestRelay({ endpoints: [endpoint] })
      const answer = await call().catch(() => undefined)
      close()
      expect(answer).toEqual(expect.subset({ status: 200, body: 'done', broken: false }))
    })
  }

  function buildSurplus (): string {
    return 'HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nno'
  }
})

describe('an endpoint that sends any bytes', () => {
  it('costs its own caller the request and nothing else', async () => {
    const random = createRandom(5)
    const parts = ['HTTP/1.1 200 OK\r\n', 'HTTP/1.1 999 \r\n', 'X-Id: id1\r\n', 'X-Stamp: s\r\n', 'Content-Length: 5\r\n', 'Content-Length: -1\r\n', 'Transfer-Encoding: chunked\r\n', 'Retry-After: \u0000\r\n', 'X-Leaving: 1\r\n', '\r\n', 'ffffffffffffffff\r\n', '5\r\n', 'hello', '\u0000\u0001', ': \r\n', 'HTTP/0.9']
    for (let round = 0; round < 60; round += 1) {
      const mad = await startRawEndpoint('e1', socket => {
        for (let count = random.nextInt(1, 8); count > 0; count -= 1) socket.write(parts[random.nextInt(0, parts.length - 1)] ?? '')
        socket.end()
      })
      const { call, close } = await startTestRelay({ endpoints: [mad], route: { timeoutMs: 300 } })
      const { status, body } = await call()
      close()
      expect([status, status === 200 ? body : '']).toEqual([[200, 502, 504].includes(status) ? status : 502, status === 200 ? 'hello' : ''])
    }
  })
})
