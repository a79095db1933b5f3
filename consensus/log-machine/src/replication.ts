/**
 * Replication on the leader: sends entries and heartbeats to the peers on the machine's runs, handles each of their
 * answers, and commits.
 */
import type { HostId } from '@catkinferry/core.types'
import type { ConsensusMessage } from '@catkinferry/wire.messages'
import { beginCatchUp, finishCatchUp } from './catchUps.ts'
import { IN_FLIGHT_TIMEOUT_MS, LEADER_HEARTBEAT_MS, LOG_TO_SNAPSHOT_RATIO, MAX_APPEND_BYTES, MAX_APPEND_ENTRIES, MAX_APPENDS_IN_FLIGHT, SNAPSHOT_CHUNK_BYTES } from './constants.ts'
import { addEntries } from './disk.ts'
import { resetToFollower } from './elections.ts'
import { assignIncarnations, computeQuorumValue, findMember, isSameMember, UNBOUND } from './membership.ts'
import { updatePeers } from './peers.ts'
import { finishReads } from './reads.ts'
import { sendSnapshotChunk } from './snapshots.ts'
import { getMembership, getMembershipIndex, isVotingMember, Role } from './state.ts'
import type { MachineContext, MachineState, Progress } from './state.ts'
import { continueTransfer } from './transfer.ts'

type AppendAnswer = Extract<ConsensusMessage, { kind: 'consensus.appendAnswer' }>

/** Sends each peer the entries that it lacks; when a heartbeat is due, also an empty append to peers that lack none. */
export function sendAppends (state: MachineState, context: MachineContext): void {
  const isHeartbeat = context.now >= state.heartbeatAt || state.readRoundDue
  if (isHeartbeat) state.heartbeatAt = context.now + LEADER_HEARTBEAT_MS
  state.readRoundDue = false
  state.replicationDue = false
  for (const [host, progress] of state.peers) {
    expireInFlight(state, host, progress, context)
    const sent = sendEntries(state, host, progress, context)
    if (isHeartbeat && !sent) sendAppend(state, host, progress, [], context)
  }
}

function expireInFlight (state: MachineState, host: HostId, progress: Progress, context: MachineContext): void {
  if (progress.inFlight.length === 0 || context.now - progress.lastProgressAt < IN_FLIGHT_TIMEOUT_MS) return
  progress.inFlight = []
  progress.lastProgressAt = context.now
  if (progress.mode !== 'replicate') return
  progress.mode = 'probe'
  progress.nextIndex = progress.matchIndex + 1
  beginCatchUp(state, host, progress, context)
}

/** Sends as many batches as may be in flight; returns false when none was sent. */
function sendEntries (state: MachineState, host: HostId, progress: Progress, context: MachineContext): boolean {
  if (progress.foreignIncarnation !== undefined) return false
  if (progress.mode === 'snapshot' || state.log.getTerm(progress.nextIndex - 1) === undefined || isSnapshotSmaller(state, progress)) {
    sendSnapshotChunk(state, host, progress, context)
    return false
  }
  const limit = progress.mode === 'probe' ? 1 : MAX_APPENDS_IN_FLIGHT
  let sent = false
  while (progress.inFlight.length < limit && progress.nextIndex <= state.log.getLastIndex()) {
    const entries = state.log.list({ index: progress.nextIndex, maxEntries: MAX_APPEND_ENTRIES, maxBytes: MAX_APPEND_BYTES })
    sendAppend(state, host, progress, entries, context)
    const lastIndex = entries.at(-1)?.index ?? progress.nextIndex
    if (progress.catchUp !== undefined) progress.catchUp.entryBytes += state.log.getBytes(progress.nextIndex, lastIndex)
    if (progress.inFlight.length === 0) progress.lastProgressAt = context.now
    progress.inFlight.push(lastIndex)
    if (progress.mode === 'replicate') progress.nextIndex += entries.length
    sent = true
  }
  return sent
}

/** Whether the latest snapshot brings the peer up to date with fewer bytes than the entries that it covers. */
function isSnapshotSmaller ({ snapshot, log }: MachineState, { nextIndex }: Progress): boolean {
  if (snapshot === undefined || nextIndex > snapshot.lastIndex) return false
  return log.getBytes(nextIndex, snapshot.lastIndex) > Math.max(SNAPSHOT_CHUNK_BYTES, LOG_TO_SNAPSHOT_RATIO * snapshot.data.byteLength)
}

