/** Requests that a caller sends on one connection before the first is answered. */
import { expect } from 'earl'
import { once } from 'node:events'
import { afterEach, describe, it } from 'node:test'
import { startEndpoint, startTestRelay } from './testRelay.ts'
import type { TestRelay } from './testRelay.ts'

const BODY_BYTES = 300_000
/** The rules of retries give a host half a second to notice that a caller has left. */
const NOTICE_MS = 500

const running: TestRelay[] = []
afterEach(() => { for (const relay of running.splice(0)) relay.close() })

function buildRequest (id: string, bodyBytes: number): string {
  return `POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: ${id}\r\nContent-Length: ${bodyBytes}\r\n\r\n${'a'.repeat(bodyBytes)}`
}

describe('a request behind another one on its connection', () => {
  // Guards against endpoints that work on for a caller who has left: what is sent behind the request keeps the close of the connection from being read.
  it('does not hide that its caller has left', async () => {
    let onBegun: (() => void) | undefined
    const begun = new Promise<void>(resolve => { onBegun = resolve })
    let ended: Promise<unknown> | undefined
    const endpoint = await startEndpoint('e1', req => {
      ended = once(req.socket, 'close')
      onBegun?.()
    })
    const relay = await startTestRelay({ endpoints: [endpoint], route: { timeoutMs: 10_000 } })
    running.push(relay)
    const socket = relay.dial()
    socket.write(buildRequest('id1', 1) + buildRequest('id2', BODY_BYTES))
    await begun
    socket.destroy()
    const isNoticed = await Promise.race([ended?.then(() => true), new Promise(resolve => { setTimeout(resolve, NOTICE_MS, false) })])
    expect(isNoticed).toEqual(true)
  })
})
