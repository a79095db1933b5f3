import { expect } from 'earl'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { isHealthCheck, startStallingEndpoint, WHOLE_STREAM, writeEvents } from './stallingEndpoint.ts'
import { answerOk, buildLostEndpoint, startEndpoint, startTestRelay } from './testRelay.ts'
import type { CallResult, Endpoint, TestRelay, TestRelayOptions } from './testRelay.ts'
import { startTurnClock } from './turnClock.ts'

startTurnClock()

const STREAM = { kind: 'stream', resumable: true, maxEndpoints: 3, timeoutMs: 6_000 } as const
const IDEMPOTENT = { kind: 'idempotent', resumable: false, maxEndpoints: 3, timeoutMs: 6_000 } as const
const HEADERS = { 'X-Deadline': '5000' }
/** A sound endpoint may fall silent for a second or so. */
const STALL = { afterMs: 100, stallMs: 1_200 }
/** The load that makes requests prefer the endpoint that falls silent. */
const OTHERS_LOAD = { silent: 0, other: 3 }
/** An endpoint that stays silent is replaced this long after it fell silent: it is noticed after 0.6 s. */
const MAX_TAKEOVER_MS = 1_100

async function start (t: TestContext, opts: TestRelayOptions): Promise<TestRelay> {
  const relay = await startTestRelay({ othersLoad: OTHERS_LOAD, ...opts })
  t.after(relay.close)
  return relay
}

/** Another endpoint that could serve the request. */
function startOther (script: Parameters<typeof startEndpoint>[1]): Promise<Endpoint> {
  return startEndpoint('other', (req, res, body) => {
    if (isHealthCheck(req)) res.end()
    else script(req, res, body)
  })
}

/** Requests that an endpoint got, health checks apart. */
const countRequests = ({ seen }: Endpoint): number => seen.filter(({ headers }) => headers['x-id'] !== undefined).length

/** The situations in which nothing can take the place of an attempt. Each gives the relay for a route and a kind of request. */
const WITHOUT_REPLACEMENT: Readonly<Record<string, (t: TestContext, silent: Endpoint, route: TestRelayOptions['route']) => Promise<TestRelay>>> = {
  'there is no other endpoint': async (t, silent, route) => await start(t, { endpoints: [silent], route }),
  'the retries are used up': async (t, silent, route) => {
    const othersLoad = { ...OTHERS_LOAD }
    const failing = await startOther((req, res) => {
      res.writeHead(500, { 'X-Id': String(req.headers['x-id']), 'X-Stamp': 's' })
      res.end()
    })
    const relay = await start(t, { endpoints: [silent, failing], route, retryBudget: { ratio: 0, slack: 0 }, othersLoad })
    othersLoad.silent = 9
    await relay.call({ path: '/p/once', headers: { 'X-Id': 'retried', 'X-Deadline': '1000' } })
    Object.assign(othersLoad, { silent: 0, other: 30 })
    return relay
  },
  'the other endpoints lack the adapter': async (t, silent, route) => {
    const other = await startOther((req, res) => { void writeEvents(req, res) })
    return await start(t, { endpoints: [silent, other], route, resident: { silent: ['a@1'], other: [] } })
  },
  'the host reaches no endpoint and its peers decline': async (t, silent, route) => {
    const peer = await start(t, { endpoints: [buildLostEndpoint('e8'), buildLostEndpoint('e9')] })
    const relay = await start(t, { endpoints: [silent, buildLostEndpoint('other')], route, peers: [peer.peer], othersLoad: { silent: 3, other: 0 } })
    return {
      ...relay,
      call: async call => {
        // The host has trouble with both endpoints, and then finds that it reaches none.
        setTimeout(() => { void relay.call({ path: '/p/once', headers: { 'X-Id': 'troubled', 'X-Deadline': '1000' } }) }, 400)
        return await relay.call(call)
      }
    }
  }
}

async function listEnds ({ lines }: TestRelay): Promise<unknown[]> {
  await sleep(20)
  return lines.filter(({ step, requestId }) => step === 'end' && requestId === 'id1').map(({ status }) => status)
}

const summarize = ({ status, body, broken }: CallResult): unknown => ({ status, body, broken })

