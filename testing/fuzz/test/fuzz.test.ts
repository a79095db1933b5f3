import { SMALL_DEPLOYMENT } from '@catkinferry/testing.network'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { createActionsArbitrary } from '../src/actions.ts'
import { runActions } from '../src/runActions.ts'

const SEED = 20261204
const RUNS = 60

function checkActionLists (checksFencing: boolean): void {
  const shape = { ...SMALL_DEPLOYMENT, checksFencing }
  fc.assert(fc.property(createActionsArbitrary({ minLength: 5, maxLength: 60 }), fc.nat({ max: 1_000_000 }), (actions, seed) => {
    const { violations } = runActions({ seed, shape, actions })
    if (violations.length > 0) throw new Error(violations.slice(0, 5).join('\n'))
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
}

describe('stateful fuzzing', () => {
  it('finds no violation when engines ignore fencing tokens', () => checkActionLists(false))
  it('finds no violation when engines check fencing tokens', () => checkActionLists(true))
})
