/**
 * Membership changes on the leader, one member at a time, so that the old and new majorities always overlap. Requested by
 * a voter replacement or by the code that replaces lost voters.
 */
import { createFailed, createOk, ErrorCode } from '@catkinferry/core.errors'
import type { Result } from '@catkinferry/core.errors'
import type { HostId } from '@catkinferry/core.types'
import type { Membership, VoterId } from '@catkinferry/wire.messages'
import { MAX_CAUGHT_UP_LAG_ENTRIES, CHECK_QUORUM_MS } from './constants.ts'
import { findLearner, findMember, findVoter, UNBOUND } from './membership.ts'
import { addLeaderEntry } from './replication.ts'
import { getMembership, getMembershipIndex, Role } from './state.ts'
import type { MachineContext, MachineState } from './state.ts'

/** One step of a membership change. */
export type MembershipStep =
  | { readonly kind: 'addLearner', readonly host: HostId }
  | { readonly kind: 'promote', readonly host: HostId }
  | { readonly kind: 'remove', readonly host: HostId }

/** Proposes one step. The result is the index of its entry; the step is complete once that entry is committed. */
export function proposeMembership (state: MachineState, step: MembershipStep, context: MachineContext): Result<number> {
  const reason = findRefusalReason(state, step, context)
  if (reason !== undefined) {
    const code = state.role === Role.LEADER ? ErrorCode.CONFLICT : ErrorCode.NO_QUORUM
    return createFailed({ code, message: `membership step '${step.kind}' of host '${step.host}' is refused: ${reason}`, step: 'membership', peer: step.host })
  }
  return createOk(addLeaderEntry(state, { kind: 'membership', membership: buildMembership(getMembership(state), step) }, context))
}

function buildMembership ({ voters, learners }: Membership, { kind, host }: MembershipStep): Membership {
  const others = (members: readonly VoterId[]): VoterId[] => members.filter(member => member.host !== host)
  if (kind === 'addLearner') return { voters, learners: [...learners, { host, incarnation: UNBOUND }] }
  if (kind === 'remove') return { voters: others(voters), learners: others(learners) }
  const learner = learners.find(member => member.host === host)
  return { voters: learner === undefined ? voters : [...voters, learner], learners: others(learners) }
}

function findRefusalReason (state: MachineState, step: MembershipStep, context: MachineContext): string | undefined {
  if (state.role !== Role.LEADER) return 'this voter is not the leader'
  if (state.transferTo !== undefined) return 'leadership is being transferred'
  if (state.commitIndex < state.termStartIndex) return 'the leader has not committed an entry of its term yet'
  if (getMembershipIndex(state) > state.commitIndex) return 'another membership change is under way'
  return findStepRefusalReason[step.kind](state, step.host, context)
}

const findStepRefusalReason: Readonly<Record<MembershipStep['kind'], (state: MachineState, host: HostId, context: MachineContext) => string | undefined>> = {
  addLearner: (state, host) => findMember(getMembership(state), host) === undefined ? undefined : 'it is already a member',
  promote: (state, host, context) => {
    const membership = getMembership(state)
    const learner = findLearner(membership, host)
    if (learner === undefined) return 'it is not a learner'
    if (learner.incarnation === UNBOUND) return 'its data folder is not known yet'
    if (!isCaughtUp(state, host, context)) return 'it has not caught up'
    return findMajorityRefusalReason(state, [...membership.voters, learner], context)
  },
  remove: (state, host, context) => {
    const membership = getMembership(state)
    if (findMember(membership, host) === undefined) return 'it is not a member'
    if (host === state.host) return 'it is the leader; transfer leadership first'
    if (findVoter(membership, host) === undefined) return undefined
    return findMajorityRefusalReason(state, membership.voters.filter(voter => voter.host !== host), context)
  }
}

/** Whether a member was heard from recently and holds nearly all committed entries. */
export function isCaughtUp (state: MachineState, host: HostId, context: MachineContext): boolean {
  if (host === state.host) return true
  const progress = state.peers.get(host)
  if (progress === undefined || progress.foreignIncarnation !== undefined) return false
  return context.now - progress.lastHeardAt < CHECK_QUORUM_MS && progress.matchIndex >= state.commitIndex - MAX_CAUGHT_UP_LAG_ENTRIES && progress.matchIndex > 0
}

function findMajorityRefusalReason (state: MachineState, voters: readonly VoterId[], context: MachineContext): string | undefined {
  const caughtUp = voters.filter(({ host }) => isCaughtUp(state, host, context)).length
  const needed = Math.floor(voters.length / 2) + 1
  if (caughtUp >= needed) return undefined
  return `only ${caughtUp} of the ${voters.length} resulting voters are caught up, ${needed} are needed`
}