describe('an attempt from which nothing is heard', { concurrency: 4 }, () => {
  for (const [situation, startRelay] of Object.entries(WITHOUT_REPLACEMENT)) {
    // Guards against the incident LOST of tescil-hat: an attempt at a silent endpoint was ended before anything was known to take its place, and the caller's connection was cut.
    it(`goes on with its endpoint if it has begun a stream and ${situation}`, async t => {
      const silent = await startStallingEndpoint('silent', STALL)
      const relay = await startRelay(t, silent, STREAM)
      expect(summarize(await relay.call({ path: '/p/x', headers: { ...HEADERS, 'X-Model': 'a' } }))).toEqual({ status: 200, body: WHOLE_STREAM, broken: false })
      expect([await listEnds(relay), relay.counts.filter(count => count.startsWith('cuts'))]).toEqual([[200], []])
    })

    // Guards against the same cause before the first byte: the caller got 502 although its endpoint was about to answer.
    it(`goes on with its endpoint if it has no response yet and ${situation}`, async t => {
      const silent = await startStallingEndpoint('silent', { ...STALL, afterMs: 0 })
      const relay = await startRelay(t, silent, IDEMPOTENT)
      expect(summarize(await relay.call({ path: '/p/once', headers: { ...HEADERS, 'X-Model': 'a' } }))).toEqual({ status: 200, body: 'done at silent', broken: false })
      expect(await listEnds(relay)).toEqual([200])
    })
  }

  it('goes on with its endpoint if it has begun a stream and the other endpoints have another software version', async t => {
    const silent = await startStallingEndpoint('silent', STALL)
    const other = await startOther((req, res) => { void writeEvents(req, res) })
    const relay = await start(t, { endpoints: [silent, other], route: STREAM, softwareVersions: ['v1', 'v2'] })
    expect(summarize(await relay.call({ headers: HEADERS }))).toEqual({ status: 200, body: WHOLE_STREAM, broken: false })
    expect([countRequests(other), await listEnds(relay)]).toEqual([0, [200]])
  })

  it('is replaced without a gap by another endpoint that answers, and then ends at the first one', async t => {
    const silent = await startStallingEndpoint('silent', { ...STALL, stallMs: 3_000, lastWords: 'id: 4\nda' })
    const other = await startOther((req, res) => { void writeEvents(req, res) })
    const relay = await start(t, { endpoints: [silent, other], route: STREAM })
    let lastAt = Date.now()
    let longestPauseMs = 0
    const answer = await relay.call({
      headers: HEADERS,
      onPart: () => {
        longestPauseMs = Math.max(longestPauseMs, Date.now() - lastAt)
        lastAt = Date.now()
      }
    })
    expect(summarize(answer)).toEqual({ status: 200, body: WHOLE_STREAM, broken: false })
    expect([longestPauseMs < MAX_TAKEOVER_MS, countRequests(other), silent.countAborted(), await listEnds(relay)]).toEqual([true, 1, 1, [200]])
    expect(relay.counts.filter(count => count.startsWith('host_ended'))).toEqual(['host_ended_attempts silent,replaced'])
  })

  it('is replaced before its first byte by another endpoint that answers', async t => {
    const silent = await startStallingEndpoint('silent', { afterMs: 0, stallMs: 3_000 })
    const other = await startOther((req, res) => answerOk(req, res))
    const relay = await start(t, { endpoints: [silent, other], route: IDEMPOTENT })
    const startedAt = Date.now()
    expect((await relay.call({ path: '/p/once', headers: HEADERS })).body).toEqual('done')
    expect([Date.now() - startedAt < MAX_TAKEOVER_MS, await listEnds(relay)]).toEqual([true, [200]])
  })

  it('goes on if its replacement fails', async t => {
    const silent = await startStallingEndpoint('silent', STALL)
    const other = await startOther((req, res) => {
      res.writeHead(500, { 'X-Id': String(req.headers['x-id']), 'X-Stamp': 's' })
      res.end()
    })
    const relay = await start(t, { endpoints: [silent, other], route: STREAM })
    expect(summarize(await relay.call({ headers: HEADERS }))).toEqual({ status: 200, body: WHOLE_STREAM, broken: false })
    expect([countRequests(other), await listEnds(relay)]).toEqual([1, [200]])
  })

  it('goes on if it is heard from before its replacement, which then ends at the other endpoint', async t => {
    let aborted = 0
    const silent = await startStallingEndpoint('silent', { ...STALL, stallMs: 800 })
    const other = await startOther((_req, res) => { res.on('close', () => { aborted += 1 }) })
    const relay = await start(t, { endpoints: [silent, other], route: STREAM })
    expect(summarize(await relay.call({ headers: HEADERS }))).toEqual({ status: 200, body: WHOLE_STREAM, broken: false })
    expect([countRequests(other), aborted, silent.countAborted(), await listEnds(relay)]).toEqual([1, 1, 0, [200]])
  })

  it('leaves the caller the replacement if its own endpoint breaks the connection meanwhile', async t => {
    const silent = await startStallingEndpoint('silent', { ...STALL, stallMs: 3_000 })
    const other = await startOther((req, res) => { setTimeout(() => { void writeEvents(req, res) }, 200) })
    const relay = await start(t, { endpoints: [silent, other], route: STREAM })
    setTimeout(silent.close, 900)
    expect(summarize(await relay.call({ headers: HEADERS }))).toEqual({ status: 200, body: WHOLE_STREAM, broken: false })
    expect([countRequests(other), await listEnds(relay)]).toEqual([1, [200]])
  })

  // A request occupies two endpoints for 0.3 s at most.
  it('ends soon if its replacement has the request and has not answered yet', async t => {
    let receivedAt = 0
    const silent = await startStallingEndpoint('silent', { ...STALL, stallMs: 3_000 })
    const other = await startOther((req, res) => {
      receivedAt = Date.now()
      setTimeout(() => { void writeEvents(req, res) }, 800)
    })
    const relay = await start(t, { endpoints: [silent, other], route: STREAM })
    const answer = relay.call({ headers: HEADERS })
    while (silent.countAborted() === 0) await sleep(5)
    expect([receivedAt > 0, Date.now() - receivedAt < 600]).toEqual([true, true])
    expect(summarize(await answer)).toEqual({ status: 200, body: WHOLE_STREAM, broken: false })
    expect(countRequests(other)).toEqual(1)
  })

  it('is replaced without a gap by a peer', async t => {
    const silent = await startStallingEndpoint('silent', { ...STALL, stallMs: 3_000, lastWords: 'id: 4\nda' })
    const other = await startOther((req, res) => { void writeEvents(req, res) })
    const peer = await start(t, { endpoints: [other], route: STREAM })
    const relay = await start(t, { endpoints: [silent], route: STREAM, peers: [peer.peer] })
    expect(summarize(await relay.call({ headers: HEADERS }))).toEqual({ status: 200, body: WHOLE_STREAM, broken: false })
    expect([countRequests(other), silent.countAborted(), await listEnds(relay)]).toEqual([1, 1, [200]])
  })

  it('is kept beside a peer that has not answered, and goes on', async t => {
    let aborted = 0
    const silent = await startStallingEndpoint('silent', STALL)
    const other = await startOther((_req, res) => { res.on('close', () => { aborted += 1 }) })
    const peer = await start(t, { endpoints: [other], route: STREAM })
    const relay = await start(t, { endpoints: [silent], route: STREAM, peers: [peer.peer] })
    expect(summarize(await relay.call({ headers: HEADERS }))).toEqual({ status: 200, body: WHOLE_STREAM, broken: false })
    expect([countRequests(other), aborted, silent.countAborted(), await listEnds(relay)]).toEqual([1, 1, 0, [200]])
  })

  it('is not sent to more endpoints than the route allows', async t => {
    const silent = await startStallingEndpoint('silent', STALL)
    const failing = await Promise.all(['other', 'third'].map(id => startEndpoint(id, (req, res) => {
      if (!isHealthCheck(req)) res.writeHead(500, { 'X-Id': String(req.headers['x-id']), 'X-Stamp': 's' })
      res.end()
    })))
    const relay = await start(t, { endpoints: [silent, ...failing], route: { ...STREAM, maxEndpoints: 2 }, othersLoad: { ...OTHERS_LOAD, third: 3 } })
    expect(summarize(await relay.call({ headers: HEADERS }))).toEqual({ status: 200, body: WHOLE_STREAM, broken: false })
    expect(failing.map(countRequests).reduce((sum, count) => sum + count)).toEqual(1)
  })

  it('ends with its replacement when the caller leaves', async t => {
    let aborted = 0
    const silent = await startStallingEndpoint('silent', { ...STALL, stallMs: 3_000 })
    const other = await startOther((_req, res) => { res.on('close', () => { aborted += 1 }) })
    const relay = await start(t, { endpoints: [silent, other], route: STREAM })
    await relay.call({ headers: HEADERS, onPart: (_part, abort) => { setTimeout(abort, 850) } }).catch(() => undefined)
    await sleep(100)
    expect([countRequests(other), aborted, silent.countAborted(), await listEnds(relay)]).toEqual([1, 1, 1, ['gone']])
  })

  it('is followed by no other of a request that may not be repeated', async t => {
    const silent = await startStallingEndpoint('silent', STALL)
    const other = await startOther((req, res) => { void writeEvents(req, res) })
    const relay = await start(t, { endpoints: [silent, other], route: { ...STREAM, resumable: false } })
    expect(summarize(await relay.call({ headers: HEADERS }))).toEqual({ status: 200, body: WHOLE_STREAM, broken: false })
    expect(countRequests(other)).toEqual(0)
  })

  // Guards against an attempt that goes on after its caller has got an answer or was cut: nothing else ends it before its endpoint does.
  for (const [name, path, afterMs, expected] of [
    ['it has no response yet', '/p/once', 0, { status: 500, broken: false, ends: [] }],
    ['it has begun a stream', '/p/x', STALL.afterMs, { status: 200, broken: true, ends: ['cut'] }]
  ] as const) {
    it(`ends with its request if the search for a replacement fails inside the relay and ${name}`, async t => {
      const silent = await startStallingEndpoint('silent', { afterMs, stallMs: 4_000 })
      const other = await startOther((req, res) => { void writeEvents(req, res) })
      const othersLoad = {
        silent: 0,
        get other (): number {
          if (silent.seen.length > 0) throw new Error('no load')
          return 3
        }
      }
      const relay = await start(t, { endpoints: [silent, other], route: STREAM, othersLoad })
      const { status, broken } = await relay.call({ path, headers: HEADERS })
      await sleep(300)
      expect({ status, broken, ends: await listEnds(relay) }).toEqual({ ...expected, ends: [...expected.ends] })
      expect([silent.countAborted(), countRequests(other), relay.lines.filter(({ step }) => step === 'relay').length]).toEqual([1, 0, 1])
    })
  }
})
