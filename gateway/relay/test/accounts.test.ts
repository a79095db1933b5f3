import { expect } from 'earl'
import { once } from 'node:events'
import { request } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { afterEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Account } from '@catkinferry/core.types'
import type { AccountGate } from '@catkinferry/gateway.relay'
import { encodeForwarded, FORWARDED_HEADER, OUTCOME_HEADER, PeerOutcome } from '../src/forwardedRequest.ts'
import type { ForwardedFacts } from '../src/forwardedRequest.ts'
import { answerOk, buildAccount, buildLostEndpoint, startEndpoint, startTestRelay } from './testRelay.ts'
import type { Call, CallResult, Endpoint, TestRelay, TestRelayOptions } from './testRelay.ts'

const NON_IDEMPOTENT = { kind: 'nonIdempotent', maxEndpoints: 1 } as const
const KEY = { 'X-Key': 'a-key' }
const RETRY_AFTER_MS = 1_234

const started: TestRelay[] = []
const endpoints: Endpoint[] = []

// Guards against keys that get out: no test may bring one into a log line or to an endpoint of a table with accounts.
afterEach(() => {
  for (const { close } of started) close()
  const logged = JSON.stringify(started.splice(0).map(({ lines }) => lines))
  const received = JSON.stringify(endpoints.splice(0).map(({ seen }) => seen))
  expect([logged.includes('-key'), received.includes('-key')]).toEqual([false, false])
})

async function start (opts: TestRelayOptions): Promise<TestRelay> {
  const relay = await startTestRelay(opts)
  started.push(relay)
  endpoints.push(...opts.endpoints)
  return relay
}

async function startSound (id = 'e1'): Promise<Endpoint> {
  return await startEndpoint(id, (req, res) => answerOk(req, res))
}

interface TestGate extends AccountGate {
  /** What was taken and given back: account and units. */
  readonly moves: string[]
  isStale: boolean
  isOver: boolean
  onWait: () => void
}

function createGate (facts: { readonly isStale?: boolean, readonly isOver?: boolean } = {}): TestGate {
  const gate: TestGate = {
    moves: [],
    isStale: facts.isStale === true,
    isOver: facts.isOver === true,
    onWait: () => undefined,
    isCurrent: () => !gate.isStale,
    waitUntilCurrent: async () => gate.onWait(),
    tryTake: ({ name }, units) => {
      gate.moves.push(`take ${name} ${units}`)
      return gate.isOver ? { admitted: false, retryAfterMs: RETRY_AFTER_MS } : { admitted: true }
    },
    giveBack: ({ name }, units) => { gate.moves.push(`give ${name} ${units}`) }
  }
  return gate
}

const ACCOUNTS: readonly Account[] = [buildAccount('a', { quota: {} }), buildAccount('b')]
const listAccounts = (): readonly Account[] => ACCOUNTS

function readError ({ status, body }: CallResult): unknown[] {
  const { error, ran } = JSON.parse(body) as { error: string, ran?: string }
  return [status, error.replace('ERR_CATKINFERRY_', ''), ran]
}

const getEnds = ({ lines }: TestRelay): unknown[] => lines.filter(({ step }) => step === 'end').map(({ status, account }) => [status, account])

