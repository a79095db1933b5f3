import { expect } from 'earl'
import { afterEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { answerOk, buildLostEndpoint, startEndpoint, startRawEndpoint, startTestRelay } from './testRelay.ts'
import type { Endpoint, TestRelay, TestRelayOptions } from './testRelay.ts'

const STREAM = { kind: 'stream', resumable: false, maxEndpoints: 1 } as const
const NON_IDEMPOTENT = { kind: 'nonIdempotent', maxEndpoints: 1 } as const

const started: TestRelay[] = []
const closeLater: Endpoint[] = []
afterEach(() => { for (const { close } of [...started.splice(0), ...closeLater.splice(0)]) close() })

async function start (opts: TestRelayOptions): Promise<TestRelay> {
  const relay = await startTestRelay(opts)
  started.push(relay)
  return relay
}

const IDS = ['e1', 'e2', 'e3']

describe('a request of a host that reaches no endpoint', () => {
  // Guards against the incident RECOVER of aqx-ops: such a host refused its callers although other hosts could serve them.
  it('is served by a peer, also on a route without repeats, with what is left of its deadline', async () => {
    const endpoint = await startEndpoint('e1', (req, res) => answerOk(req, res))
    const peer = await start({ endpoints: [endpoint], route: NON_IDEMPOTENT })
    const { call, lines } = await start({ endpoints: IDS.map(buildLostEndpoint), route: NON_IDEMPOTENT, peers: [peer.peer] })
    const answers = [await call(), await call({ headers: { 'X-Id': 'id2' } })]
    expect(answers.map(({ status, body }) => [status, body])).toEqual([[200, 'done'], [200, 'done']])
    expect(endpoint.seen.map(({ body, headers }) => [body, headers['x-id'], Number(headers['x-left']) <= 1_500, headers['catkinferry-forwarded']])).toEqual([['ask', 'id1', true, undefined], ['ask', 'id2', true, undefined]])
    expect(lines.filter(({ step }) => step === 'forward').length).toEqual(2)
  })

  it('gets the events of a stream as they arrive, and ends at the endpoint when the caller leaves', async () => {
    let onGone: (isGone: boolean) => void = () => undefined
    const gone = new Promise<boolean>(resolve => { onGone = resolve })
    const endpoint = await startEndpoint('e1', (req, res) => {
      res.writeHead(200, { 'X-Id': String(req.headers['x-id']), 'X-Stamp': 's', 'Content-Type': 'text/event-stream' })
      res.write('id: 1\ndata: a\n\n')
      res.on('close', () => onGone(!res.writableFinished))
    })
    const peer = await start({ endpoints: [endpoint], route: STREAM })
    const { call } = await start({ endpoints: IDS.map(buildLostEndpoint), route: STREAM, peers: [peer.peer] })
    await call({ onPart: (_part, abort) => abort() })
    expect(await Promise.race([gone, sleep(1_000).then(() => false)])).toEqual(true)
  })

  // Guards against a caller that gets the 408 of a peer's HTTP server, found by the soak: a forwarded request had arrived late.
  it('is served by another peer if the HTTP server of the first one timed out', async () => {
    const late = await startEndpoint('late', (_req, res) => res.writeHead(408, { Connection: 'close' }).end())
    const endpoint = await startEndpoint('e1', (req, res) => answerOk(req, res))
    const peer = await start({ endpoints: [endpoint], route: NON_IDEMPOTENT })
    const { call } = await start({ endpoints: IDS.map(buildLostEndpoint), route: NON_IDEMPOTENT, peers: [{ ...peer.peer, address: late.address }, peer.peer] })
    expect((await call()).status).toEqual(200)
    const { call: callLate } = await start({ endpoints: IDS.map(buildLostEndpoint), route: NON_IDEMPOTENT, peers: [{ ...peer.peer, address: late.address }] })
    expect((await callLate()).status).toEqual(503)
    late.close()
  })

  // Guards against 502 for a request that may be repeated when the host that was asked had just died: others were not asked.
  it('is served by another peer if the first ended without a response, only where it may be repeated', async () => {
    for (const [route, status] of [[{ kind: 'idempotent', maxEndpoints: 2 }, 200], [{ kind: 'idempotent', maxEndpoints: 1 }, 502], [{ ...NON_IDEMPOTENT, maxEndpoints: 2 }, 502]] as const) {
      const dead = await startRawEndpoint('dead', socket => socket.destroy())
      closeLater.push(dead)
      const endpoint = await startEndpoint('e1', (req, res) => answerOk(req, res))
      const peer = await start({ endpoints: [endpoint], route })
      const { call } = await start({ endpoints: IDS.map(buildLostEndpoint), route, peers: [{ ...peer.peer, address: dead.address }, { ...peer.peer, region: 'further' }] })
      expect([(await call()).status, endpoint.seen.length]).toEqual([status, status === 200 ? 1 : 0])
    }
  })

  /** A peer that is killed once its endpoint `killedAt` has the request, and one further away; both run requests at endpoints of their own. */
  async function callAtKilledPeer ({ maxEndpoints, killedAt }: { readonly maxEndpoints: number, readonly killedAt: string }): Promise<{ readonly status: number, readonly ran: readonly string[] }> {
    const route = { kind: 'idempotent', maxEndpoints } as const
    const ran: string[] = []
    const first: TestRelay[] = []
    const startOne = (id: string): Promise<Endpoint> => startEndpoint(id, (req, res) => {
      ran.push(id)
      if (id === killedAt) first[0]?.close()
      else if (id === 'e1') req.socket.destroy()
      else answerOk(req, res)
    })
    first.push(await start({ endpoints: [await startOne('e1'), await startOne('e2')], route, othersLoad: { e1: 0, e2: 3 } }))
    const further = await start({ endpoints: [await startOne('e3')], route })
    const peers = [...first.map(({ peer }) => peer), { ...further.peer, region: 'further' }]
    const { call } = await start({ endpoints: IDS.map(buildLostEndpoint), route, peers })
    const { status } = await call()
    return { status, ran }
  }

  // Guards against more endpoints than the route allows: a peer that was killed counted as one endpoint, whatever it had used.
  it('runs at no more endpoints than its route allows if a peer is killed after it has used several', async () => {
    expect(await callAtKilledPeer({ maxEndpoints: 2, killedAt: 'e2' })).toEqual({ status: 502, ran: ['e1', 'e2'] })
  })

  it('is served by another peer if the first is killed at its first endpoint', async () => {
    expect(await callAtKilledPeer({ maxEndpoints: 2, killedAt: 'e1' })).toEqual({ status: 200, ran: ['e1', 'e3'] })
  })

  it('is repeated by its peer at all endpoints that its route allows', async () => {
    expect(await callAtKilledPeer({ maxEndpoints: 2, killedAt: 'none' })).toEqual({ status: 200, ran: ['e1', 'e2'] })
  })

  it('is refused at once if its peers reach no endpoint either, and is never forwarded twice', async () => {
    const peers: TestRelayOptions['peers'] = []
    const second = await start({ endpoints: IDS.map(buildLostEndpoint), peers })
    const first = await start({ endpoints: IDS.map(buildLostEndpoint), peers: [second.peer] })
    ;(peers as Array<typeof first.peer>).push(first.peer)
    const startedAt = Date.now()
    const answer = await first.call()
    expect([answer.status, Date.now() - startedAt < 1_000]).toEqual([503, true])
    expect(second.lines.filter(({ step }) => step === 'forward')).toEqual([])
  })

  it('is served by another peer if the first has an older route table, stops or is gone', async () => {
    const endpoint = await startEndpoint('e1', (req, res) => answerOk(req, res))
    const outdated = await start({ endpoints: [endpoint], routesVersion: 1 })
    const stopping = await start({ endpoints: [endpoint], routesVersion: 2 })
    stopping.relay.drain()
    const sound = await start({ endpoints: [endpoint], routesVersion: 2 })
    for (const bad of [outdated.peer, stopping.peer]) {
      const { call } = await start({ endpoints: IDS.map(buildLostEndpoint), routesVersion: 2, peers: [bad, { ...sound.peer, region: 'far' }] })
      expect((await call()).status).toEqual(200)
    }
    expect(endpoint.seen.length).toEqual(2)
  })

  /** A stream whose first endpoint breaks off after an event, at a host that reaches no other; the first of its peers has a newer route table. */
  async function callAtNewerPeer (newer: Pick<TestRelayOptions, 'pool' | 'route'>): Promise<readonly [string, boolean]> {
    const broken = await startRawEndpoint('e1', (socket, text) => {
      const id = /x-id: (\S+)/i.exec(text)?.[1] ?? ''
      socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n`, () => socket.resetAndDestroy())
    })
    const endpoint = await startEndpoint('e4', (req, res) => {
      res.writeHead(200, { 'X-Id': String(req.headers['x-id']), 'X-Stamp': 's', 'Content-Type': 'text/event-stream' })
      res.end('id: 2\ndata: b\n\n')
    })
    const route = { kind: 'stream', resumable: true, maxEndpoints: 3 } as const
    const first = await start({ endpoints: [endpoint], route: { ...route, ...newer.route }, pool: newer.pool, routesVersion: 2 })
    const second = await start({ endpoints: [endpoint], route })
    const { call } = await start({ endpoints: [broken, ...['e2', 'e3'].map(buildLostEndpoint)], othersLoad: { e1: 0, e2: 3, e3: 3 }, route, peers: [first.peer, { ...second.peer, region: 'far' }] })
    const { body, broken: isBroken } = await call()
    return [body, isBroken]
  }

  // Guards against streams that are cut beside a change of the configuration: a peer that had the change, and no longer the service that began the stream, answered 500.
  it('goes on at another peer if the first no longer has the service that began it', async () => {
    expect(await callAtNewerPeer({ pool: 'other' })).toEqual(['id: 1\ndata: a\n\nid: 2\ndata: b\n\n', false])
  })

  // Guards against streams that are cut beside a change of the configuration: a peer that had the change answered 404, and no other was asked.
  it('goes on at another peer if the first no longer has the route that it came by', async () => {
    expect(await callAtNewerPeer({ route: { pathPrefix: '/other/' } })).toEqual(['id: 1\ndata: a\n\nid: 2\ndata: b\n\n', false])
  })

  it('gets the refusal of a peer that serves, with its time to come back', async () => {
    const endpoint = await startEndpoint('e1', (req, res) => answerOk(req, res))
    const peer = await start({ endpoints: [endpoint], resident: { e1: [] } })
    const { call } = await start({ endpoints: IDS.map(buildLostEndpoint), resident: { e1: [], e2: [], e3: [] }, peers: [peer.peer] })
    await call()
    const answer = await call({ headers: { 'X-Model': 'a' } })
    expect([answer.status, answer.headers['retry-after'], answer.headers['catkinferry-outcome']]).toEqual([503, '0.100', undefined])
  })

  it('is not repeated after a peer may have run it', async () => {
    let arrivals = 0
    const endpoint = await startEndpoint('e1', req => {
      arrivals += 1
      req.socket.destroy()
    })
    const peers = [await start({ endpoints: [endpoint], route: NON_IDEMPOTENT }), await start({ endpoints: [endpoint], route: NON_IDEMPOTENT })]
    const { call } = await start({ endpoints: IDS.map(buildLostEndpoint), route: NON_IDEMPOTENT, peers: peers.map(({ peer }) => peer) })
    expect([(await call()).status, arrivals]).toEqual([502, 1])
  })

  it('is served here again once a probe has reached an endpoint', async () => {
    const lost = IDS.map(buildLostEndpoint)
    const endpoint = await startEndpoint('e1', (req, res) => answerOk(req, res))
    const peer = await start({ endpoints: [endpoint] })
    const { call, lines } = await start({ endpoints: [...lost.slice(1), endpoint], peers: [peer.peer], othersLoad: { e1: 3 } })
    for (let count = 0; count < 3; count += 1) await call({ headers: { 'X-Id': `id${count}` } })
    await sleep(700)
    lines.length = 0
    expect([(await call()).status, lines.filter(({ step }) => step === 'forward').length]).toEqual([200, 0])
  })
})

describe('what a host reports of endpoints that it does not reach', () => {
  // Guards against the incident RECOVER of aqx-ops: what a cut host saw made sound endpoints suspect for all hosts.
  it('is nothing while it hears from none', async () => {
    const { call, health } = await start({ endpoints: IDS.map(buildLostEndpoint) })
    for (let count = 0; count < 4; count += 1) await call({ headers: { 'X-Id': `id${count}` } })
    await sleep(300)
    expect(health).toEqual([])
  })

  it('is that they are unreachable once another has been heard from', async () => {
    const endpoint = await startEndpoint('e4', (req, res) => answerOk(req, res))
    const { call, health } = await start({ endpoints: [...['e1'].map(buildLostEndpoint), endpoint], othersLoad: { e1: 0, e4: 3 } })
    await call()
    await sleep(100)
    await call({ headers: { 'X-Id': 'id2' } })
    expect(health).toEqual(['e1 unreachable'])
  })
})
