import { SMALL_DEPLOYMENT } from '@catkinferry/testing.network'
import { expect } from 'earl'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { createActionsArbitrary } from '../src/actions.ts'
import { mutations } from '../src/mutations.ts'
import { countOccurrences, loadMutant } from './mutant.ts'

const SEED = 1
const MAX_LISTS = 60

describe('stateful fuzzing with a mutation', () => {
  mutations.forEach((mutation, index) => {
    it(`detects that ${mutation.name}`, async () => {
      expect(await countOccurrences(mutation)).toEqual(1)
      const { runActions } = await loadMutant(mutation, index)
      const caught: string[] = []
      const property = fc.property(createActionsArbitrary({ minLength: 10, maxLength: 40, kinds: mutation.kinds }), fc.nat({ max: 1_000_000 }), (actions, seed) => {
        const { violations } = runActions({ seed, shape: SMALL_DEPLOYMENT, actions })
        caught.push(...violations)
        return violations.length === 0
      })
      const details = fc.check(property, { seed: SEED, numRuns: MAX_LISTS, endOnFailure: true })
      if (process.env['SHOW_MUTANTS'] !== undefined) process.stdout.write(`${mutation.name}: ${details.numRuns} lists; ${caught[0] ?? 'not caught'}\n`)
      expect(details.failed).toEqual(true)
    })
  })
})
