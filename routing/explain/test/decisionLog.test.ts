import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createDecisionLog } from '../src/index.ts'

describe('createDecisionLog', () => {
  it('keeps the newest requests and a bounded number of decisions of each', () => {
    const log = createDecisionLog({ maxRequests: 2 })
    for (const requestId of ['r1', 'r2', 'r3']) log.begin(requestId, 100, 5_000)
    for (let number = 0; number < 60; number += 1) log.add('r3', 130, 'route', `choice ${number}`)
    expect(log.explain('r1')).toEqual(undefined)
    const explained = log.explain('r3')
    expect([explained?.decisions.length, explained?.omitted, explained?.decisions[0]?.sinceArrivalMs]).toEqual([48, 12, 30])
    expect(log.getSize()).toEqual(2)
  })
})
