import { createLoadBackoff, sortLoadCandidates } from '@catkinferry/adapters.load-scheduler'
import { createRandom } from '@catkinferry/core.random'
import { expect } from 'earl'
import { describe, it } from 'node:test'

describe('sortLoadCandidates', () => {
  it('sorts loads with waiting requests before prefetches, more requests before fewer, and prefetches by rate', () => {
    const buildCandidate = (adapterKey: string, bestRank: number, waiting: number, ratePerSecond = 0): Parameters<typeof sortLoadCandidates>[0][number] => ({ adapterKey, bestRank, waiting, waitingSince: 0, ratePerSecond })
    const sorted = sortLoadCandidates([buildCandidate('cold', Infinity, 0, 1), buildCandidate('hot', Infinity, 0, 9), buildCandidate('late', 1_000, 1), buildCandidate('many', 1_200, 5)])
    expect(sorted.map(({ adapterKey }) => adapterKey)).toEqual(['many', 'late', 'hot', 'cold'])
  })
})

describe('createLoadBackoff', () => {
  it('waits longer after each failure, but not at other endpoints or after a success', () => {
    const backoff = createLoadBackoff({ random: createRandom(1) })
    const first = backoff.recordFailure('e1', 'a@1', 0)
    for (let count = 0; count < 4; count++) backoff.recordFailure('e1', 'a@1', 0)
    expect(backoff.getWaitMs('e1', 'a@1', 0)).toBeGreaterThan(first * 4)
    expect(backoff.getWaitMs('e2', 'a@1', 0)).toEqual(0)
    backoff.recordSuccess('e1', 'a@1')
    expect(backoff.getWaitMs('e1', 'a@1', 0)).toEqual(0)
  })
})
