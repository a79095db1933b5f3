import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createRunEstimates } from '../src/runEstimates.ts'

const ROUTE = 'r'

/** Run times with an exponential distribution, at equal steps of probability in a fixed order that mixes short and long ones. */
function listRunTimes (count: number, meanMs: number): number[] {
  return Array.from({ length: count }, (_, index) => -meanMs * Math.log(1 - (((index * 61) % count) + 0.5) / count))
}

// Guards against a stopping host that takes requests by the average alone, and breaks off a good part of those that may not be repeated.
describe('estimates of run times', () => {
  it('come near the mean, and near a time that few runs exceed', () => {
    const estimates = createRunEstimates()
    const runTimes = listRunTimes(1_000, 400)
    let longer = 0
    for (const runMs of runTimes) {
      if (runMs > estimates.getSafe(ROUTE)) longer += 1
      estimates.record(ROUTE, runMs)
    }
    expect([longer > 0, longer < runTimes.length / 10]).toEqual([true, true])
  })

  it('follow run times that grow, and tell routes apart', () => {
    const estimates = createRunEstimates()
    for (let count = 0; count < 50; count += 1) {
      estimates.record(ROUTE, count < 10 ? 10 : 5_000)
      estimates.record('short', 10)
    }
    expect([Math.round(estimates.getMean(ROUTE) / 100), Math.round(estimates.getSafe(ROUTE) / 500), Math.round(estimates.getSafe('short'))]).toEqual([50, 10, 10])
  })

  it('take a run that was ended for a long one only', () => {
    const estimates = createRunEstimates()
    estimates.record(ROUTE, 1_000)
    estimates.recordUnfinished(ROUTE, 500)
    expect(estimates.getMean(ROUTE)).toEqual(1_000)
    estimates.recordUnfinished(ROUTE, 2_000)
    expect(estimates.getMean(ROUTE)).toBeGreaterThan(1_000)
  })
})
