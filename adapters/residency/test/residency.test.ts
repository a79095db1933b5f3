import { chooseEviction, createSlots } from '@catkinferry/adapters.residency'
import type { EndpointReport } from '@catkinferry/core.types'
import { expect } from 'earl'
import { describe, it } from 'node:test'

function createReport (resident: readonly string[], loading: readonly string[] = []): EndpointReport {
  return { instanceId: '1', resident, loading, running: {}, runningCount: 0, queuedCount: 0, batchLimit: 8, slots: 4, pool: 'p', checksFencing: true, highestFencing: 0, ageMs: 0 }
}

describe('createSlots', () => {
  it('ignores a late report for slots whose orders are newer', () => {
    const slots = createSlots()
    slots.setState('a@1', 'resident', 100)
    slots.setState('b@1', 'gone', 100)
    slots.applyReport(createReport(['b@1']), 90, 120)
    expect(slots.listResident()).toEqual(['a@1'])
    slots.applyReport(createReport(['b@1']), 110, 130)
    expect(slots.listResident()).toEqual(['b@1'])
  })

  it('keeps the slot of an unanswered order in use until a later report shows the outcome', () => {
    const slots = createSlots()
    slots.setState('a@1', 'unsettledLoad', 100)
    slots.setState('b@1', 'unsettledEvict', 100)
    slots.applyReport(createReport([]), 90, 120)
    expect(slots.countUsed()).toEqual(2)
    slots.applyReport(createReport(['a@1', 'b@1']), 110, 130)
    expect(slots.listResident().sort()).toEqual(['a@1', 'b@1'])
  })

  it('counts the slots of loads ordered by others', () => {
    const slots = createSlots()
    slots.applyReport(createReport(['a@1'], ['b@1']), 10, 20)
    expect(slots.countUsed()).toEqual(2)
    expect(slots.listLoading()).toEqual(['b@1'])
  })
})

describe('chooseEviction', () => {
  const candidates = [{ adapterKey: 'hot@1', ratePerSecond: 5 }, { adapterKey: 'cold@1', ratePerSecond: 0.1 }]

  it('chooses the candidate with the lowest rate if the load value exceeds its value by the hysteresis', () => {
    expect(chooseEviction({ candidates, expectedLoadMs: 250, loadValue: 33, hysteresis: 1.3 })).toEqual('cold@1')
    expect(chooseEviction({ candidates, expectedLoadMs: 250, loadValue: 32, hysteresis: 1.3 })).toEqual(undefined)
  })

  it('chooses nothing if there are no candidates, because all adapters are pinned', () => {
    expect(chooseEviction({ candidates: [], expectedLoadMs: 250, loadValue: Infinity, hysteresis: 1.3 })).toEqual(undefined)
  })
})
