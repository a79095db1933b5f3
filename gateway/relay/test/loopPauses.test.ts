/**
 * Guards against hosts that take a pause of their own for trouble of others: Node.js runs due timers before it reads sockets, so
 * after a long step of the event loop each time limit had run out although the bytes had arrived. Endpoints counted as silent
 * or unreachable, the host as cut off, and callers got 503 or 504 for answers that were there.
 */
import { probeConnection } from '@catkinferry/endpoints.liveness'
import { expect } from 'earl'
import { afterEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { CONNECT_TIMEOUT_MS } from '../src/constants.ts'
import { probeHealth } from '../src/probeEndpoint.ts'
import { startTestRelay } from './testRelay.ts'
import type { Endpoint, TestRelay, TestRelayOptions } from './testRelay.ts'
import { blockBeforeTimers, startWorkerEndpoint } from './workerEndpoint.ts'

const started: TestRelay[] = []
const endpoints: Endpoint[] = []
afterEach(() => {
  for (const { close } of started.splice(0)) close()
  for (const { close } of endpoints.splice(0)) close()
})

async function start (opts: Omit<TestRelayOptions, 'endpoints'> = {}): Promise<TestRelay> {
  for (const id of ['e1', 'e2', 'e3']) endpoints.push(await startWorkerEndpoint(id))
  const relay = await startTestRelay({ endpoints, ...opts, route: { timeoutMs: 8_000, maxEndpoints: 2, ...opts.route } })
  started.push(relay)
  return relay
}

/** Lines that tell of trouble. */
function listTrouble ({ lines, health }: TestRelay): string[] {
  return [...lines.map(({ message }) => String(message)).filter(message => /silent|reaches no|without a usable|forward/.test(message)), ...health]
}

describe('a pause of the event loop while endpoints stream', () => {
  for (const [title, pausesMs] of [['of 800 ms', [800]], ['of 350 ms, twice', [350, 350]], ['of 2.5 s', [2_500]]] as const) {
    it(`${title}, is not taken for silence of the endpoints`, async () => {
      const relay = await start()
      const headers = { 'X-Deadline': '8000', 'X-Run': '3200' }
      const running = Array.from({ length: 6 }, (_, index) => relay.call({ headers: { ...headers, 'X-Id': `s${index}` } }))
      await sleep(400)
      for (const pauseMs of pausesMs) {
        await blockBeforeTimers(pauseMs)
        await sleep(1)
      }
      const later = await Promise.all(Array.from({ length: 6 }, (_, index) => relay.call({ headers: { 'X-Id': `n${index}` } })))
      const answers = [...later, ...await Promise.all(running)]
      expect(answers.filter(({ status }) => status !== 200).map(({ body }) => body)).toEqual([])
      expect(listTrouble(relay)).toEqual([])
    })
  }

  it('leaves an endpoint that is silent after it as silent', async () => {
    const relay = await start()
    const running = relay.call({ headers: { 'X-Delay': '3500', 'X-Deadline': '8000' } })
    await sleep(100)
    await blockBeforeTimers(800)
    expect((await running).status).toEqual(200)
    expect(listTrouble(relay)[0]).toEqual('endpoint is silent: no bytes while requests are in flight')
  })
})

describe('a pause of the event loop', () => {
  it('while a connection is opened is not taken for an endpoint that cannot be reached', async () => {
    const relay = await start()
    const { lines } = relay
    const push = lines.push.bind(lines)
    lines.push = line => {
      if (line.step === 'offer') void blockBeforeTimers(450)
      return push(line)
    }
    expect((await relay.call()).status).toEqual(200)
    expect(listTrouble(relay)).toEqual([])
  })

  it('past the deadline of a request does not lose a response that has arrived', async () => {
    const relay = await start({ route: { maxEndpoints: 1 } })
    const running = relay.call({ headers: { 'X-Deadline': '500', 'X-Delay': '200' } })
    await sleep(100)
    await blockBeforeTimers(700)
    const { status, body } = await running
    expect([status, body]).toEqual([200, 'begundone'])
  })

  it('past the deadline of a request that waits for a connection sends it nowhere', async () => {
    const relay = await start({ route: { maxEndpoints: 1 } })
    const { lines } = relay
    const push = lines.push.bind(lines)
    lines.push = line => {
      if (line.step === 'offer') void blockBeforeTimers(250)
      return push(line)
    }
    expect((await relay.call({ headers: { 'X-Deadline': '200' } })).status).toEqual(503)
  })

  for (const pauseMs of [600, 2_000]) {
    it(`of ${pauseMs} ms while an endpoint is probed does not make the probe fail`, async () => {
      const endpoint = await startWorkerEndpoint('e1')
      endpoints.push(endpoint)
      const probes = Promise.all([probeConnection({ address: endpoint.address, timeoutMs: CONNECT_TIMEOUT_MS }), probeHealth({ address: endpoint.address, healthPath: '/' })])
      void blockBeforeTimers(pauseMs)
      expect(await probes).toEqual([true, true])
    })
  }

  it('in which nothing listens leaves the probe failed', async () => {
    const endpoint = await startWorkerEndpoint('e1')
    endpoint.close()
    await sleep(100)
    expect(await Promise.all([probeConnection({ address: endpoint.address, timeoutMs: CONNECT_TIMEOUT_MS }), probeHealth({ address: endpoint.address, healthPath: '/' })])).toEqual([false, false])
  })
})
