import type { RunContext } from '@catkinferry/host.events'
import type { FleetMessage, PeerMessage } from '@catkinferry/wire.messages'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createLoadTotals } from '../src/loadTotals.ts'

type Load = Extract<FleetMessage, { kind: 'fleet.load' }>

function createFixture () {
  const totals = createLoadTotals({ getHostRegion: host => host === 'far' ? 'r2' : 'r1', getEndpointRegion: endpoint => endpoint.startsWith('far') ? 'r2' : 'r1' })
  const sent: Load[] = []
  return {
    totals,
    flush: (now: number, hosts: readonly string[] = ['e1']): Load | undefined => {
      sent.length = 0
      const context: RunContext = { now, wallNow: now, emit: () => undefined, send: (_to: string, message: PeerMessage) => { sent.push(message as Load) } }
      totals.flush(context, hosts)
      return sent[0]
    },
    sent
  }
}

const use = (endpoint: string, running: number) => ({ endpoint, adapterKey: '', begun: 0, running })

describe('createLoadTotals', () => {
  it('sums the requests of all hosts, and sends the changed totals, or all of them every tenth round', () => {
    const { totals, flush } = createFixture()
    totals.receive('h1', [use('a', 2), use('a', 1), use('b', 1)], 0)
    totals.receive('h2', [use('a', 4)], 0)
    expect(flush(0)).toEqual({ kind: 'fleet.load', region: 'r1', whole: true, running: [['a', 7], ['b', 1]] })
    totals.receive('h1', [use('a', 3)], 400)
    totals.receive('h2', [use('a', 4)], 400)
    expect(flush(400)).toEqual({ kind: 'fleet.load', region: 'r1', whole: false, running: [['b', 0]] })
    for (let now = 800; now < 4_000; now += 400) flush(now)
    totals.receive('h1', [use('a', 1)], 4_000)
    expect(flush(4_000)).toEqual({ kind: 'fleet.load', region: 'r1', whole: true, running: [['a', 1]] })
  })

  it('sends the hosts of a region the totals of its own endpoints and of those of other regions', () => {
    const { totals, flush, sent } = createFixture()
    totals.receive('h1', [use('a', 2), use('far-1', 3)], 0)
    flush(0, ['far'])
    expect(sent).toEqual([{ kind: 'fleet.load', region: 'r1', whole: true, running: [['a', 2]] }, { kind: 'fleet.load', region: 'r2', whole: true, running: [['far-1', 3]] }])
  })

  it('sends a total of 0 when the last requests in a region end', () => {
    const { totals, flush, sent } = createFixture()
    totals.receive('h1', [use('far-1', 3)], 0)
    flush(0)
    totals.receive('h1', [], 400)
    flush(400)
    expect(sent).toEqual([{ kind: 'fleet.load', region: 'r2', whole: false, running: [['far-1', 0]] }])
  })

  it('sends each host about 4 KB per second at most, however many endpoints there are', () => {
    const { totals, flush, sent } = createFixture()
    let rows = 0
    for (let now = 0; now < 60_000; now += 400) {
      totals.receive('h1', Array.from({ length: 2_000 }, (_, index) => use(`${index % 2 === 0 ? 'far' : 'i'}-${index}`, 1 + now % 1_200)), now)
      rows += flush(now)?.running.length ?? 0
      rows += sent[1]?.running.length ?? 0
    }
    expect(rows > 10_000 && rows * 16 / 60 <= 4_500).toEqual(true)
  })

  it('drops the requests of a host that fell silent', () => {
    const { totals, flush } = createFixture()
    totals.receive('h1', [use('a', 2)], 0)
    flush(0)
    flush(3_000)
    expect(totals.get('a')).toEqual(0)
  })
})
