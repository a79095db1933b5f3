import { expect } from 'earl'
import { once } from 'node:events'
import { afterEach, describe, it } from 'node:test'
import { UnansweredReason } from '@catkinferry/gateway.relay'
import { waitFor } from '@catkinferry/testing.fakes'
import { answerOk, startEndpoint, startTestRelay } from './testRelay.ts'
import type { TestRelay, TestRelayOptions } from './testRelay.ts'

const STREAM = { kind: 'stream' } as const

const running: TestRelay[] = []
afterEach(() => { for (const relay of running.splice(0)) relay.close() })

async function start (opts: TestRelayOptions): Promise<TestRelay> {
  const relay = await startTestRelay(opts)
  running.push(relay)
  return relay
}

/** Guards against requests that end without an answer when their host stops. */
describe('a host that stops', () => {
  it('answers the next request on a connection whose response had begun with Connection: close, and forwards no later one', async () => {
    const endpoint = await startEndpoint('e1', (req, res) => {
      res.writeHead(200, { 'X-Id': String(req.headers['x-id']), 'X-Stamp': 's' })
      res.write('first')
      setTimeout(() => res.end('last'), 80)
    })
    const { relay, dial, lines } = await start({ endpoints: [endpoint], route: STREAM })
    const socket = dial()
    let text = ''
    const ended = once(socket, 'close').then(() => true)
    socket.on('data', chunk => {
      text += String(chunk)
      if (text.includes('last')) socket.write(request)
    })
    const request = 'POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: id1\r\nContent-Length: 0\r\n\r\n'
    socket.write(request)
    while (!text.includes('first')) await once(socket, 'data')
    relay.drain()
    const hasEnded = await Promise.race([ended, new Promise<boolean>(resolve => setTimeout(resolve, 5_000, false))])
    expect([text.split('last\r\n0\r\n\r\n').length - 1, text.toLowerCase().split('connection: close').length - 1, hasEnded, endpoint.seen.length]).toEqual([2, 1, true, 2])
    // The caller sends a third request behind the last response.
    expect(lines.filter(({ reason }) => reason === UnansweredReason.BEHIND_LAST).map(({ step, requestId }) => [step, requestId])).toEqual([['end', 'id1']])
  })

  // Guards against a request without an answer that no line of its host names: its connection closed before it was taken.
  it('logs requests whose connection closes while they wait for routes, a limited number of them', async () => {
    const finishWaits: Array<() => void> = []
    const { dial, lines, counts } = await start({ endpoints: [], waitUntilReady: () => new Promise(resolve => { finishWaits.push(resolve) }) })
    const sockets = Array.from({ length: 50 }, dial)
    for (const socket of sockets) socket.write('GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: id7\r\n\r\n')
    await waitFor('all requests wait for routes', () => finishWaits.length >= sockets.length)
    for (const socket of sockets) socket.destroy()
    await Promise.all(sockets.map(socket => once(socket, 'close')))
    await new Promise(resolve => setTimeout(resolve, 50))
    for (const finishWait of finishWaits) finishWait()
    await waitFor('all requests are counted', () => counts.filter(count => count === 'unanswered_requests closed').length >= sockets.length)
    const logged = lines.filter(({ reason }) => reason === UnansweredReason.CLOSED)
    expect([logged.length < sockets.length, logged[0]?.requestId]).toEqual([true, 'id7'])
  })

  it('answers requests that it has sent to no endpoint before it ends', async () => {
    const { relay, call } = await start({ endpoints: [], resident: {}, requestLoad: () => new Promise(() => undefined) })
    const answer = call({ headers: { 'X-Model': 'a' } })
    await new Promise(resolve => setTimeout(resolve, 50))
    relay.endRemaining()
    const { status, body } = await answer
    expect([status, (JSON.parse(body) as { ran: string }).ran]).toEqual([503, 'no'])
  })

  it('answers requests that still wait for routes before it ends, and sends them nowhere', async () => {
    const endpoint = await startEndpoint('e1', (req, res) => answerOk(req, res))
    let finishWait = (): void => undefined
    const { relay, call } = await start({ endpoints: [endpoint], waitUntilReady: () => new Promise(resolve => { finishWait = resolve }) })
    const answer = call()
    await new Promise(resolve => setTimeout(resolve, 50))
    relay.endRemaining()
    finishWait()
    expect([(await answer).status, endpoint.seen.length]).toEqual([503, 0])
  })
})
