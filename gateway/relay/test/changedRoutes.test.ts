/** Changes of the configuration while a request that has arrived whole waits or runs: each must end with an answer or a refusal. */
import { expect } from 'earl'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { afterEach, describe, it } from 'node:test'
import type { RouteTable } from '@catkinferry/core.types'
import type { LoadAnswer } from '@catkinferry/fleet.directory'
import { waitFor } from '@catkinferry/testing.fakes'
import { answerOk, buildAccount, buildLostEndpoint, startEndpoint, startRawEndpoint, startTestRelay } from './testRelay.ts'
import type { Call, Endpoint, TestRelay, TestRelayOptions } from './testRelay.ts'

const LIMITS: RouteTable['limits'] = { maxHeaderBytes: 10_000, maxBodyBytes: 1_000_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 }
const RETRIED = { kind: 'idempotent', maxEndpoints: 2 } as const
const KEY = { 'X-Key': 'a-key' }

const started: TestRelay[] = []
const closeLater: Endpoint[] = []
afterEach(() => { for (const { close } of [...started.splice(0), ...closeLater.splice(0)]) close() })

async function start (opts: TestRelayOptions): Promise<TestRelay> {
  const relay = await startTestRelay(opts)
  started.push(relay)
  return relay
}

/** Endpoints that hold each request until `release` is called, which lets `answer` answer it. */
async function startHolding (id: string, answer: (req: IncomingMessage, res: ServerResponse) => void = answerOk): Promise<Endpoint & { readonly release: () => void, readonly waitForRequest: () => Promise<void> }> {
  let release = (): void => undefined
  let begin = (): void => undefined
  const released = new Promise<void>(resolve => { release = resolve })
  const begun = new Promise<void>(resolve => { begin = resolve })
  const endpoint = await startEndpoint(id, (req, res) => {
    begin()
    void released.then(() => answer(req, res))
  })
  return { ...endpoint, release, waitForRequest: () => begun }
}

const fail = (_req: IncomingMessage, res: ServerResponse): void => { res.writeHead(500).end() }

/** What a newer configuration may take from under a request that runs. */
const CHANGES: Readonly<Record<string, (relay: TestRelay) => void>> = {
  'its route goes': ({ changeTable }) => changeTable({ routes: [] }),
  'its service goes': ({ changeTable }) => changeTable({ routes: [], pools: [] }),
  'the body limit becomes 0': ({ changeTable }) => changeTable({ limits: { ...LIMITS, maxBodyBytes: 0 } }),
  'all limits become negative': ({ changeTable }) => changeTable({ limits: { maxHeaderBytes: -1, maxBodyBytes: -1, headerTimeoutMs: -1, idleTimeoutMs: -1 } }),
  'its service may have one connection': ({ changeTable }) => changeTable({ pools: [{ name: 'pool', healthPath: '/', maxConnections: 1 }] })
}

