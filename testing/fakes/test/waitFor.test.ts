import { expect } from 'earl'
import { describe, it } from 'node:test'
import { waitFor } from '../src/index.ts'

// Guards against tests that wait without a limit: one hang kept the whole run from ending, and from saying which test it was.
describe('a wait for a state', () => {
  it('that is never reached ends with an error that names it', async () => {
    await expect(waitFor('the leader is found', () => false, { maxMs: 20 })).toBeRejectedWith('not reached within 20 ms: the leader is found')
  })

  it('ends once the state is reached', async () => {
    let checks = 0
    await waitFor('the third check', async () => { checks += 1; return checks === 3 }, { pollMs: 1 })
    expect(checks).toEqual(3)
  })
})