describe('a request with a key', () => {
  it('is sent without the key and with the name of its account, whatever its caller sent as name', async () => {
    const endpoint = await startSound()
    const relay = await start({ endpoints: [endpoint], accounts: listAccounts })
    const smuggled: ReadonlyArray<Call['headers']> = [{ 'X-Account': 'b' }, { 'x-aCCOUNT': ['b', 'b'] }, { Connection: 'X-Account', 'X-Account': 'b' }, { 'X-ACCOUNT': '' }, {}]
    for (const headers of smuggled) expect((await relay.call({ headers: { ...KEY, ...headers } })).status).toEqual(200)
    expect((await relay.call({ headers: { 'x-KEY': 'a-key' } })).status).toEqual(200)
    expect(endpoint.seen.map(({ headers }) => [headers['x-account'], headers['x-key']])).toEqual(Array.from({ length: 6 }, () => ['a', undefined]))
    expect(getEnds(relay)).toEqual(Array.from({ length: 6 }, () => [200, 'a']))
    expect(relay.lines.filter(({ step }) => step === 'offer').map(({ account }) => account)).toEqual(Array.from({ length: 6 }, () => 'a'))
  })

  it('belongs to the account of the first of several keys', async () => {
    const endpoint = await startSound()
    const { call } = await start({ endpoints: [endpoint], accounts: listAccounts })
    const answers = [await call({ headers: { 'X-Key': ['b-key', 'a-key'] } }), await call({ headers: { 'X-Key': ['no-key', 'a-key'] } })]
    expect([answers.map(({ status }) => status), endpoint.seen.map(({ headers }) => headers['x-account'])]).toEqual([[200, 401], ['b']])
  })

  it('has the priority of its account, if that has one, in what endpoints get and in the order of loads', async () => {
    const endpoint = await startSound()
    const asked: number[] = []
    const accounts = [buildAccount('a', { priority: 0 }), buildAccount('b')]
    const { call } = await start({
      endpoints: [endpoint],
      accounts: () => accounts,
      resident: { e1: [] },
      route: { priority: 3 },
      requestLoad: async ({ priority }) => {
        asked.push(priority)
        return { kind: 'given', endpoint: 'e1', adapterKey: 'm/ad@1' }
      }
    })
    for (const name of ['a', 'b']) await call({ headers: { 'X-Key': `${name}-key`, 'X-Model': 'ad' } })
    expect([asked, endpoint.seen.map(({ headers }) => headers['x-priority'])]).toEqual([[0.3, 3], ['0.3', '3']])
  })

  it('is checked against the route table that is in force after the wait of a host that has just started', async () => {
    const endpoint = await startSound()
    let accounts: readonly Account[] = ACCOUNTS
    const { call } = await start({ endpoints: [endpoint], accounts: () => accounts, waitUntilReady: async () => { accounts = [] } })
    expect([(await call({ headers: KEY })).status, endpoint.seen.length]).toEqual([401, 0])
  })

  it('goes on if the key is taken away while its body arrives', async () => {
    const endpoint = await startSound()
    let accounts: readonly Account[] = ACCOUNTS
    const { dial, call } = await start({ endpoints: [endpoint], accounts: () => accounts })
    const socket = dial()
    socket.write('POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: id1\r\nX-Key: a-key\r\nContent-Length: 4\r\n\r\nas')
    await sleep(50)
    accounts = []
    expect((await call({ headers: KEY })).status).toEqual(401)
    socket.write('k!')
    const [answer] = await once(socket, 'data') as [Buffer]
    socket.destroy()
    expect([answer.toString().slice(0, 12), endpoint.seen.map(({ headers, body }) => [headers['x-account'], body])]).toEqual(['HTTP/1.1 200', [['a', 'ask!']]])
  })
})

describe('a request without a known key', () => {
  const requests: Readonly<Record<string, Readonly<Record<string, string>>>> = {
    'no key': {},
    'an empty key': { 'X-Key': '' },
    'an unknown key': { 'X-Key': 'c-key' },
    'a key of another capitalisation': { 'X-Key': 'A-key' },
    'the name of an account only': { 'X-Account': 'a' },
    'the digest of a key': { 'X-Key': ACCOUNTS[0]?.keyDigests[0] ?? '' }
  }
  for (const [name, headers] of Object.entries(requests)) {
    it(`gets 401 and reaches no endpoint: ${name}`, async () => {
      const endpoint = await startSound()
      const gate = createGate()
      const relay = await start({ endpoints: [endpoint], accounts: listAccounts, gate, quarantined: new Set(['p']) })
      expect(readError(await relay.call({ headers: { ...headers, 'X-Parts': 'p' } }))).toEqual([401, 'UNAUTHENTICATED', 'no'])
      await sleep(50)
      expect([endpoint.seen, gate.moves, getEnds(relay), relay.counts]).toEqual([[], [], [[401, undefined]], ['account_checks unauthenticated', 'answers 401']])
    })
  }

  it('gets 401 for every key while the list of accounts is empty', async () => {
    const endpoint = await startSound()
    const { call } = await start({ endpoints: [endpoint], accounts: () => [] })
    expect([(await call({ headers: KEY })).status, (await call()).status, endpoint.seen]).toEqual([401, 401, []])
  })

  it('gets 404, not 401, if no route matches', async () => {
    const { call } = await start({ endpoints: [], accounts: listAccounts })
    expect((await call({ path: '/other/x' })).status).toEqual(404)
  })
})

