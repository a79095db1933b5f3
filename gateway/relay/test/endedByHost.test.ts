import { expect } from 'earl'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { formatEvent, formatHead, isHealthCheck, WHOLE_STREAM, writeEvents } from './stallingEndpoint.ts'
import { answerOk, buildLostEndpoint, startEndpoint, startTestRelay } from './testRelay.ts'
import type { TestRelay, TestRelayOptions } from './testRelay.ts'
import { startTurnClock } from './turnClock.ts'

startTurnClock()

const RESUMABLE = { kind: 'stream', resumable: true, maxEndpoints: 4, timeoutMs: 6_000 } as const
const HEADERS = { 'X-Deadline': '5000' }

async function start (t: TestContext, opts: TestRelayOptions): Promise<TestRelay> {
  const relay = await startTestRelay(opts)
  t.after(relay.close)
  return relay
}

describe('a stream that has begun here', () => {
  // Guards against a stream that ends although an endpoint could go on with it: a refusal says that the peer has not run it, and nothing of other endpoints.
  it('goes on at an endpoint of this host if a peer refuses it', async t => {
    const first = await startEndpoint('e1', (req, res) => {
      res.writeHead(200, formatHead(req))
      res.write(formatEvent(1))
      setTimeout(() => req.socket.destroy(), 50)
    })
    const other = await startEndpoint('e4', (req, res) => {
      if (isHealthCheck(req)) res.end()
      else void writeEvents(req, res)
    })
    const peer = await start(t, { endpoints: [], route: RESUMABLE })
    const { call, lines, counts } = await start(t, { endpoints: [first, buildLostEndpoint('e2'), buildLostEndpoint('e3'), other], route: RESUMABLE, peers: [peer.peer], othersLoad: { e1: 0, e2: 2, e3: 4, e4: 30 } })
    expect(await call({ headers: HEADERS })).toEqual(expect.subset({ status: 200, body: WHOLE_STREAM, broken: false }))
    expect([lines.filter(({ step }) => step === 'forward').length, counts.filter(count => count.startsWith('forwards'))]).toEqual([1, ['forwards refused']])
  })

  // Guards against a stream that is cut while the host finds out whether two failures within ms are its own path or the endpoints.
  it('goes on at another endpoint if two have failed at once', async t => {
    const first = await startEndpoint('e1', (req, res) => {
      res.writeHead(200, formatHead(req))
      res.write(formatEvent(1))
      setTimeout(() => req.socket.destroy(), 50)
    })
    const other = await startEndpoint('e4', (req, res) => {
      if (isHealthCheck(req)) res.end()
      else void writeEvents(req, res)
    })
    const { call } = await start(t, { endpoints: [first, buildLostEndpoint('e2'), other], route: RESUMABLE, othersLoad: { e1: 0, e2: 2, e4: 30 } })
    expect(await call({ headers: HEADERS })).toEqual(expect.subset({ status: 200, body: WHOLE_STREAM, broken: false }))
  })

  // Guards against a stream that is cut for a new request: only idle connections to an endpoint are closed when the paths to it are in doubt.
  it('goes on at an endpoint whose idle connections are closed because its path is in doubt', async t => {
    const ports = new Map<string, number | undefined>()
    const endpoint = await startEndpoint('e1', (req, res) => {
      ports.set(String(req.headers['x-id']), req.socket.remotePort)
      if (req.headers['x-id'] !== 'id1') {
        answerOk(req, res)
        return
      }
      res.writeHead(200, formatHead(req))
      res.write(formatEvent(1))
      setTimeout(() => res.end(formatEvent(2)), 1_200)
    })
    const othersLoad = { e1: 0, e2: 9, e3: 20 }
    const { call } = await start(t, { endpoints: [endpoint, buildLostEndpoint('e2'), buildLostEndpoint('e3')], route: { ...RESUMABLE, resumable: false }, othersLoad })
    const stream = call({ headers: HEADERS })
    await sleep(100)
    Object.assign(othersLoad, { e1: 10, e2: 0, e3: 60 })
    // One endpoint after the other fails, with a response of the sound one in between, so that the host is not taken for cut off.
    for (const [id, waitMs] of [['id2', 250], ['id3', 350], ['id4', 0]] as const) {
      expect((await call({ headers: { ...HEADERS, 'X-Id': id } })).status).toEqual(200)
      Object.assign(othersLoad, { e3: 0 })
      await sleep(waitMs)
    }
    expect(ports.get('id4') === ports.get('id2')).toEqual(false)
    expect(await stream).toEqual(expect.subset({ status: 200, body: formatEvent(1) + formatEvent(2), broken: false }))
  })
})

describe('a request that is in progress when the host stops', () => {
  // Guards against a cut by the host that is logged as a caller who left.
  it('is reported as cut by it', async t => {
    const endpoint = await startEndpoint('e1', (req, res) => {
      res.writeHead(200, formatHead(req))
      res.write(formatEvent(1))
    })
    const { call, relay, lines } = await start(t, { endpoints: [endpoint], route: RESUMABLE })
    await call({
      headers: HEADERS,
      onPart: (_part, abort) => {
        relay.drain()
        relay.close()
        abort()
      }
    }).catch(() => undefined)
    await sleep(50)
    expect(lines.filter(({ step }) => step === 'end').map(({ status, cause }) => [status, cause])).toEqual([['cut', 'stop']])
  })

  it('gets an answer if its response has not begun', async t => {
    const endpoint = await startEndpoint('e1', () => undefined)
    const { call, relay } = await start(t, { endpoints: [endpoint] })
    const answer = call()
    await sleep(100)
    relay.close()
    expect((await answer).status).toEqual(502)
  })
})
