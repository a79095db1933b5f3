import { VOTER_LOST_AFTER_MS, planVoterStep } from '@catkinferry/fleet.voter-keeper'
import type { MemberStatus, VoterPlanInput } from '@catkinferry/fleet.voter-keeper'
import { expect } from 'earl'
import { describe, it } from 'node:test'

const live = (host: string): MemberStatus => ({ host, silentMs: 0, isWiped: false })
const lost = (host: string): MemberStatus => ({ host, silentMs: VOTER_LOST_AFTER_MS + 1, isWiped: false })

function plan (changes: Partial<VoterPlanInput>) {
  return planVoterStep({ self: 'a', voters: [live('a'), live('b'), live('c')], learners: [], live: ['a', 'b', 'c'], targetVoterCount: 3, ...changes })
}

describe('planVoterStep', () => {
  it('plans no change while all voters are live', () => { expect(plan({})).toEqual(undefined) })

  it('plans no change for a silent voter without a spare host', () => {
    expect(plan({ voters: [live('a'), live('b'), lost('c')], live: ['a', 'b'] })).toEqual(undefined)
  })

  it('replaces a lost voter by adding a learner, removing the voter and promoting the learner', () => {
    const voters = [live('a'), live('b'), lost('c')]
    expect(plan({ voters, live: ['a', 'b', 'd'] })).toEqual({ kind: 'addLearner', host: 'd' })
    expect(plan({ voters, learners: [live('d')], live: ['a', 'b', 'd'] })).toEqual({ kind: 'remove', host: 'c' })
    expect(plan({ voters: [live('a'), live('b')], learners: [live('d')], live: ['a', 'b', 'd'] })).toEqual({ kind: 'promote', host: 'd' })
  })

  it('removes a voter whose data folder was replaced before adding its host as a learner', () => {
    const voters = [live('a'), live('b'), { host: 'c', silentMs: 0, isWiped: true }]
    expect(plan({ voters })).toEqual({ kind: 'remove', host: 'c' })
    expect(plan({ voters: [live('a'), live('b')] })).toEqual({ kind: 'addLearner', host: 'c' })
  })

  it('removes a silent learner', () => {
    expect(plan({ learners: [lost('d')] })).toEqual({ kind: 'remove', host: 'd' })
  })

  it('adds and promotes hosts up to the target number of voters', () => {
    expect(plan({ targetVoterCount: 5, live: ['a', 'b', 'c', 'd', 'e'] })).toEqual({ kind: 'addLearner', host: 'd' })
    expect(plan({ targetVoterCount: 5, learners: [live('d')], live: ['a', 'b', 'c', 'd', 'e'] })).toEqual({ kind: 'promote', host: 'd' })
  })
})