function sendAppend (state: MachineState, host: HostId, progress: Progress, entries: ReturnType<MachineState['log']['list']>, context: MachineContext): void {
  const lowest = state.log.getFirstIndex() - 1
  const previousIndex = Math.max(lowest, progress.nextIndex - 1)
  context.send(host, {
    kind: 'consensus.append',
    group: state.group,
    incarnation: state.incarnation,
    term: state.term,
    previousIndex,
    previousTerm: state.log.getTerm(previousIndex) ?? 0,
    entries,
    commitIndex: state.commitIndex,
    readRound: state.readRound
  })
}

/**
 * Returns the sender's progress, or undefined if its answer does not count: from no member, or from another data folder
 * than the member is bound to.
 */
export function checkSender (state: MachineState, from: HostId, incarnation: string, context: MachineContext): Progress | undefined {
  const progress = state.peers.get(from)
  const member = findMember(getMembership(state), from)
  if (progress === undefined || member === undefined) return undefined
  if (!isSameMember(member, incarnation)) {
    progress.foreignIncarnation = incarnation
    return undefined
  }
  progress.foreignIncarnation = undefined
  progress.lastHeardAt = context.now
  return progress
}

export function receiveAppendAnswer (state: MachineState, from: HostId, message: AppendAnswer, context: MachineContext): void {
  if (message.term > state.term) {
    resetToFollower(state, { term: message.term }, context)
    return
  }
  if (state.role !== Role.LEADER || message.term < state.term) return
  const progress = checkSender(state, from, message.incarnation, context)
  if (progress === undefined) return
  progress.readRound = Math.max(progress.readRound, message.readRound)
  if (message.success) recordMatch(state, progress, message.matchIndex, context)
  else recordMismatch(state, from, progress, message.matchIndex, context)
  bindMember(state, from, message, progress, context)
  if (state.role !== Role.LEADER) return
  finishReads(state)
  continueTransfer(state, context)
}

function recordMatch (state: MachineState, progress: Progress, matchIndex: number, context: MachineContext): void {
  progress.inFlight = progress.inFlight.filter(lastIndex => lastIndex > matchIndex)
  const advanced = matchIndex > progress.matchIndex
  if (advanced) {
    progress.matchIndex = matchIndex
    progress.lastProgressAt = context.now
    finishCatchUp(state, progress, context)
  }
  if (progress.mode === 'probe') progress.mode = 'replicate'
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1)
  if (progress.nextIndex <= state.log.getLastIndex()) state.replicationDue = true
  if (advanced) updateCommit(state, context)
}

function recordMismatch (state: MachineState, host: HostId, progress: Progress, hint: number, context: MachineContext): void {
  const isStale = hint < progress.matchIndex
  if (progress.mode === 'snapshot' || isStale) return
  progress.mode = 'probe'
  progress.inFlight = []
  progress.nextIndex = Math.max(progress.matchIndex, Math.min(hint, state.log.getLastIndex())) + 1
  beginCatchUp(state, host, progress, context)
  state.replicationDue = true
}

function bindMember (state: MachineState, from: HostId, message: AppendAnswer, progress: Progress, context: MachineContext): void {
  const membership = getMembership(state)
  if (findMember(membership, from)?.incarnation !== UNBOUND || message.readRound < progress.bindFromRound) return
  if (getMembershipIndex(state) > state.commitIndex || state.commitIndex < state.termStartIndex) return
  const bound = assignIncarnations(membership, new Map([[from, message.incarnation]]))
  addLeaderEntry(state, { kind: 'membership', membership: bound }, context)
}

/** Appends an entry in the leader's term and schedules its replication. */
export function addLeaderEntry (state: MachineState, payload: Parameters<typeof addEntries>[1][number]['payload'], context: MachineContext): number {
  const index = state.log.getLastIndex() + 1
  addEntries(state, [{ index, term: state.term, payload }], context)
  if (payload.kind === 'membership') updatePeers(state, context.now)
  state.replicationDue = true
  return index
}

/** Commits the entries that a quorum holds durably, if the last of them is of the leader's own term. */
export function updateCommit (state: MachineState, context: MachineContext): void {
  if (state.role !== Role.LEADER) return
  const index = computeQuorumValue(getMembership(state), voter => {
    if (voter.host === state.host) return isSameMember(voter, state.incarnation) ? state.durableIndex : 0
    return state.peers.get(voter.host)?.matchIndex ?? 0
  })
  if (index <= state.commitIndex || state.log.getTerm(index) !== state.term) return
  state.commitIndex = index
  state.replicationDue = true
  finishReads(state)
  if (!isVotingMember(state) && getMembershipIndex(state) <= index) resetToFollower(state, { term: state.term }, context)
}
