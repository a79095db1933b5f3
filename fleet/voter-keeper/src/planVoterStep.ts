/** Plans the next membership change towards the target number of live voters. Called by the voter keeper on the leader. */
import type { MembershipStep } from '@catkinferry/consensus.log-machine'
import type { DurationMs, HostId } from '@catkinferry/core.types'

/** A voter silent for longer than this is replaced if a spare core host is live. */
export const VOTER_LOST_AFTER_MS = 2_000

/** A member of the consensus group as the leader sees it. */
export interface MemberStatus {
  readonly host: HostId
  readonly silentMs: DurationMs
  /** Another data folder answers under this host's name. */
  readonly isWiped: boolean
}

export interface VoterPlanInput {
  readonly self: HostId
  readonly voters: readonly MemberStatus[]
  readonly learners: readonly MemberStatus[]
  /** Core hosts heard from recently. */
  readonly live: readonly HostId[]
  /** Voters needed to tolerate the number of losses in the settings. */
  readonly targetVoterCount: number
}

function isLost ({ silentMs, isWiped }: MemberStatus): boolean {
  return isWiped || silentMs > VOTER_LOST_AFTER_MS
}

/**
 * Returns the next membership change, or undefined if none is needed. A live host that is not a member first becomes a
 * learner; once it has caught up, a lost voter is removed to make room for it. The log itself checks that a change keeps
 * the majority.
 */
export function planVoterStep (input: VoterPlanInput): MembershipStep | undefined {
  const { self, voters, learners, live, targetVoterCount } = input
  const isMember = (host: HostId): boolean => [...voters, ...learners].some(member => member.host === host)
  const lostLearner = learners.find(isLost)
  if (lostLearner !== undefined) return { kind: 'remove', host: lostLearner.host }
  const wiped = voters.find(({ host, isWiped }) => isWiped && host !== self)
  if (wiped !== undefined) return { kind: 'remove', host: wiped.host }
  const lost = voters.find(voter => voter.host !== self && isLost(voter))
  const [learner] = learners
  if (learner !== undefined && voters.length < targetVoterCount) return { kind: 'promote', host: learner.host }
  if (learner !== undefined && lost !== undefined) return { kind: 'remove', host: lost.host }
  const spare = live.find(host => !isMember(host))
  if (spare !== undefined && learner === undefined) return { kind: 'addLearner', host: spare }
  return undefined
}
