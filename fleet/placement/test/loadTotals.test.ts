import type { RunContext } from '@catkinferry/host.events'
import type { FleetMessage, PeerMessage } from '@catkinferry/wire.messages'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createLoadTotals } from '../src/loadTotals.ts'

type Load = Extract<FleetMessage, { kind: 'fleet.load' }>

function createStand () {
  const totals = createLoadTotals()
  const sent: Load[] = []
  return {
    totals,
    flush: (now: number): Load | undefined => {
      const context: RunContext = { now, wallNow: now, emit: () => undefined, send: (_to: string, message: PeerMessage) => { sent.push(message as Load) } }
      totals.flush(context, ['e1'])
      return sent.pop()
    }
  }
}

const use = (endpoint: string, running: number) => ({ endpoint, adapterKey: '', begun: 0, running })

describe('createLoadTotals', () => {
  it('adds up the hosts, tells what has changed, and now and then all', () => {
    const { totals, flush } = createStand()
    totals.receive('h1', [use('a', 2), use('a', 1), use('b', 1)], 0)
    totals.receive('h2', [use('a', 4)], 0)
    expect(flush(0)).toEqual({ kind: 'fleet.load', whole: true, running: [['a', 7], ['b', 1]] })
    totals.receive('h1', [use('a', 3)], 400)
    totals.receive('h2', [use('a', 4)], 400)
    expect(flush(400)).toEqual({ kind: 'fleet.load', whole: false, running: [['b', 0]] })
    totals.receive('h1', [use('a', 1)], 4_000)
    expect(flush(4_000)).toEqual({ kind: 'fleet.load', whole: true, running: [['a', 1]] })
  })

  it('forgets a host that fell silent', () => {
    const { totals, flush } = createStand()
    totals.receive('h1', [use('a', 2)], 0)
    flush(0)
    flush(3_000)
    expect(totals.get('a')).toEqual(0)
  })
})