/** Guards against a request that arrived whole and ended with neither an answer nor a refusal beside a change of the configuration. */
describe('a request that has arrived whole', () => {
  for (const [name, change] of Object.entries(CHANGES)) {
    it(`is answered by its next endpoint if ${name} between two attempts`, async () => {
      const first = await startHolding('e1', fail)
      const second = await startEndpoint('e2', answerOk)
      const relay = await start({ endpoints: [first, second], othersLoad: { e1: 0, e2: 3 }, route: RETRIED })
      const answer = relay.call()
      await first.waitForRequest()
      change(relay)
      first.release()
      expect([(await answer).status, second.seen.length]).toEqual([200, 1])
    })
  }

  for (const [name, left, status] of [['one endpoint', ['e1'], 500], ['no endpoint', [], 500]] as const) {
    it(`gets what the first attempt came to if its service has ${name} left after that`, async () => {
      const first = await startHolding('e1', fail)
      const second = await startEndpoint('e2', answerOk)
      const relay = await start({ endpoints: [first, second], othersLoad: { e1: 0, e2: 3 }, route: RETRIED })
      const answer = relay.call()
      await first.waitForRequest()
      relay.changeEndpoints([first].filter(({ id }) => left.some(kept => kept === id)))
      first.release()
      expect([(await answer).status, second.seen.length]).toEqual([status, 0])
    })
  }

  for (const [name, answered, status] of [
    ['the engine that was given is gone', { kind: 'given', endpoint: 'e1', adapterKey: 'm/a@1' }, 503],
    ['the load is refused', { kind: 'refused', reason: 'gone', retryAfterMs: 100 }, 503]
  ] as const) {
    it(`is refused if its service loses its last endpoint while it waits for an adapter, and ${name}`, async () => {
      const answers: Array<(answer: LoadAnswer) => void> = []
      const engine = await startEndpoint('e1', answerOk)
      let asked = (): void => undefined
      const hasAsked = new Promise<void>(resolve => { asked = resolve })
      const requestLoad = (): Promise<LoadAnswer> => answers.length > 0
        ? Promise.resolve({ kind: 'refused', reason: 'gone', retryAfterMs: 100 })
        : new Promise(resolve => {
          answers.push(resolve)
          asked()
        })
      const relay = await start({ endpoints: [engine], resident: {}, requestLoad })
      const answer = relay.call({ headers: { 'X-Model': 'a' } })
      await hasAsked
      relay.changeEndpoints([])
      answers[0]?.(answered)
      expect([(await answer).status, engine.seen.length]).toEqual([status, 0])
    })
  }

  it('is served if its account goes while it waits for an adapter', async () => {
    let accounts = [buildAccount('a')]
    const engine = await startEndpoint('e1', answerOk)
    const { call } = await start({
      endpoints: [engine],
      resident: {},
      accounts: () => accounts,
      requestLoad: async () => {
        accounts = []
        return { kind: 'given', endpoint: 'e1', adapterKey: 'm/a@1' }
      }
    })
    expect((await call({ headers: { ...KEY, 'X-Model': 'a' } })).status).toEqual(200)
  })

  it('is read by the body limit in force when it came, and by the new one if it came later', async () => {
    const first = await startHolding('e1')
    const relay = await start({ endpoints: [first] })
    const answer = relay.call()
    await first.waitForRequest()
    for (const maxBodyBytes of [0, -1]) {
      relay.changeTable({ limits: { ...LIMITS, maxBodyBytes } })
      expect((await relay.call()).status).toEqual(413)
    }
    first.release()
    expect([(await answer).status, (await relay.call({ method: 'GET', body: '' })).status]).toEqual([200, 200])
  })

  // More requests than the endpoint may have connections wait in the pool of the former address.
  for (const isClosed of [false, true]) {
    it(`is answered if the address of its endpoint changes while it waits for a connection${isClosed ? ', and the former one is gone' : ''}`, async () => {
      const former = await startHolding('e1')
      const next = await startEndpoint('e1', answerOk)
      closeLater.push(next)
      const relay = await start({ endpoints: [former], maxConnections: 4, route: RETRIED })
      const answers = Array.from({ length: 7 }, () => relay.call())
      await former.waitForRequest()
      await waitFor('all connections are in use', () => former.seen.length >= 4)
      relay.changeEndpoints([next])
      if (isClosed) former.close()
      else former.release()
      const statuses = new Set((await Promise.all(answers)).map(({ status }) => status))
      // Those whose connection broke may have run; without another endpoint they get 502 or 503. A call without an answer is rejected.
      expect([...statuses].filter(status => !(isClosed ? [200, 502, 503] : [200]).includes(status))).toEqual([])
    })
  }
})

const EVENT = 'id: 1\ndata: a\n\n'

/** What a newer configuration may have at a peer so that it refuses a stream that another host takes. */
const REFUSALS: Readonly<Record<string, { readonly newer: Partial<TestRelayOptions>, readonly call?: Call }>> = {
  'a smaller body limit': { newer: { maxBodyBytes: 1 } },
  'no account of its key': { newer: { accounts: () => [] }, call: { headers: KEY } }
}

/** Guards against streams that are cut beside a change of the configuration: the peer that had the change refused them, and no other was asked. */
describe('a stream that has begun', () => {
  for (const [name, { newer, call = {} }] of Object.entries(REFUSALS)) {
    it(`goes on at another peer if the first has ${name} in a newer route table`, async () => {
      const broken = await startRawEndpoint('e1', (socket, text) => {
        const id = /x-id: (\S+)/i.exec(text)?.[1] ?? ''
        socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${EVENT.length.toString(16)}\r\n${EVENT}\r\n`, () => socket.resetAndDestroy())
      })
      const endpoint = await startEndpoint('e4', (req, res) => {
        res.writeHead(200, { 'X-Id': String(req.headers['x-id']), 'X-Stamp': 's', 'Content-Type': 'text/event-stream' })
        res.end('id: 2\ndata: b\n\n')
      })
      const route = { kind: 'stream', resumable: true, maxEndpoints: 3 } as const
      const accounts: TestRelayOptions['accounts'] = newer.accounts === undefined ? undefined : () => [buildAccount('a')]
      const first = await start({ endpoints: [endpoint], route, accounts, routesVersion: 2, ...newer })
      const second = await start({ endpoints: [endpoint], route, accounts })
      const entry = await start({ endpoints: [broken, ...['e2', 'e3'].map(buildLostEndpoint)], othersLoad: { e1: 0, e2: 3, e3: 3 }, route, accounts, peers: [first.peer, { ...second.peer, region: 'far' }] })
      const { body, broken: isBroken } = await entry.call(call)
      expect([body, isBroken]).toEqual([`${EVENT}id: 2\ndata: b\n\n`, false])
    })
  }
})
