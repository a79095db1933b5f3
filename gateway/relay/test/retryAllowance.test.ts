import { createRetryAllowance } from '../src/retryAllowance.ts'
import { createRandom } from '@catkinferry/core.random'
import { expect } from 'earl'
import { describe, it } from 'node:test'

const BUDGET = { ratio: 0.2, slack: 50, windowMs: 10_000 }

describe('createRetryAllowance', () => {
  it('lets a host use at once all retries that its requests of the window allow', () => {
    let now = 0
    const allowance = createRetryAllowance({ ...BUDGET, getEntryCount: () => 70, getNow: () => now })
    for (; now < 5_000; now += 50) allowance.recordRequest('p')
    let taken = 0
    while (allowance.tryTake('p')) taken += 1
    expect(taken).toEqual(14)
  })

  for (const seed of [1, 2, 3, 4]) {
    it(`keeps the retries of all hosts within the budget in every window (seed ${seed})`, () => {
      const random = createRandom(seed)
      let now = 0
      const hosts = Array.from({ length: 6 }, () => createRetryAllowance({ ...BUDGET, getEntryCount: () => 6, getNow: () => now }))
      const requests: number[] = []
      const taken: number[] = []
      for (; now < 60_000; now += 20) {
        const host = random.pick(hosts)
        if (random.nextFraction() < 0.3) {
          host.recordRequest('p')
          requests.push(now)
        }
        if (now % 7_000 < 3_000 && host.tryTake('p')) taken.push(now)
      }
      const countIn = (list: readonly number[], from: number): number => list.filter(at => at >= from && at < from + BUDGET.windowMs).length
      for (let from = 0; from < 50_000; from += 500) {
        const most = Math.max(countIn(requests, from), countIn(requests, from - BUDGET.windowMs), countIn(requests, from - BUDGET.windowMs / 2))
        expect(countIn(taken, from) <= BUDGET.ratio * most + BUDGET.slack).toEqual(true)
      }
    })
  }

  it('drops requests and retries older than the window', () => {
    let now = 0
    const allowance = createRetryAllowance({ ratio: 0, slack: 3, windowMs: 10_000, getEntryCount: () => 1, getNow: () => now })
    expect([allowance.tryTake('p'), allowance.tryTake('p'), allowance.tryTake('p')]).toEqual([true, true, false])
    now = 11_000
    expect(allowance.tryTake('p')).toEqual(true)
  })
})
