/** Looks up members of the group and computes quorums of its voters, for elections, commits, reads and membership changes. */
import type { HostId } from '@catkinferry/core.types'
import type { Membership, VoterId } from '@catkinferry/wire.messages'

/** Incarnation of a member that has not been bound to a data folder yet. */
export const UNBOUND = ''

/** Members as named in the settings file, before any data folder is known. */
export function createInitialMembership (hosts: readonly HostId[]): Membership {
  return { voters: hosts.map(host => ({ host, incarnation: UNBOUND })), learners: [] }
}

export function findVoter (membership: Membership, host: HostId): VoterId | undefined {
  return membership.voters.find(voter => voter.host === host)
}

export function findLearner (membership: Membership, host: HostId): VoterId | undefined {
  return membership.learners.find(learner => learner.host === host)
}

export function findMember (membership: Membership, host: HostId): VoterId | undefined {
  return findVoter(membership, host) ?? findLearner(membership, host)
}

/** Whether some voter is known only by its host name and not bound to a data folder yet. */
export function isUnbound (membership: Membership): boolean {
  return membership.voters.some(voter => voter.incarnation === UNBOUND)
}

/** Counts the voters that must agree: a majority, or all of them until each is bound to its data folder. */
export function countQuorum (membership: Membership): number {
  const { length } = membership.voters
  return isUnbound(membership) ? length : Math.floor(length / 2) + 1
}

/** Whether an incarnation is that of a member; a member that is not bound yet accepts any. */
export function isSameMember (member: VoterId | undefined, incarnation: string): boolean {
  return member !== undefined && (member.incarnation === UNBOUND || member.incarnation === incarnation)
}

/** Sets the incarnations of voters and learners that are not bound yet. */
export function assignIncarnations (membership: Membership, incarnations: ReadonlyMap<HostId, string>): Membership {
  const bind = (member: VoterId): VoterId => {
    if (member.incarnation !== UNBOUND) return member
    return { host: member.host, incarnation: incarnations.get(member.host) ?? UNBOUND }
  }
  return { voters: membership.voters.map(bind), learners: membership.learners.map(bind) }
}

/** Returns the highest value that a quorum of the voters has reached. */
export function computeQuorumValue (membership: Membership, getValue: (voter: VoterId) => number): number {
  const values = membership.voters.map(getValue).sort((a, b) => b - a)
  return values[countQuorum(membership) - 1] ?? Number.NEGATIVE_INFINITY
}
