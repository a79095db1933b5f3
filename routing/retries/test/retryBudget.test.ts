import { describe, it } from 'node:test'
import { createRandom } from '@catkinferry/core.random'
import { expect } from 'earl'
import { computeRetryDelay, createRetryBudget } from '../src/index.ts'

describe('createRetryBudget', () => {
  it('allows retries as a fraction of successes once the initial tokens are used up', () => {
    const budget = createRetryBudget()
    while (budget.tryTake()) { /* use up the initial tokens */ }
    for (let number = 0; number < 25; number += 1) budget.recordSuccess(0.125)
    expect([budget.tryTake(), budget.tryTake(), budget.tryTake(), budget.tryTake()]).toEqual([true, true, true, false])
  })
})

describe('computeRetryDelay', () => {
  it('spreads delays over the whole range up to the bound', () => {
    const random = createRandom(3)
    const delays = Array.from({ length: 200 }, () => computeRetryDelay({ retry: 3, random }))
    expect(Math.max(...delays) <= 80).toEqual(true)
    expect(Math.min(...delays) < 10).toEqual(true)
    expect(Math.max(...delays) > 70).toEqual(true)
  })
})
