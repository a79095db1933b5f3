/**
 * Leader elections, with a pre-vote round. A voter starts one when it has not heard from a leader in time; a leader steps
 * down when it has not heard from a quorum. Called on each run of the machine and for each election message.
 */
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { ConsensusMessage, LogPayload } from '@catkinferry/wire.messages'
import { CHECK_QUORUM_MS, MIN_ELECTION_TIMEOUT_MS } from './constants.ts'
import { addEntries, saveHardState, sendWhenDurable } from './disk.ts'
import { assignIncarnations, computeQuorumValue, countQuorum, isSameMember, isUnbound } from './membership.ts'
import { updatePeers } from './peers.ts'
import { computeElectionAt, getLastTerm, getMembership, isVotingMember, Role } from './state.ts'
import type { MachineContext, MachineState } from './state.ts'

type MessageOf<Kind extends ConsensusMessage['kind']> = Extract<ConsensusMessage, { kind: Kind }>

/** Becomes a follower. A higher term is made durable before anything is answered in it. */
export function resetToFollower (state: MachineState, opts: { readonly term: number, readonly leader?: HostId }, context: MachineContext): void {
  const wasLeader = state.role === Role.LEADER
  state.role = Role.FOLLOWER
  state.leader = opts.leader
  state.votes.clear()
  if (wasLeader) clearLeadership(state)
  if (opts.term > state.term) {
    state.term = opts.term
    state.votedFor = undefined
    saveHardState(state, context)
  }
  if (wasLeader) state.electionAt = computeElectionAt(state, context.now)
}

function clearLeadership (state: MachineState): void {
  state.peers.clear()
  state.transferTo = undefined
  state.failedReads.push(...state.pendingReads.map(({ readId }) => readId))
  state.pendingReads = []
}

/** Asks the voters whether an election could be won, without raising the term. */
export function beginPreVote (state: MachineState, context: MachineContext): void {
  state.electionAt = computeElectionAt(state, context.now)
  if (!isVotingMember(state)) return
  state.role = Role.PRE_CANDIDATE
  state.leader = undefined
  state.votes = new Map([[state.host, state.incarnation]])
  requestVotes(state, 'consensus.preVote', false, context)
  if (hasQuorum(state)) beginElection(state, false, context)
}

function beginElection (state: MachineState, transfer: boolean, context: MachineContext): void {
  state.role = Role.CANDIDATE
  state.leader = undefined
  state.term += 1
  state.votedFor = state.host
  state.votes = new Map([[state.host, state.incarnation]])
  state.electionAt = computeElectionAt(state, context.now)
  state.voteWriteId = saveHardState(state, context)
  requestVotes(state, 'consensus.vote', transfer, context)
}

function requestVotes (state: MachineState, kind: 'consensus.preVote' | 'consensus.vote', transfer: boolean, context: MachineContext): void {
  const { group, incarnation } = state
  const lastIndex = state.log.getLastIndex()
  const lastTerm = getLastTerm(state)
  for (const { host } of getMembership(state).voters) {
    if (host === state.host) continue
    if (kind === 'consensus.vote') context.send(host, { kind, group, incarnation, term: state.term, lastIndex, lastTerm, transfer })
    else context.send(host, { kind, group, incarnation, term: state.term + 1, lastIndex, lastTerm })
  }
}

function hasQuorum (state: MachineState): boolean {
  const membership = getMembership(state)
  const granted = membership.voters.filter(voter => {
    const incarnation = state.votes.get(voter.host)
    return incarnation !== undefined && isSameMember(voter, incarnation)
  })
  return granted.length >= countQuorum(membership)
}

function isLogUpToDate (state: MachineState, message: { lastIndex: number, lastTerm: number }): boolean {
  const lastTerm = getLastTerm(state)
  if (message.lastTerm !== lastTerm) return message.lastTerm > lastTerm
  return message.lastIndex >= state.log.getLastIndex()
}

function hasRecentLeader (state: MachineState, now: MonotonicMs): boolean {
  return state.role === Role.LEADER || now - state.leaderHeardAt < MIN_ELECTION_TIMEOUT_MS
}

