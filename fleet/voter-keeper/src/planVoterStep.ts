/** Decides the next step towards the wanted number of live voters. */
import type { MembershipStep } from '@catkinferry/consensus.log-machine'
import type { DurationMs, HostId } from '@catkinferry/core.types'

/** A voter that was silent for this long is replaced where another core host is there. */
export const LOST_VOTER_MS = 2_000

/** A member of the group as its leader sees it. */
export interface MemberStatus {
  readonly host: HostId
  readonly silentMs: DurationMs
  /** Another data folder answers under its name. */
  readonly isWiped: boolean
}

export interface VoterPlanInput {
  readonly self: HostId
  readonly voters: readonly MemberStatus[]
  readonly learners: readonly MemberStatus[]
  /** Core hosts heard from lately. */
  readonly live: readonly HostId[]
  /** Voters that are wanted: enough to bear the losses that the settings name. */
  readonly wanted: number
}

function isLost ({ silentMs, isWiped }: MemberStatus): boolean {
  return isWiped || silentMs > LOST_VOTER_MS
}

/**
 * Gives the next step, or undefined where nothing is to be done. A live host that is no member first becomes a learner;
 * once it is caught up, a lost voter makes room for it. Whether a step keeps the majority is checked by the log itself.
 */
export function planVoterStep (input: VoterPlanInput): MembershipStep | undefined {
  const { self, voters, learners, live, wanted } = input
  const isMember = (host: HostId): boolean => [...voters, ...learners].some(member => member.host === host)
  const lostLearner = learners.find(isLost)
  if (lostLearner !== undefined) return { kind: 'remove', host: lostLearner.host }
  const wiped = voters.find(({ host, isWiped }) => isWiped && host !== self)
  if (wiped !== undefined) return { kind: 'remove', host: wiped.host }
  const lost = voters.find(voter => voter.host !== self && isLost(voter))
  const [learner] = learners
  if (learner !== undefined && voters.length < wanted) return { kind: 'promote', host: learner.host }
  if (learner !== undefined && lost !== undefined) return { kind: 'remove', host: lost.host }
  const spare = live.find(host => !isMember(host))
  if (spare !== undefined && learner === undefined) return { kind: 'addLearner', host: spare }
  return undefined
}
