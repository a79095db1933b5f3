import { expect } from 'earl'
import { describe, it } from 'node:test'
import { buildLoadRequest, createFakeEngines } from './fakeEngines.ts'
import type { FakeEngines } from './fakeEngines.ts'

const MESSAGE = 'adapters are asked for again and again and not loaded'

/** Asks for an adapter once a second and a half, while the engine cannot be reached. */
function refuseFor (fleet: FakeEngines, adapter: string, times: number): void {
  fleet.setOrderHandling(() => 'unreachable')
  for (let count = 0; count < times; count++) {
    fleet.receive(buildLoadRequest(adapter, { priority: 2, remainingMs: 800 }))
    fleet.runFor(1_500)
  }
}

describe('an adapter that is refused again and again', () => {
  // Guards against logs and metrics that do not tell an adapter that is never loaded from a store at its limit.
  it('is counted and logged with its refusals until it is loaded', () => {
    const fleet = createFakeEngines({ ids: ['e1'], slots: 3 })
    fleet.runFor(1_000)
    refuseFor(fleet, 'a', 4)
    const { loads, ...first } = fleet.placement.takeLoadCounts(fleet.getNow())
    expect(first).toEqual({ requests: [{ outcome: 'overdue', priority: 2, count: 4 }], refusalsBeforeLoad: [], unloadedByPriority: new Map() })
    expect(loads.find(({ cause }) => cause === 'callers')).toEqual({ cause: 'callers', count: expect.a(Number) })
    refuseFor(fleet, 'a', 3)
    fleet.runFor(2_000)
    expect(fleet.placement.takeLoadCounts(fleet.getNow()).unloadedByPriority).toEqual(new Map([[2, 1]]))
    expect(fleet.logs.find(({ message }) => message === MESSAGE)?.fields).toEqual(expect.subset({ adapters: 1, adapter: 'm/a', priority: 2 }))
    fleet.setOrderHandling(() => 'now')
    fleet.runFor(16_000)
    fleet.receive(buildLoadRequest('a', { priority: 2 }))
    fleet.runFor(1_000)
    const { requests, refusalsBeforeLoad, unloadedByPriority } = fleet.placement.takeLoadCounts(fleet.getNow())
    expect([requests, refusalsBeforeLoad, unloadedByPriority]).toEqual([[{ outcome: 'granted', priority: 2, count: 1 }], [7], new Map()])
  })

  it('is logged every two seconds at most', () => {
    const fleet = createFakeEngines({ ids: ['e1'], slots: 3 })
    fleet.runFor(1_000)
    for (let count = 0; count < 8; count++) for (const adapter of ['a', 'b', 'c']) refuseFor(fleet, adapter, 1)
    const count = fleet.logs.filter(({ message }) => message === MESSAGE).length
    expect(count).toBeGreaterThanOrEqual(1)
    expect(count).toBeLessThanOrEqual(fleet.getNow() / 2_000)
  })
})
