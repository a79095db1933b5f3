import { expect } from 'earl'
import { formatWholeRequest } from '@catkinferry/core.types'
import { afterEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { EVENTS, formatEvent, formatHead, WHOLE_STREAM, writeEvents } from './stallingEndpoint.ts'
import { answerOk, startEndpoint, startRawEndpoint, startTestRelay } from './testRelay.ts'
import type { TestRelay, TestRelayOptions } from './testRelay.ts'
import { startTurnClock } from './turnClock.ts'

startTurnClock()

let testRelay: TestRelay | undefined

async function start (opts: TestRelayOptions): Promise<TestRelay> {
  testRelay = await startTestRelay(opts)
  return testRelay
}

afterEach(() => {
  testRelay?.close()
  testRelay = undefined
})

const RESUMABLE = { kind: 'stream', resumable: true, maxEndpoints: 2 } as const
const LONG_STREAM = { ...RESUMABLE, timeoutMs: 6_000 } as const
const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n'

describe('a request with a quarantined prompt part', () => {
  // Guards against requests that end engines: no host related crashes to what the interrupted requests had in common.
  it('is refused as not run, with a long Retry-After, and reaches no endpoint', async () => {
    const endpoint = await startEndpoint('e1', (req, res) => answerOk(req, res))
    const { call } = await start({ endpoints: [endpoint], quarantined: new Set(['bad']) })
    const refused = await call({ headers: { 'X-Parts': 'f,bad' } })
    expect([refused.status, Number(refused.headers['retry-after']), JSON.parse(refused.body)]).toEqual([503, 60, { error: 'ERR_CATKINFERRY_PROMPT_QUARANTINED', message: 'requests with a part of this prompt have crashed engines', ran: 'no' }])
    expect((await call({ headers: { 'X-Parts': 'f,sound' } })).status).toEqual(200)
    expect(endpoint.seen.length).toEqual(1)
  })

  // Guards against a repeat of a request whose part was quarantined while its first attempt ran.
  it('is ended without another attempt if the part is quarantined while it runs', async () => {
    const quarantined = new Set<string>()
    const slow = await startEndpoint('e1', () => undefined)
    const other = await startEndpoint('e2', () => undefined)
    const { call, relay } = await start({ endpoints: [slow, other], quarantined, route: RESUMABLE })
    const answer = call({ headers: { 'X-Parts': 'f,bad' } })
    await sleep(100)
    quarantined.add('bad')
    relay.endQuarantined()
    expect((await answer).status).toEqual(502)
    expect(slow.seen.length + other.seen.length).toEqual(1)
  })
})

describe('a stream of which a trait is quarantined', () => {
  // Guards against the end of a response that goes on: it shows that its request does not crash the endpoint.
  it('goes on if it has gone on for a while, and is not repeated', async () => {
    const quarantined = new Set<string>()
    const endpoint = await startEndpoint('e1', (req, res) => {
      res.writeHead(200, formatHead(req))
      for (let id = 1; id <= EVENTS; id += 1) setTimeout(() => { res.write(formatEvent(id)) }, id * 60)
      setTimeout(() => res.end(), (EVENTS + 1) * 60)
    })
    const { call, relay, health } = await start({ endpoints: [endpoint], quarantined, route: LONG_STREAM })
    const answer = call({
      headers: { 'X-Parts': 'f,bad' },
      onPart: () => {
        if (!health.includes('f,bad sound')) return
        quarantined.add('bad')
        relay.endQuarantined()
      }
    })
    expect(await answer).toEqual(expect.subset({ status: 200, body: WHOLE_STREAM, broken: false }))
    expect(quarantined.size).toEqual(1)
  })

  it('is cut and not repeated if its endpoint breaks it off afterwards', async () => {
    const quarantined = new Set<string>()
    const endpoint = await startEndpoint('e1', (req, res) => {
      res.writeHead(200, formatHead(req))
      for (let id = 1; id <= EVENTS; id += 1) setTimeout(() => { res.write(formatEvent(id)) }, id * 60)
      setTimeout(() => req.socket.destroy(), EVENTS * 60 + 30)
    })
    const other = await startEndpoint('e2', (req, res) => { void writeEvents(req, res) })
    const { call, relay, health } = await start({ endpoints: [endpoint, other], quarantined, route: LONG_STREAM, othersLoad: { e1: 0, e2: 3 } })
    const answer = call({
      headers: { 'X-Parts': 'f,bad' },
      onPart: () => {
        if (!health.includes('f,bad sound')) return
        quarantined.add('bad')
        relay.endQuarantined()
      }
    })
    expect([(await answer).broken, other.seen.length, quarantined.size]).toEqual([true, 0, 1])
  })
})

describe('a quarantined request', () => {
  // Guards against a request that ends endpoint after endpoint under another id each time, on routes that have no prompts.
  it('is refused as not run under any id, while requests that differ in path or body are served', async () => {
    const quarantined = new Set<string>()
    const endpoint = await startEndpoint('e1', (req, res) => answerOk(req, res))
    const { call, lines } = await start({ endpoints: [endpoint], quarantined })
    await call()
    quarantined.add(formatWholeRequest(String(lines.find(({ step }) => step === 'offer')?.digest)))
    const refused = await call({ headers: { 'X-Id': 'id2' } })
    expect([refused.status, Number(refused.headers['retry-after']), JSON.parse(refused.body)]).toEqual([503, 60, { error: 'ERR_CATKINFERRY_REQUEST_QUARANTINED', message: 'this request has crashed endpoints', ran: 'no' }])
    expect([(await call({ path: '/p/y' })).status, (await call({ body: 'other' })).status]).toEqual([200, 200])
    expect(endpoint.seen.length).toEqual(3)
  })
})

describe('the report of a broken connection', () => {
  it('says whether the response had begun', async () => {
    const waiting = await startRawEndpoint('e1', socket => { socket.resetAndDestroy() })
    const first = await start({ endpoints: [waiting] })
    await first.call({ headers: { 'X-Parts': 'f,p' } })
    expect(first.health.filter(line => line.includes('broken'))).toEqual(['e1 broken f,p waiting'])
    first.close()
    const begun = await startRawEndpoint('e1', socket => { socket.write(HEAD, () => setTimeout(() => socket.destroy(), 20)) })
    const second = await start({ endpoints: [begun], route: { kind: 'stream' } })
    await second.call({ headers: { 'X-Parts': 'f,p' } })
    expect(second.health.filter(line => line.includes('broken'))).toEqual(['e1 broken f,p begun'])
  })

  it('does not accuse a prompt whose response had gone on for a while, and is not made of bytes that are no response', async () => {
    const event = '3\r\n:\n\n\r\n'
    const sound = await startRawEndpoint('e1', socket => {
      socket.write(HEAD + event)
      setTimeout(() => socket.write(event), 350)
      setTimeout(() => socket.destroy(), 400)
    })
    const first = await start({ endpoints: [sound], route: { kind: 'stream' } })
    await first.call({ headers: { 'X-Parts': 'f,p' } }).catch(() => undefined)
    expect(first.health.filter(line => line.includes('f,p'))).toEqual(['f,p sound', 'e1 broken f,p sound'])
    first.close()
    const garbage = await startRawEndpoint('e1', socket => { socket.write('no response\r\n\r\n') })
    const second = await start({ endpoints: [garbage] })
    await second.call({ headers: { 'X-Parts': 'f,p' } })
    expect(second.health.filter(line => line.includes('f,p'))).toEqual([])
  })
})