describe('a route that is public', () => {
  it('needs no key, passes no key on, and names the account of a known key only', async () => {
    const endpoint = await startSound()
    const gate = createGate({ isOver: true })
    const relay = await start({ endpoints: [endpoint], accounts: listAccounts, gate, route: { isPublic: true } })
    const requests: ReadonlyArray<Call['headers']> = [KEY, { 'X-Key': 'c-key' }, {}, { 'X-Account': 'a' }, { ...KEY, 'X-Account': 'b' }]
    for (const headers of requests) expect((await relay.call({ headers })).status).toEqual(200)
    expect(endpoint.seen.map(({ headers }) => [headers['x-account'], headers['x-key']])).toEqual(['a', undefined, undefined, undefined, 'a'].map(name => [name, undefined]))
    expect([gate.moves, relay.counts.filter(line => line.startsWith('account'))]).toEqual([[], []])
  })

  it('is served by a host that cannot tell whether keys are valid, without the name of an account', async () => {
    const endpoint = await startSound()
    const gate = createGate({ isStale: true })
    gate.onWait = () => gate.moves.push('wait')
    const { call } = await start({ endpoints: [endpoint], accounts: listAccounts, gate, route: { isPublic: true } })
    expect([(await call({ headers: KEY })).status, endpoint.seen.map(({ headers }) => headers['x-account']), gate.moves]).toEqual([200, [undefined], []])
  })
})

describe('a route table without accounts', () => {
  it('leaves both headers as the caller sent them', async () => {
    const endpoint = await startSound()
    const gate = createGate({ isStale: true, isOver: true })
    const relay = await startTestRelay({ endpoints: [endpoint], gate })
    expect((await relay.call({ headers: { 'X-Key': 'own-key', 'X-Account': 'own' } })).status).toEqual(200)
    relay.close()
    expect([endpoint.seen.map(({ headers }) => [headers['x-key'], headers['x-account']]), gate.moves, getEnds(relay)]).toEqual([[['own-key', 'own']], [], [[200, undefined]]])
  })
})

