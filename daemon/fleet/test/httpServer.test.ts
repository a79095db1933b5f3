import { expect } from 'earl'
import { once } from 'node:events'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { after, describe, it } from 'node:test'
import { openHttpServer } from '../src/httpServer.ts'

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
/** Past the idle limit of 10 s and the margin of 1 s. */
const PAUSE_MS = 12_000

/** Lets the process stand still. */
function pause (ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, ms)
}

describe('openHttpServer', () => {
  let server: Server | undefined
  let socket: Socket | undefined
  after(() => {
    socket?.destroy()
    server?.close()
  })

  // Guards against answers to operators and to readiness checks that are lost after a pause: the idle limit expired before the request was read.
  it('answers a request that arrived on an idle connection during a pause past its limit', async () => {
    let onIdle: () => void = () => undefined
    const idle = new Promise<void>(resolve => { onIdle = resolve })
    server = await openHttpServer('127.0.0.1:0', (_req, res) => { res.once('close', onIdle).end('ok') })
    const opened = connect((server.address() as AddressInfo).port, '127.0.0.1')
    socket = opened
    opened.on('error', () => undefined)
    let text = ''
    const countAnswers = (): number => text.split('200 OK').length - 1
    const ended = new Promise<void>(resolve => {
      opened.once('close', resolve)
      opened.on('data', part => {
        text += String(part)
        if (countAnswers() === 2) resolve()
      })
    })
    opened.write(REQUEST)
    await Promise.all([once(opened, 'data'), idle])
    setImmediate(() => {
      opened.write(REQUEST)
      pause(PAUSE_MS)
    })
    await ended
    expect(countAnswers()).toEqual(2)
  })
})
