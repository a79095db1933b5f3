/**
 * Transfers snapshots in chunks to peers that lack entries which the leader no longer holds, and installs snapshots
 * once they are durable.
 */
import type { HostId } from '@catkinferry/core.types'
import type { ConsensusMessage, Snapshot } from '@catkinferry/wire.messages'
import { MAX_SNAPSHOT_BYTES, SNAPSHOT_CHUNK_BYTES, SNAPSHOT_RESEND_MS } from './constants.ts'
import { saveSnapshot, sendAfterDisk } from './disk.ts'
import { resetToFollower } from './elections.ts'
import { noteLeader } from './followers.ts'
import { checkAnswerer } from './replication.ts'
import { Role } from './state.ts'
import type { MachineContext, MachineState, PendingWrite, Progress, SnapshotIntake } from './state.ts'

type Chunk = Extract<ConsensusMessage, { kind: 'consensus.snapshotChunk' }>
type Answer = Extract<ConsensusMessage, { kind: 'consensus.snapshotAnswer' }>

/** Sends the next chunk unless one is in flight. */
export function sendSnapshotChunk (state: MachineState, host: HostId, progress: Progress, context: MachineContext): void {
  if (progress.transfer === undefined) {
    if (state.snapshot === undefined) return
    progress.mode = 'snapshot'
    progress.transfer = { snapshot: state.snapshot, offset: 0, sentAt: Number.NEGATIVE_INFINITY }
  }
  const { transfer } = progress
  if (context.now - transfer.sentAt < SNAPSHOT_RESEND_MS) return
  transfer.sentAt = context.now
  const { snapshot, offset } = transfer
  context.send(host, {
    kind: 'consensus.snapshotChunk',
    group: state.group,
    incarnation: state.incarnation,
    term: state.term,
    lastIndex: snapshot.lastIndex,
    lastTerm: snapshot.lastTerm,
    membership: snapshot.membership,
    offset,
    totalBytes: snapshot.data.byteLength,
    data: snapshot.data.subarray(offset, offset + SNAPSHOT_CHUNK_BYTES)
  })
}

export function receiveSnapshotAnswer (state: MachineState, from: HostId, message: Answer, context: MachineContext): void {
  if (message.term > state.term) {
    resetToFollower(state, { term: message.term }, context)
    return
  }
  if (state.role !== Role.LEADER || message.term < state.term) return
  const progress = checkAnswerer(state, from, message.incarnation, context)
  const transfer = progress?.transfer
  if (progress === undefined || transfer === undefined || transfer.snapshot.lastIndex !== message.lastIndex) return
  if (message.done) {
    progress.transfer = undefined
    progress.mode = 'probe'
    progress.inFlight = 0
    progress.matchIndex = Math.max(progress.matchIndex, message.lastIndex)
    progress.nextIndex = progress.matchIndex + 1
  } else if (message.nextOffset !== transfer.offset) {
    transfer.offset = message.nextOffset
    transfer.sentAt = Number.NEGATIVE_INFINITY
  }
  state.replicationDue = true
}

export function receiveSnapshotChunk (state: MachineState, from: HostId, message: Chunk, context: MachineContext): void {
  if (message.term < state.term) {
    sendSnapshotAnswer(state, from, message, { nextOffset: 0, done: false }, context)
    return
  }
  noteLeader(state, from, message.term, context)
  if (message.lastIndex <= state.commitIndex) {
    sendSnapshotAnswer(state, from, message, { nextOffset: message.totalBytes, done: true }, context)
    return
  }
  const intake = openIntake(state, from, message)
  if (intake.saving || message.totalBytes > MAX_SNAPSHOT_BYTES) return
  if (message.offset === intake.bytes && message.offset + message.data.byteLength <= message.totalBytes) {
    intake.parts.push(message.data)
    intake.bytes += message.data.byteLength
  }
  if (intake.bytes < message.totalBytes) {
    sendSnapshotAnswer(state, from, message, { nextOffset: intake.bytes, done: false }, context)
    return
  }
  intake.saving = true
  const { lastIndex, lastTerm, membership } = message
  saveSnapshot(state, { lastIndex, lastTerm, membership, data: Buffer.concat(intake.parts) }, { replacesState: true }, context)
}

function openIntake (state: MachineState, from: HostId, message: Chunk): SnapshotIntake {
  const { intake } = state
  if (intake?.saving === true) return intake
  if (intake !== undefined && intake.from === from && intake.term === message.term && intake.lastIndex === message.lastIndex) return intake
  state.intake = { from, term: message.term, lastIndex: message.lastIndex, parts: [], bytes: 0, saving: false }
  return state.intake
}

function sendSnapshotAnswer (state: MachineState, to: HostId, about: { readonly lastIndex: number }, answer: { nextOffset: number, done: boolean }, context: MachineContext): void {
  const { group, incarnation, term } = state
  sendAfterDisk(state, to, { kind: 'consensus.snapshotAnswer', group, incarnation, term, lastIndex: about.lastIndex, ...answer }, context)
}

/** Applies a snapshot once it is durable: this voter's own frees memory, one from the leader replaces the state. */
export function applySavedSnapshot (state: MachineState, write: PendingWrite, context: MachineContext): void {
  const { snapshot, tailEntries } = write
  if (snapshot === undefined) return
  if (snapshot.lastIndex > (state.snapshot?.lastIndex ?? 0)) state.snapshot = snapshot
  if (tailEntries !== undefined) dropCompacted(state, snapshot.lastIndex - tailEntries)
  if (write.replacesState !== true) return
  installSnapshot(state, snapshot)
  const { intake } = state
  state.intake = undefined
  if (intake === undefined) return
  if (intake.term === state.term) sendSnapshotAnswer(state, intake.from, snapshot, { nextOffset: snapshot.data.byteLength, done: true }, context)
}

function dropCompacted (state: MachineState, index: number): void {
  if (index < state.log.getFirstIndex()) return
  state.log.dropTo(index)
  const base = state.memberships.findLastIndex(known => known.index <= index)
  state.memberships = state.memberships.slice(Math.max(0, base))
}

function installSnapshot (state: MachineState, snapshot: Snapshot): void {
  const { lastIndex, lastTerm, membership } = snapshot
  const keepsSuffix = state.log.getTerm(lastIndex) === lastTerm
  if (keepsSuffix) state.log.dropTo(lastIndex)
  else state.log.reset(lastIndex, lastTerm)
  const later = keepsSuffix ? state.memberships.filter(({ index }) => index > lastIndex) : []
  state.memberships = [{ index: lastIndex, membership }, ...later]
  state.durableIndex = keepsSuffix ? Math.max(state.durableIndex, lastIndex) : lastIndex
  state.commitIndex = lastIndex
  state.takenIndex = lastIndex
  state.restore = snapshot
}