describe('the units of a request', () => {
  const quotas: ReadonlyArray<readonly [string, Account, Readonly<Record<string, string>>, string[]]> = [
    ['are its tokens', buildAccount('a', { quota: {} }), { 'X-Tokens': '250' }, ['take a 250']],
    ['are those of a request that states no tokens', buildAccount('a', { quota: {} }), {}, ['take a 7']],
    ['are 1 if requests are counted', buildAccount('a', { quota: { unit: 'requests' } }), { 'X-Tokens': '250' }, ['take a 1']],
    ['are not counted for an account without a limit', buildAccount('a'), { 'X-Tokens': '250' }, []]
  ]
  for (const [name, account, headers, moves] of quotas) {
    it(name, async () => {
      const gate = createGate()
      const relay = await start({ endpoints: [await startSound()], accounts: () => [account], gate })
      expect([(await relay.call({ headers: { ...KEY, ...headers } })).status, gate.moves, relay.counts[0]]).toEqual([200, moves, 'account_checks known'])
    })
  }

  it('over the quota mean 429 with Retry-After, and nothing is sent', async () => {
    const endpoint = await startSound()
    const gate = createGate({ isOver: true })
    const relay = await start({ endpoints: [endpoint], accounts: listAccounts, gate })
    const answer = await relay.call({ headers: KEY })
    expect([...readError(answer), answer.headers['retry-after']]).toEqual([429, 'OVER_LIMIT', 'no', '1.234'])
    expect([endpoint.seen, gate.moves, getEnds(relay), relay.counts]).toEqual([[], ['take a 7'], [[429, 'a']], ['account_checks overLimit', 'answers 429']])
  })

  const TAKEN_AND_GIVEN = ['take a 7', 'give a 7']

  it('are given back if the request is refused for want of capacity, for its body or for a quarantine', async () => {
    const gate = createGate()
    const full = await start({ endpoints: [], accounts: listAccounts, gate })
    const small = await start({ endpoints: [await startSound()], accounts: listAccounts, gate, maxBodyBytes: 1 })
    const quarantined = new Set<string>()
    const ill = await start({ endpoints: [], accounts: listAccounts, gate, quarantined })
    const socket = ill.dial()
    expect([(await full.call({ headers: KEY })).status, gate.moves.splice(0)]).toEqual([503, TAKEN_AND_GIVEN])
    expect([(await small.call({ headers: KEY })).status, gate.moves.splice(0)]).toEqual([413, TAKEN_AND_GIVEN])
    socket.write('POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: id1\r\nX-Key: a-key\r\nX-Parts: p\r\nContent-Length: 4\r\n\r\nas')
    await sleep(50)
    quarantined.add('p')
    ill.relay.endQuarantined()
    await sleep(50)
    socket.destroy()
    expect(gate.moves).toEqual(TAKEN_AND_GIVEN)
  })

  it('are given back if the deadline passes before anything is sent', async () => {
    const gate = createGate()
    const { call } = await start({ endpoints: [await startSound()], accounts: listAccounts, gate, resident: { e1: [] }, requestLoad: () => new Promise(() => undefined) })
    expect([(await call({ headers: { ...KEY, 'X-Model': 'ad', 'X-Deadline': '150' } })).status, gate.moves]).toEqual([503, TAKEN_AND_GIVEN])
  })

  it('are given back if no connection can be opened or the endpoint states that it has not run the request', async () => {
    const gate = createGate()
    const refusing = await startEndpoint('e1', (_req, res) => {
      res.writeHead(503, { 'X-Id': 'id1', 'X-Not-Run': '1' })
      res.end()
    })
    for (const endpoint of [buildLostEndpoint('e1'), refusing]) {
      const { call } = await start({ endpoints: [endpoint], accounts: listAccounts, gate, route: NON_IDEMPOTENT })
      expect([(await call({ headers: KEY })).status, gate.moves.splice(0)]).toEqual([503, TAKEN_AND_GIVEN])
    }
  })

  it('are given back if the caller leaves while its body arrives, and kept if it leaves while the request runs', async () => {
    const gate = createGate()
    const endpoint = await startEndpoint('e1', () => undefined)
    const { dial } = await start({ endpoints: [endpoint], accounts: listAccounts, gate })
    for (const [body, moves] of [['as', TAKEN_AND_GIVEN], ['ask!', ['take a 7']]] as const) {
      const socket = dial()
      socket.write(`POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: id1\r\nX-Key: a-key\r\nContent-Length: 4\r\n\r\n${body}`)
      await sleep(100)
      socket.destroy()
      await sleep(100)
      expect(gate.moves.splice(0)).toEqual([...moves])
    }
    expect(endpoint.seen.length).toEqual(1)
  })

  it('are kept if the request may have run', async () => {
    const gate = createGate()
    const failing = await startEndpoint('e1', (_req, res) => {
      res.writeHead(500, { 'X-Id': 'id1', 'X-Stamp': 's' })
      res.end()
    })
    const closing = await startEndpoint('e1', req => { req.socket.destroy() })
    const hanging = await startEndpoint('e1', () => undefined)
    for (const [endpoint, status] of [[failing, 500], [closing, 502], [hanging, 504]] as const) {
      const { call } = await start({ endpoints: [endpoint], accounts: listAccounts, gate, route: NON_IDEMPOTENT })
      expect([(await call({ headers: { ...KEY, 'X-Deadline': '300' } })).status, gate.moves.splice(0)]).toEqual([status, ['take a 7']])
    }
  })

  it('are taken once for all attempts at the request', async () => {
    const gate = createGate()
    const closing = await startEndpoint('e1', req => { req.socket.destroy() })
    const { call } = await start({ endpoints: [closing, await startSound('e2')], accounts: listAccounts, gate, route: { maxEndpoints: 2 }, othersLoad: { e1: 0, e2: 3 } })
    expect([(await call({ headers: KEY })).status, closing.seen.length, gate.moves]).toEqual([200, 1, ['take a 7']])
  })
})

