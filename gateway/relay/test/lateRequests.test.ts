/** Requests at a host that is asked to stop, whose time runs out before they can end. Run times are learned from real ones at endpoints. */
import { expect } from 'earl'
import { once } from 'node:events'
import { afterEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { createSystemClock } from '@catkinferry/core.clock'
import type { LoadAnswer } from '@catkinferry/fleet.directory'
import { waitFor } from '@catkinferry/testing.fakes'
import type { RelayPeer } from '@catkinferry/wire.messages'
import { answerOk, startEndpoint, startTestRelay } from './testRelay.ts'
import type { Call, CallResult, TestRelay, TestRelayOptions } from './testRelay.ts'

/** Run time of a request, and the time that is left until those that still run are aborted. */
const RUN_MS = 300
const LITTLE_MS = 100
const AMPLE_MS = 60_000
/** When what is left is ended, far behind the time in which it is refused. */
const END_MS = 5_000
const DEADLINE_MS = 120_000
const TIMES = { timeoutMs: DEADLINE_MS } as const
const CALL: Call = { headers: { 'X-Deadline': String(DEADLINE_MS) } }
const KINDS = [
  ['a request that may be repeated', { ...TIMES, kind: 'idempotent' }],
  ['a request that may not be repeated', { ...TIMES, kind: 'nonIdempotent' }],
  ['a stream that may be resumed', { ...TIMES, kind: 'stream', resumable: true }],
  ['a stream that may not be resumed', { ...TIMES, kind: 'stream' }]
] as const

const clock = createSystemClock()
const running: TestRelay[] = []
afterEach(() => { for (const relay of running.splice(0)) relay.close() })

async function start (opts: TestRelayOptions): Promise<TestRelay> {
  const relay = await startTestRelay(opts)
  running.push(relay)
  return relay
}

const startSlowEndpoint = (): ReturnType<typeof startEndpoint> => startEndpoint('e1', (req, res) => { setTimeout(answerOk, RUN_MS, req, res, 'id: 1\ndata: x\n\n') })

/** Stops the host: the balancer sends it requests all the while. */
function drain ({ relay }: TestRelay, leftMs: number): void {
  const endsAt = clock.getMonotonicMs() + leftMs
  relay.drain({ balancerUntil: endsAt, endsAt })
}

/** What the caller is told, and whether before the host ends what still runs, as at the end of its grace time. */
async function describeAnswer ({ relay }: TestRelay, answer: Promise<CallResult>): Promise<unknown> {
  let isAtEnd = false
  const timer = setTimeout(() => {
    isAtEnd = true
    relay.endRemaining()
  }, END_MS)
  const { status, headers, body } = await answer
  clearTimeout(timer)
  if (status === 200) return status
  return { status, ran: (JSON.parse(body) as { ran: string }).ran, isRetryTold: headers['retry-after'] !== undefined, connection: headers.connection, isAtEnd }
}

const REFUSED = { status: 503, ran: 'no', isRetryTold: true, connection: 'close', isAtEnd: false }

/** Guards against requests that are passed on shortly before their host ends and cut there, though another host could have served them. */
describe('a host that stops', () => {
  for (const [name, route] of KINDS) {
    it(`refuses ${name} at once if it cannot be expected to end in time`, async () => {
      const endpoint = await startSlowEndpoint()
      const relay = await start({ endpoints: [endpoint], route })
      await relay.call(CALL)
      drain(relay, LITTLE_MS)
      expect([await describeAnswer(relay, relay.call(CALL)), endpoint.seen.length]).toEqual([REFUSED, 1])
    })

    it(`serves ${name} that is expected to end in time, whatever its deadline`, async () => {
      const endpoint = await startSlowEndpoint()
      const relay = await start({ endpoints: [endpoint], route })
      await relay.call(CALL)
      drain(relay, AMPLE_MS)
      expect([(await relay.call(CALL)).status, endpoint.seen.length]).toEqual([200, 2])
    })
  }

  it('refuses a request while its body is on its way, once too little time is left', async () => {
    const endpoint = await startSlowEndpoint()
    const relay = await start({ endpoints: [endpoint], route: { ...TIMES, kind: 'nonIdempotent' } })
    await relay.call(CALL)
    const socket = relay.dial()
    socket.write('POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: id2\r\nContent-Length: 3\r\n\r\n')
    await sleep(LITTLE_MS)
    drain(relay, LITTLE_MS)
    const timer = setTimeout(() => socket.write('ask'), END_MS)
    const [answer] = await once(socket, 'data') as [Buffer]
    clearTimeout(timer)
    const text = answer.toString()
    expect([text.split('\r\n')[0], text.includes('"ran":"no"'), endpoint.seen.length]).toEqual(['HTTP/1.1 503 Service Unavailable', true, 1])
    socket.destroy()
  })

  it('does not pass a request on that has waited for its adapter until too little time is left', async () => {
    const endpoint = await startSlowEndpoint()
    const answers: Array<(answer: LoadAnswer) => void> = []
    const relay = await start({ endpoints: [endpoint], resident: {}, route: { ...TIMES, kind: 'nonIdempotent', objectiveMs: DEADLINE_MS }, requestLoad: () => new Promise(resolve => { answers.push(resolve) }) })
    await relay.call(CALL)
    const answer = relay.call({ headers: { ...CALL.headers, 'X-Model': 'a' } })
    await waitFor('a load is asked for', () => answers.length > 0, { pollMs: 1 })
    drain(relay, LITTLE_MS)
    setTimeout(() => answers[0]?.({ kind: 'given', endpoint: 'e1', adapterKey: 'm/a@1' }), LITTLE_MS / 2)
    expect([await describeAnswer(relay, answer), endpoint.seen.length]).toEqual([REFUSED, 1])
  })

  it('refuses a request that waits for its adapter once too little time is left', async () => {
    const endpoint = await startSlowEndpoint()
    let onAsked = (): void => undefined
    const asked = new Promise<void>(resolve => { onAsked = resolve })
    const relay = await start({
      endpoints: [endpoint],
      resident: {},
      route: { ...TIMES, kind: 'nonIdempotent', objectiveMs: DEADLINE_MS },
      requestLoad: () => {
        onAsked()
        return new Promise(() => undefined)
      }
    })
    await relay.call(CALL)
    const answer = relay.call({ headers: { ...CALL.headers, 'X-Model': 'a' } })
    await asked
    drain(relay, RUN_MS + LITTLE_MS)
    expect(await describeAnswer(relay, answer)).toEqual(REFUSED)
  })

  it('sends a request to no second endpoint at the last moment after the first has refused it', async () => {
    let drainRelay = (): void => undefined
    const scripts = (await Promise.all(['e1', 'e2'].map(id => startEndpoint(id, (req, res) => {
      if (req.headers['x-id'] === 'id1') {
        setTimeout(answerOk, RUN_MS, req, res)
        return
      }
      drainRelay()
      res.writeHead(503, { 'X-Id': String(req.headers['x-id']), 'X-Stamp': 's', 'X-Not-Run': '1' })
      res.end()
    }))))
    const relay = await start({ endpoints: scripts, route: { ...TIMES, kind: 'nonIdempotent', maxEndpoints: 2 } })
    await relay.call(CALL)
    drainRelay = () => drain(relay, LITTLE_MS)
    const described = await describeAnswer(relay, relay.call({ headers: { ...CALL.headers, 'X-Id': 'id2' } }))
    expect([described, scripts.flatMap(({ seen }) => seen).length]).toEqual([REFUSED, 2])
  })

  it('passes on none of the requests that arrive after it has ended the others', async () => {
    const endpoint = await startEndpoint('e1', answerOk)
    const relay = await start({ endpoints: [endpoint] })
    drain(relay, AMPLE_MS)
    relay.relay.endRemaining()
    expect([await describeAnswer(relay, relay.call(CALL)), endpoint.seen.length]).toEqual([REFUSED, 0])
  })

  it('leaves a forwarded request that waits for its adapter to another peer once too little time is left', async () => {
    const stopping: TestRelay[] = []
    let isAsked = false
    const [first, second] = await Promise.all(['e1', 'e2'].map(async id => {
      const peer: TestRelay = await start({
        endpoints: [await startEndpoint(id, answerOk)],
        resident: {},
        route: { ...TIMES, objectiveMs: DEADLINE_MS },
        requestLoad: async () => {
          if (isAsked) return { kind: 'given', endpoint: id, adapterKey: 'm/a@1' }
          isAsked = true
          stopping.push(peer)
          drain(peer, 0)
          return await new Promise(() => undefined)
        }
      })
      return peer.peer
    })) as [RelayPeer, RelayPeer]
    const gone = await startEndpoint('e3', answerOk)
    gone.close()
    const relay = await start({ endpoints: [gone], route: TIMES, peers: [first, second] })
    const timer = setTimeout(() => stopping[0]?.relay.endRemaining(), END_MS)
    const { status } = await relay.call({ headers: { ...CALL.headers, 'X-Model': 'a' } })
    clearTimeout(timer)
    expect([status, stopping.length]).toEqual([200, 1])
  })
})