export function receivePreVote (state: MachineState, from: HostId, message: MessageOf<'consensus.preVote'>, context: MachineContext): void {
  const granted = message.term > state.term && isLogUpToDate(state, message) && !hasRecentLeader(state, context.now)
  const { group, incarnation } = state
  const term = granted ? message.term : state.term
  sendWhenDurable(state, from, { kind: 'consensus.preVoteAnswer', group, incarnation, term, granted }, context)
}

export function receivePreVoteAnswer (state: MachineState, from: HostId, message: MessageOf<'consensus.preVoteAnswer'>, context: MachineContext): void {
  if (state.role !== Role.PRE_CANDIDATE) return
  if (!message.granted) {
    if (message.term > state.term) resetToFollower(state, { term: message.term }, context)
    return
  }
  if (message.term !== state.term + 1) return
  state.votes.set(from, message.incarnation)
  if (hasQuorum(state)) beginElection(state, false, context)
}

export function receiveVote (state: MachineState, from: HostId, message: MessageOf<'consensus.vote'>, context: MachineContext): void {
  if (message.term > state.term) {
    if (!message.transfer && hasRecentLeader(state, context.now)) return
    resetToFollower(state, { term: message.term }, context)
  }
  const { group, incarnation } = state
  const isVoteFree = state.votedFor === undefined || state.votedFor === from
  const granted = message.term === state.term && isVoteFree && isLogUpToDate(state, message)
  if (granted && state.votedFor === undefined) {
    state.votedFor = from
    saveHardState(state, context)
  }
  if (granted) {
    state.role = Role.FOLLOWER
    state.electionAt = computeElectionAt(state, context.now)
  }
  sendWhenDurable(state, from, { kind: 'consensus.voteAnswer', group, incarnation, term: state.term, granted }, context)
}

export function receiveVoteAnswer (state: MachineState, from: HostId, message: MessageOf<'consensus.voteAnswer'>, context: MachineContext): void {
  if (message.term > state.term) {
    resetToFollower(state, { term: message.term }, context)
    return
  }
  if (state.role !== Role.CANDIDATE || message.term !== state.term || !message.granted) return
  state.votes.set(from, message.incarnation)
  tryBecomeLeader(state, context)
}

export function receiveTimeoutNow (state: MachineState, from: HostId, message: MessageOf<'consensus.timeoutNow'>, context: MachineContext): void {
  if (message.term !== state.term || state.leader !== from || state.role === Role.LEADER || !isVotingMember(state)) return
  beginElection(state, true, context)
}

/** Becomes the leader once a quorum has voted for it and its own vote is durable. */
export function tryBecomeLeader (state: MachineState, context: MachineContext): void {
  if (state.role !== Role.CANDIDATE || state.durableWriteId < state.voteWriteId || !hasQuorum(state)) return
  state.role = Role.LEADER
  state.leader = state.host
  state.leaderSince = context.now
  state.heartbeatAt = context.now
  state.readRound = 0
  state.readRoundDue = false
  state.peers.clear()
  state.termStartIndex = state.log.getLastIndex() + 1
  addEntries(state, [{ index: state.termStartIndex, term: state.term, payload: createFirstPayload(state) }], context)
  updatePeers(state, context.now)
  state.replicationDue = true
}

/** The first leader of a group binds every voter to the data folder that voted; later leaders begin with an empty entry. */
function createFirstPayload (state: MachineState): LogPayload {
  const membership = getMembership(state)
  if (!isUnbound(membership)) return { kind: 'noop' }
  return { kind: 'membership', membership: assignIncarnations(membership, state.votes) }
}

/** Computes when a leader last had heard from a quorum, itself included. */
export function computeQuorumHeardAt (state: Readonly<MachineState>, now: MonotonicMs): MonotonicMs {
  return computeQuorumValue(getMembership(state), voter => {
    if (voter.host === state.host) return now
    return state.peers.get(voter.host)?.lastHeardAt ?? state.leaderSince
  })
}

/** Steps down when a quorum has not been heard from within `CHECK_QUORUM_MS`. */
export function checkQuorum (state: MachineState, context: MachineContext): void {
  if (context.now < state.quorumCheckAt) return
  if (context.now - computeQuorumHeardAt(state, context.now) >= CHECK_QUORUM_MS) resetToFollower(state, { term: state.term }, context)
}
