import { describe, it } from 'node:test'
import { createRandom } from '@catkinferry/core.random'
import { expect } from 'earl'
import { computeRetryDelay, createRetryBudget } from '../src/index.ts'

describe('createRetryBudget', () => {
  it('allows retries as a share of successes once the saved ones are spent', () => {
    const budget = createRetryBudget()
    while (budget.tryTake()) { /* spend what is saved */ }
    for (let number = 0; number < 25; number += 1) budget.noteSuccess(0.125)
    expect([budget.tryTake(), budget.tryTake(), budget.tryTake(), budget.tryTake()]).toEqual([true, true, true, false])
  })
})

describe('computeRetryDelay', () => {
  it('spreads over the whole of a growing bound', () => {
    const random = createRandom(3)
    const delays = Array.from({ length: 200 }, () => computeRetryDelay({ retry: 3, random }))
    expect(Math.max(...delays) <= 80).toEqual(true)
    expect(Math.min(...delays) < 10).toEqual(true)
    expect(Math.max(...delays) > 70).toEqual(true)
  })
})
