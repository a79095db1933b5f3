/**
 * Transfers snapshots in chunks to peers that lack entries which the leader no longer holds, and installs snapshots
 * once they are durable. Replication sends them; the machine calls the rest for snapshot messages and disk answers.
 */
import type { HostId } from '@catkinferry/core.types'
import type { ConsensusMessage, Snapshot } from '@catkinferry/wire.messages'
import { MAX_SNAPSHOT_BYTES, SNAPSHOT_CHUNK_BYTES, SNAPSHOT_RESEND_MS } from './constants.ts'
import { saveSnapshot, sendWhenDurable } from './disk.ts'
import { resetToFollower } from './elections.ts'
import { followLeader } from './followers.ts'
import { finishCatchUp } from './catchUps.ts'
import { checkSender } from './replication.ts'
import { Role } from './state.ts'
import type { IncomingSnapshot, LogTail, MachineContext, MachineState, PendingWrite, Progress } from './state.ts'

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
  const data = snapshot.data.subarray(offset, offset + SNAPSHOT_CHUNK_BYTES)
  if (progress.catchUp !== undefined) progress.catchUp.snapshotBytes += data.byteLength
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
    data
  })
}

export function receiveSnapshotAnswer (state: MachineState, from: HostId, message: Answer, context: MachineContext): void {
  if (message.term > state.term) {
    resetToFollower(state, { term: message.term }, context)
    return
  }
  if (state.role !== Role.LEADER || message.term < state.term) return
  const progress = checkSender(state, from, message.incarnation, context)
  const transfer = progress?.transfer
  if (progress === undefined || transfer === undefined || transfer.snapshot.lastIndex !== message.lastIndex) return
  if (message.done) {
    progress.transfer = undefined
    progress.mode = 'probe'
    progress.inFlight = []
    progress.matchIndex = Math.max(progress.matchIndex, message.lastIndex)
    progress.nextIndex = progress.matchIndex + 1
    finishCatchUp(state, progress, context)
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
  followLeader(state, from, message.term, context)
  if (message.lastIndex <= state.commitIndex) {
    sendSnapshotAnswer(state, from, message, { nextOffset: message.totalBytes, done: true }, context)
    return
  }
  const incomingSnapshot = openIncomingSnapshot(state, from, message)
  if (incomingSnapshot.saving || message.totalBytes > MAX_SNAPSHOT_BYTES) return
  if (message.offset === incomingSnapshot.bytes && message.offset + message.data.byteLength <= message.totalBytes) {
    incomingSnapshot.parts.push(message.data)
    incomingSnapshot.bytes += message.data.byteLength
  }
  if (incomingSnapshot.bytes < message.totalBytes) {
    sendSnapshotAnswer(state, from, message, { nextOffset: incomingSnapshot.bytes, done: false }, context)
    return
  }
  incomingSnapshot.saving = true
  const { lastIndex, lastTerm, membership } = message
  saveSnapshot(state, { lastIndex, lastTerm, membership, data: Buffer.concat(incomingSnapshot.parts) }, { replacesState: true }, context)
}

function openIncomingSnapshot (state: MachineState, from: HostId, message: Chunk): IncomingSnapshot {
  const { incomingSnapshot } = state
  if (incomingSnapshot?.saving === true) return incomingSnapshot
  if (incomingSnapshot !== undefined && incomingSnapshot.from === from && incomingSnapshot.term === message.term && incomingSnapshot.lastIndex === message.lastIndex) return incomingSnapshot
  state.incomingSnapshot = { from, term: message.term, lastIndex: message.lastIndex, parts: [], bytes: 0, saving: false }
  return state.incomingSnapshot
}

function sendSnapshotAnswer (state: MachineState, to: HostId, about: { readonly lastIndex: number }, answer: { nextOffset: number, done: boolean }, context: MachineContext): void {
  const { group, incarnation, term } = state
  sendWhenDurable(state, to, { kind: 'consensus.snapshotAnswer', group, incarnation, term, lastIndex: about.lastIndex, ...answer }, context)
}

/** Applies a snapshot once it is durable: this voter's own frees memory, one from the leader replaces the state. */
export function applySavedSnapshot (state: MachineState, write: PendingWrite, context: MachineContext): void {
  const { snapshot, tail } = write
  if (snapshot === undefined) return
  if (snapshot.lastIndex > (state.snapshot?.lastIndex ?? 0)) state.snapshot = snapshot
  if (tail !== undefined) dropCompacted(state, findTailStart(state, snapshot.lastIndex, tail) - 1)
  if (write.replacesState !== true) return
  installSnapshot(state, snapshot)
  const { incomingSnapshot } = state
  state.incomingSnapshot = undefined
  if (incomingSnapshot === undefined) return
  if (incomingSnapshot.term === state.term) sendSnapshotAnswer(state, incomingSnapshot.from, snapshot, { nextOffset: snapshot.data.byteLength, done: true }, context)
}

/** Forgets a snapshot that the disk has dropped: the leader sends its own again, and this voter's is followed by a later one. Returns false if the write is no snapshot. */
export function dropSnapshot (state: MachineState, writeId: number): boolean {
  const write = state.pendingWrites.find(pending => pending.writeId === writeId)
  if (write?.snapshot === undefined) return false
  state.pendingWrites = state.pendingWrites.filter(pending => pending !== write)
  if (write.replacesState === true) state.incomingSnapshot = undefined
  return true
}

/** Returns the index of the first entry that stays in memory. */
function findTailStart ({ log }: MachineState, lastIndex: number, { maxEntries, maxBytes }: LogTail): number {
  let index = lastIndex + 1
  while (index > log.getFirstIndex() && lastIndex - index + 2 <= maxEntries && log.getBytes(index - 1, lastIndex) <= maxBytes) index--
  return index
}

function dropCompacted (state: MachineState, index: number): void {
  if (index < state.log.getFirstIndex()) return
  state.log.compactTo(index)
  const base = state.memberships.findLastIndex(known => known.index <= index)
  state.memberships = state.memberships.slice(Math.max(0, base))
}

function installSnapshot (state: MachineState, snapshot: Snapshot): void {
  const { lastIndex, lastTerm, membership } = snapshot
  const keepsSuffix = state.log.getTerm(lastIndex) === lastTerm
  if (keepsSuffix) state.log.compactTo(lastIndex)
  else state.log.reset(lastIndex, lastTerm)
  const later = keepsSuffix ? state.memberships.filter(({ index }) => index > lastIndex) : []
  state.memberships = [{ index: lastIndex, membership }, ...later]
  state.durableIndex = keepsSuffix ? Math.max(state.durableIndex, lastIndex) : lastIndex
  state.commitIndex = lastIndex
  state.deliveredIndex = lastIndex
  state.restore = snapshot
}
