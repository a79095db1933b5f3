import { LOST_VOTER_MS, planVoterStep } from '@catkinferry/fleet.voter-keeper'
import type { MemberStatus, VoterPlanInput } from '@catkinferry/fleet.voter-keeper'
import { expect } from 'earl'
import { describe, it } from 'node:test'

const live = (host: string): MemberStatus => ({ host, silentMs: 0, isWiped: false })
const lost = (host: string): MemberStatus => ({ host, silentMs: LOST_VOTER_MS + 1, isWiped: false })

function plan (changes: Partial<VoterPlanInput>) {
  return planVoterStep({ self: 'a', voters: [live('a'), live('b'), live('c')], learners: [], live: ['a', 'b', 'c'], wanted: 3, ...changes })
}

describe('planVoterStep', () => {
  it('does nothing while all are there', () => { expect(plan({})).toEqual(undefined) })

  it('does nothing for a silent voter without a spare host', () => {
    expect(plan({ voters: [live('a'), live('b'), lost('c')], live: ['a', 'b'] })).toEqual(undefined)
  })

  it('replaces a lost voter in safe steps: learner, removal, promotion', () => {
    const voters = [live('a'), live('b'), lost('c')]
    expect(plan({ voters, live: ['a', 'b', 'd'] })).toEqual({ kind: 'addLearner', host: 'd' })
    expect(plan({ voters, learners: [live('d')], live: ['a', 'b', 'd'] })).toEqual({ kind: 'remove', host: 'c' })
    expect(plan({ voters: [live('a'), live('b')], learners: [live('d')], live: ['a', 'b', 'd'] })).toEqual({ kind: 'promote', host: 'd' })
  })

  it('takes a host whose disk was lost out before it takes it in again', () => {
    const voters = [live('a'), live('b'), { host: 'c', silentMs: 0, isWiped: true }]
    expect(plan({ voters })).toEqual({ kind: 'remove', host: 'c' })
    expect(plan({ voters: [live('a'), live('b')] })).toEqual({ kind: 'addLearner', host: 'c' })
  })

  it('gives up a learner that fell silent', () => {
    expect(plan({ learners: [lost('d')] })).toEqual({ kind: 'remove', host: 'd' })
  })

  it('grows to the wanted number', () => {
    expect(plan({ wanted: 5, live: ['a', 'b', 'c', 'd', 'e'] })).toEqual({ kind: 'addLearner', host: 'd' })
    expect(plan({ wanted: 5, learners: [live('d')], live: ['a', 'b', 'c', 'd', 'e'] })).toEqual({ kind: 'promote', host: 'd' })
  })
})