describe('the units of a forwarded request', () => {
  it('are taken by the host to which it came, and not again by the peer', async () => {
    const [gate, peerGate] = [createGate(), createGate({ isOver: true })]
    const endpoint = await startSound()
    const peer = await start({ endpoints: [endpoint], accounts: listAccounts, gate: peerGate })
    const relay = await start({ endpoints: [buildLostEndpoint('e1')], accounts: listAccounts, gate, peers: [peer.peer] })
    expect((await relay.call({ headers: { ...KEY, 'X-Account': 'b' } })).status).toEqual(200)
    expect([gate.moves, peerGate.moves, endpoint.seen.map(({ headers }) => [headers['x-account'], headers['x-key']])]).toEqual([['take a 7'], [], [['a', undefined]]])
    expect([getEnds(relay), getEnds(peer)]).toEqual([[[200, 'a']], [[200, 'a']]])
  })

  it('are given back if the peer refuses it as not run, and kept if it may have run there', async () => {
    const gate = createGate()
    const closing = await startEndpoint('e1', req => { req.socket.destroy() })
    const full = await start({ endpoints: [], accounts: listAccounts })
    const losing = await start({ endpoints: [closing], accounts: listAccounts, route: NON_IDEMPOTENT })
    for (const [peer, status, moves] of [[full, 503, ['take a 7', 'give a 7']], [losing, 502, ['take a 7']]] as const) {
      const { call } = await start({ endpoints: [buildLostEndpoint('e1')], accounts: listAccounts, gate, route: NON_IDEMPOTENT, peers: [peer.peer] })
      expect([(await call({ headers: KEY })).status, gate.moves.splice(0)]).toEqual([status, [...moves]])
    }
  })

  it('are given back if the peer no longer knows the key: its caller gets 401 and nothing runs', async () => {
    const gate = createGate()
    const endpoint = await startSound()
    const peer = await start({ endpoints: [endpoint], accounts: () => [], routesVersion: 2 })
    const { call } = await start({ endpoints: [buildLostEndpoint('e1')], accounts: listAccounts, gate, peers: [peer.peer] })
    expect([...readError(await call({ headers: KEY })), endpoint.seen, gate.moves]).toEqual([401, 'UNAUTHENTICATED', 'no', [], ['take a 7', 'give a 7']])
  })
})

