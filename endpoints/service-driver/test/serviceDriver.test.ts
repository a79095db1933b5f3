import { createSystemClock } from '@catkinferry/core.clock'
import type { MemoryBudget } from '@catkinferry/core.memory-budget'
import type { AttemptStart, HostEvent } from '@catkinferry/host.events'
import { createPeakBudget, startEndlessServer, startFakeService, startRawServer } from '@catkinferry/testing.fakes'
import type { FakeFaults, FakeService } from '@catkinferry/testing.fakes'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createServiceDriver } from '../src/index.ts'

const clock = createSystemClock()

async function runAttempt (faults: Partial<FakeFaults>, url?: string, budget?: MemoryBudget): Promise<{ events: HostEvent[], service: FakeService }> {
  const service = await startFakeService({ faults })
  const events: HostEvent[] = []
  let finish = (): void => undefined
  const done = new Promise<void>(resolve => { finish = resolve })
  const driver = createServiceDriver({
    clock,
    budget,
    emit: event => {
      events.push(event)
      if (event.kind === 'attempt.ended' || event.kind === 'attempt.failed') finish()
    }
  })
  const limit = clock.getMonotonicMs() + 60_000
  const start: AttemptStart = {
    kind: 'attempt.start',
    attemptId: 'r1.0',
    requestId: 'r1',
    endpoint: 's1',
    url: url ?? service.url,
    work: { kind: 'service', route: 'filings', method: 'POST', path: '/file?x=1', body: '{"boat":1}', contentType: 'application/json' },
    serviceClass: 'standard',
    claimKey: 'key-1',
    freshConnection: true,
    sendBeforeMs: limit,
    endBeforeMs: limit,
    progressTimeoutMs: 1_000
  }
  driver.startAttempt(start)
  await done
  await driver.close()
  await service.close()
  return { events, service }
}

describe('service driver', () => {
  it('sends method, path, body and idempotency key, and emits the response unchanged', async () => {
    const { events, service } = await runAttempt({})
    expect(service.runs.get('key-1')).toEqual(1)
    const chunk = events.find(event => event.kind === 'attempt.chunk')
    expect(JSON.parse(chunk?.kind === 'attempt.chunk' ? chunk.data : '')).toEqual({ method: 'POST', path: '/file?x=1', received: '{"boat":1}', runs: 1 })
  })

  // Guards against services that fill the memory of the process, each within the limit of a response, and against refused requests that count as ones that may have run.
  for (const [status, ran, refused] of [['200 OK', 'unknown', undefined], ['429 Busy', 'no', 'busy']] as const) {
    it(`fails attempts that are answered with ${status} and a body without end, and holds no more than its budget`, async t => {
      const server = await startEndlessServer(`HTTP/1.1 ${status}\r\n\r\n`, 'x'.repeat(0x4000))
      t.after(server.close)
      const budget = createPeakBudget({ maxBytes: 0x80000, maxOwnerBytes: 0x40000 })
      const runs = await Promise.all(Array.from({ length: 4 }, () => runAttempt({}, `http://${server.address}`, budget)))
      for (const { events } of runs) expect(events).toEqual([expect.subset({ kind: 'attempt.failed', sent: true, failure: expect.subset({ code: 'ERR_CATKINFERRY_TOO_LARGE', ran }), refused })])
      expect([budget.getPeakBytes() > 0, budget.getPeakBytes() <= 0x40000, budget.getHeldBytes()]).toEqual([true, true, 0])
    })
  }

  // Guards against a response that is passed on as complete because the process of its service was killed: the kernel closes its connections in order.
  for (const [name, head, isKilled] of [['lives on', '', false], ['is killed', '', true], ['is killed, behind a last encoding that is not chunked', 'Transfer-Encoding: identity\r\n', true], ['is killed, behind a response with a length', 'Content-Length: 3\r\n', true]] as const) {
    const isWhole = !isKilled || head.startsWith('Content-Length')
    it(`${isWhole ? 'completes' : 'fails'} an attempt whose response ends with its connection if the service ${name}`, async t => {
      const server = await startRawServer(socket => { socket.on('data', () => socket.end(`HTTP/1.1 200 OK\r\n${head}Connection: close\r\n\r\nall`, () => { if (isKilled) server.close() })) })
      t.after(server.close)
      const { events } = await runAttempt({}, `http://${server.address}`)
      expect(events.at(-1)).toEqual(isWhole ? expect.subset({ kind: 'attempt.ended' }) : expect.subset({ kind: 'attempt.failed', sent: true, failure: expect.subset({ ran: 'unknown' }) }))
    })
  }

  it('reports that a call may have run if its response was lost', async () => {
    const { events, service } = await runAttempt({ cutAfterChunks: 0 })
    expect(events).toEqual([expect.subset({ kind: 'attempt.failed', sent: true, failure: expect.subset({ ran: 'unknown' }) })])
    expect(service.runs.get('key-1')).toEqual(1)
  })

  it('reports that a call has not run if no connection was established', async () => {
    const { events } = await runAttempt({}, 'http://127.0.0.1:1')
    expect(events).toEqual([expect.subset({ sent: false, failure: expect.subset({ ran: 'no' }) })])
  })

  it('emits the attempt id that the service echoed, also if it differs', async () => {
    const { events } = await runAttempt({ crossedAttemptId: 'r9.0' })
    expect(events[0]).toEqual(expect.subset({ kind: 'attempt.started', echo: { attemptId: 'r9.0' } }))
  })
})
