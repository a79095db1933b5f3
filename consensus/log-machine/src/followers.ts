/** Replication on a follower, for each append message: takes entries from the leader and acknowledges them. */
import type { HostId } from '@catkinferry/core.types'
import type { ConsensusMessage, LogEntry } from '@catkinferry/wire.messages'
import { addEntries, replaceEntries, sendWhenDurable } from './disk.ts'
import { resetToFollower } from './elections.ts'
import { findMember } from './membership.ts'
import { computeElectionAt, getMembership, Role } from './state.ts'
import type { MachineContext, MachineState } from './state.ts'

type Append = Extract<ConsensusMessage, { kind: 'consensus.append' }>

/** Follows the leader of the current or a higher term. */
export function followLeader (state: MachineState, from: HostId, term: number, context: MachineContext): void {
  if (term > state.term || state.role !== Role.FOLLOWER) resetToFollower(state, { term, leader: from }, context)
  state.leader = from
  state.leaderHeardAt = context.now
  state.electionAt = computeElectionAt(state, context.now)
}

export function receiveAppend (state: MachineState, from: HostId, message: Append, context: MachineContext): void {
  if (message.term < state.term) {
    sendAppendAnswer(state, from, { success: false, matchIndex: state.log.getLastIndex(), readRound: 0 }, context)
    return
  }
  followLeader(state, from, message.term, context)
  if (state.incomingSnapshot?.saving === true) {
    sendLivenessAnswer(state, from, context)
    return
  }
  const { readRound } = message
  if (!hasPreviousEntry(state, message)) {
    sendAppendAnswer(state, from, { success: false, matchIndex: computeRejectHint(state, message), readRound }, context)
    return
  }
  mergeEntries(state, message, context)
  if (message.entries.length === 0 && state.durableWriteId < state.lastLogWriteId) sendLivenessAnswer(state, from, context)
  const matchIndex = message.previousIndex + message.entries.length
  state.commitIndex = Math.max(state.commitIndex, Math.min(message.commitIndex, matchIndex))
  if (hasAllCommitted(state, message)) state.caughtUpAt = context.now
  sendAppendAnswer(state, from, { success: true, matchIndex, readRound }, context)
}

/**
 * A new leader does not know what is committed until an entry of its own term is, so its commit index counts only from
 * then on.
 */
function hasAllCommitted (state: MachineState, message: Append): boolean {
  return state.commitIndex >= message.commitIndex && state.log.getTerm(state.commitIndex) === message.term
}

function hasPreviousEntry (state: MachineState, message: Append): boolean {
  if (message.previousIndex < state.log.getFirstIndex() - 1) return true
  return state.log.getTerm(message.previousIndex) === message.previousTerm
}

/** Returns the last index at which the logs may still agree. */
function computeRejectHint (state: MachineState, message: Append): number {
  const last = state.log.getLastIndex()
  if (message.previousIndex > last) return last
  const conflicting = state.log.getTerm(message.previousIndex)
  let index = message.previousIndex - 1
  while (index > state.commitIndex && state.log.getTerm(index) === conflicting) index--
  return index
}

/** Skips entries that are in the log already, replaces the log from the first that differs, and appends the rest. */
function mergeEntries (state: MachineState, message: Append, context: MachineContext): void {
  const firstKept = state.log.getFirstIndex()
  const isNew = (entry: LogEntry): boolean => entry.index >= firstKept && state.log.getTerm(entry.index) !== entry.term
  const from = message.entries.findIndex(isNew)
  if (from === -1) return
  const entries = message.entries.slice(from)
  const first = entries[0]
  if (first === undefined) return
  if (first.index <= state.log.getLastIndex()) replaceEntries(state, entries, context)
  else addEntries(state, entries, context)
}

function sendAppendAnswer (state: MachineState, to: HostId, answer: { success: boolean, matchIndex: number, readRound: number }, context: MachineContext): void {
  const { group, incarnation, term } = state
  sendWhenDurable(state, to, { kind: 'consensus.appendAnswer', group, incarnation, term, ...answer }, context)
}

/**
 * Answers at once while the proper answer waits for a slow disk, or no entries are taken because a snapshot is being
 * saved; otherwise a stalled disk would look like a lost voter. It acknowledges no entry and no read round, so it can neither commit an entry nor confirm a read.
 */
function sendLivenessAnswer (state: MachineState, to: HostId, context: MachineContext): void {
  const { group, incarnation, term, host } = state
  if (findMember(getMembership(state), host)?.incarnation !== incarnation) return
  context.send(to, { kind: 'consensus.appendAnswer', group, incarnation, term, success: true, matchIndex: 0, readRound: 0 })
}