describe('a host that cannot tell whether keys are valid', () => {
  it('forwards requests to a peer, which checks the key and takes the units, and tries no endpoint itself', async () => {
    const [gate, peerGate] = [createGate({ isStale: true }), createGate()]
    const [own, endpoint] = [await startSound(), await startSound()]
    const peer = await start({ endpoints: [endpoint], accounts: listAccounts, gate: peerGate })
    const relay = await start({ endpoints: [own], accounts: listAccounts, gate, peers: [peer.peer] })
    const answers = [await relay.call({ headers: KEY }), await relay.call({ headers: { 'X-Key': 'c-key' } }), await relay.call()]
    expect(answers.map(({ status }) => status)).toEqual([200, 401, 401])
    expect([own.seen, endpoint.seen.map(({ headers }) => headers['x-account']), gate.moves, peerGate.moves]).toEqual([[], ['a'], [], ['take a 7']])
    expect(relay.counts.filter(line => line.startsWith('account'))).toEqual(Array.from({ length: 3 }, () => 'account_checks unchecked'))
  })

  it('passes on the 429 of a peer with its Retry-After', async () => {
    const peer = await start({ endpoints: [await startSound()], accounts: listAccounts, gate: createGate({ isOver: true }) })
    const { call } = await start({ endpoints: [await startSound()], accounts: listAccounts, gate: createGate({ isStale: true }), peers: [peer.peer] })
    const answer = await call({ headers: KEY })
    expect([...readError(answer), answer.headers['retry-after']]).toEqual([429, 'OVER_LIMIT', 'no', '1.234'])
  })

  it('answers 503 with Retry-After as not run if it has no peer or all of them decline', async () => {
    const own = await startSound()
    const stale = { accounts: listAccounts, gate: createGate({ isStale: true }) }
    const peers = [await start({ endpoints: [await startSound()], ...stale }), await start({ endpoints: [await startSound()], ...stale })]
    for (const listed of [[], peers.map(({ peer }) => peer)]) {
      const { call } = await start({ endpoints: [own], ...stale, peers: listed })
      for (const headers of [KEY, { 'X-Key': 'c-key' }]) {
        const answer = await call({ headers })
        expect([...readError(answer), answer.headers['retry-after'], answer.headers['catkinferry-outcome']]).toEqual([503, 'NO_CAPACITY', 'no', '0.250', undefined])
      }
    }
    expect([own.seen, endpoints.flatMap(({ seen }) => seen), stale.gate.moves]).toEqual([[], [], []])
  })

  it('answers 503, not 404, where its route table has no route, since a newer one may have one', async () => {
    const { call } = await start({ endpoints: [], accounts: listAccounts, gate: createGate({ isStale: true }) })
    expect(readError(await call({ path: '/other/x', headers: KEY }))).toEqual([503, 'NOT_SERVING', 'no'])
  })

  it('declines requests that others forward, which go to the next peer and are charged once', async () => {
    const [gate, peerGate] = [createGate(), createGate()]
    const [unused, endpoint] = [await startSound(), await startSound()]
    const stale = await start({ endpoints: [unused], accounts: listAccounts, gate: createGate({ isStale: true }) })
    const sound = await start({ endpoints: [endpoint], accounts: listAccounts, gate: peerGate })
    const relay = await start({ endpoints: [buildLostEndpoint('e1')], accounts: listAccounts, gate, peers: [stale.peer, { ...sound.peer, region: 'far' }] })
    expect((await relay.call({ headers: KEY })).status).toEqual(200)
    expect([unused.seen.length, endpoint.seen.length, gate.moves, peerGate.moves]).toEqual([0, 1, ['take a 7'], []])
    expect(relay.counts.filter(line => line.startsWith('forwards'))).toEqual(['forwards declined', 'forwards delivered'])
  })

  // A host whose route table is old may choose a service that its newer version no longer sends requests to.
  it('has its requests served by the service that the peer chooses, unless they have begun elsewhere', async () => {
    const endpoint = await startSound()
    const { peer, lines } = await start({ endpoints: [endpoint], accounts: listAccounts })
    const forward = async (facts: Partial<ForwardedFacts>): Promise<readonly [number, unknown]> => {
      const header = encodeForwarded({ waitedMs: 0, remainingMs: 500, routesVersion: 1, pool: 'old', maxEndpoints: 1, tried: [], ...facts })
      const [host, port] = peer.address.split(':')
      const outgoing = request({ host, port, agent: false, method: 'POST', path: '/p/x', headers: { Host: 'h.example', 'X-Id': 'id1', ...KEY, [FORWARDED_HEADER]: header } }).end('ask')
      const [answer] = await once(outgoing, 'response') as [IncomingMessage]
      answer.resume()
      return [answer.statusCode ?? 0, answer.headers[OUTCOME_HEADER]]
    }
    expect([await forward({}), await forward({ tried: ['e0'] }), endpoint.seen.length]).toEqual([[200, undefined], [503, PeerOutcome.DECLINED], 1])
    expect(lines.filter(({ reason }) => String(reason).includes('no longer has the route or service')).length).toEqual(1)
  })

  it('serves them itself, by the newest route table, once it can tell within the wait', async () => {
    const endpoint = await startSound()
    const gate = createGate({ isStale: true })
    let accounts: readonly Account[] = ACCOUNTS
    const { call } = await start({ endpoints: [endpoint], accounts: () => accounts, gate })
    gate.onWait = () => {
      gate.isStale = false
      accounts = [buildAccount('b')]
    }
    expect((await call({ headers: KEY })).status).toEqual(401)
    gate.isStale = true
    expect((await call({ headers: { 'X-Key': 'b-key' } })).status).toEqual(200)
    expect(endpoint.seen.map(({ headers }) => headers['x-account'])).toEqual(['b'])
  })

  it('waits no longer than a fraction of a short deadline', async () => {
    const waits: number[] = []
    const gate = { ...createGate({ isStale: true }), isCurrent: () => false, waitUntilCurrent: async (maxMs: number) => { waits.push(maxMs) } }
    const { call } = await start({ endpoints: [], accounts: listAccounts, gate })
    for (const deadline of ['1500', '100']) await call({ headers: { ...KEY, 'X-Deadline': deadline } })
    expect(waits).toEqual([250, 30])
  })
})
