/**
 * The replicated log (Raft) as a pure state machine without I/O. The voter passes in messages, disk answers and the time,
 * and applies the committed entries.
 */
import type { Result } from '@catkinferry/core.errors'
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import { DISK_STATE_WRITE_ID } from '@catkinferry/wire.messages'
import type { ConsensusMessage, DiskAnswer, LogEntry, LogPayload, Membership, Snapshot } from '@catkinferry/wire.messages'
import { PAUSE_THRESHOLD_MS, PAUSE_GRACE_MS } from './constants.ts'
import { saveSnapshot, sendDeferred } from './disk.ts'
import * as elections from './elections.ts'
import { receiveAppend } from './followers.ts'
import { isCaughtUp, proposeMembership } from './membershipChanges.ts'
import type { MembershipStep } from './membershipChanges.ts'
import { beginRead } from './reads.ts'
import { addLeaderEntry, receiveAppendAnswer, sendAppends, updateCommit } from './replication.ts'
import { applySavedSnapshot, dropSnapshot, receiveSnapshotAnswer, receiveSnapshotChunk } from './snapshots.ts'
import { computeElectionAt, createState, getMembership, Role } from './state.ts'
import type { FinishedCatchUp, LogMachineOptions, LogTail, MachineContext, MachineState, PendingWrite } from './state.ts'
import { beginTransfer, continueTransfer } from './transfer.ts'

/** What is ready to be applied: first a snapshot to restore, if any, then committed entries in order. */
export interface ReadyToApply {
  readonly restore?: Snapshot
  readonly entries: readonly LogEntry[]
}

export interface LogMachine {
  readonly receive: (from: HostId, message: ConsensusMessage, context: MachineContext) => void
  readonly receiveDisk: (answer: DiskAnswer, context: MachineContext) => void
  readonly run: (context: MachineContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
  /** Appends an entry; undefined when this voter is not the leader or is transferring leadership. */
  readonly propose: (payload: LogPayload, context: MachineContext) => { readonly index: number, readonly term: number } | undefined
  readonly proposeMembership: (step: MembershipStep, context: MachineContext) => Result<number>
  readonly beginRead: () => number | undefined
  /** Returns the reads confirmed since the last call, and those that failed because this voter no longer leads. */
  readonly takeReads: () => { readonly ready: readonly number[], readonly failed: readonly number[] }
  /** Returns the peers that this leader has brought up to date since the last call. */
  readonly takeFinishedCatchUps: () => readonly FinishedCatchUp[]
  /** Whether a snapshot waits to be durable. */
  readonly isSnapshotPending: () => boolean
  /** Returns committed entries within both limits, but at least one if there is any. */
  readonly takeReady: (maxEntries: number, maxBytes?: number) => ReadyToApply
  /**
   * Writes a snapshot of the state as of `lastIndex`. Once it is durable, entries before it are dropped from memory, except
   * the tail.
   */
  readonly compact: (opts: { readonly lastIndex: number, readonly data: Uint8Array, readonly tail: LogTail }, context: MachineContext) => void
  readonly transferLeadership: (context: MachineContext) => boolean
  readonly isCaughtUp: (host: HostId, context: MachineContext) => boolean
  readonly getState: () => Readonly<MachineState>
  readonly getMembership: () => Membership
}

type Handlers = { readonly [Kind in ConsensusMessage['kind']]: (state: MachineState, from: HostId, message: Extract<ConsensusMessage, { kind: Kind }>, context: MachineContext) => void }

const handlers: Handlers = {
  'consensus.preVote': elections.receivePreVote,
  'consensus.preVoteAnswer': elections.receivePreVoteAnswer,
  'consensus.vote': elections.receiveVote,
  'consensus.voteAnswer': elections.receiveVoteAnswer,
  'consensus.append': receiveAppend,
  'consensus.appendAnswer': receiveAppendAnswer,
  'consensus.snapshotChunk': receiveSnapshotChunk,
  'consensus.snapshotAnswer': receiveSnapshotAnswer,
  'consensus.timeoutNow': elections.receiveTimeoutNow
}

/**
 * Marks writes as durable. Log and hard-state writes are answered in order, so an answer covers earlier ones; a
 * snapshot is answered on its own.
 */
function finishWrites (state: MachineState, writeId: number, context: MachineContext): void {
  const answered = state.pendingWrites.find(write => write.writeId === writeId)
  if (answered?.snapshot !== undefined) {
    state.pendingWrites = state.pendingWrites.filter(write => write !== answered)
    applySavedSnapshot(state, answered, context)
    return
  }
  state.durableWriteId = writeId
  const isDone = (write: PendingWrite): boolean => write.snapshot === undefined && write.writeId <= writeId
  for (const { lastIndex } of state.pendingWrites.filter(isDone)) {
    if (lastIndex !== undefined) state.durableIndex = Math.max(state.durableIndex, lastIndex)
  }
  state.pendingWrites = state.pendingWrites.filter(write => !isDone(write))
}

function receiveDisk (state: MachineState, answer: DiskAnswer, context: MachineContext): void {
  if (!answer.ok) {
    if (!dropSnapshot(state, answer.writeId)) failDisk(state, answer.reason, context)
  } else if (answer.writeId === DISK_STATE_WRITE_ID) {
    recoverDisk(state, context)
  } else {
    finishWrites(state, answer.writeId, context)
    if (state.role === Role.FAILED) return
    sendDeferred(state, context)
    elections.tryBecomeLeader(state, context)
    updateCommit(state, context)
  }
}

/** Makes this voter inactive: it takes no entries, which would pile up in memory, and another voter leads meanwhile. */
function failDisk (state: MachineState, reason: string, context: MachineContext): void {
  if (state.role === Role.FAILED) return
  elections.resetToFollower(state, { term: state.term }, context)
  state.role = Role.FAILED
  state.failure = reason
  state.deferredMessages = []
}

/** Goes on as a follower. Writes that the failure interrupted have kept their order; what depends on them waits for their answers. */
function recoverDisk (state: MachineState, context: MachineContext): void {
  if (state.role !== Role.FAILED) return
  state.role = Role.FOLLOWER
  state.failure = undefined
  state.electionAt = computeElectionAt(state, context.now)
}

/**
 * Postpones the quorum check or the election after a pause of this process: what the peers sent meanwhile has not been
 * read yet, so their silence does not count.
 */
function postponeAfterPause (state: MachineState, now: MonotonicMs): void {
  if (state.role === Role.LEADER && now - state.heartbeatAt > PAUSE_THRESHOLD_MS) state.quorumCheckAt = now + PAUSE_GRACE_MS
  if (state.role !== Role.LEADER && now - state.electionAt > PAUSE_THRESHOLD_MS) state.electionAt = now + PAUSE_GRACE_MS
}

function run (state: MachineState, context: MachineContext): void {
  if (state.role === Role.FAILED) return
  postponeAfterPause(state, context.now)
  if (state.role !== Role.LEADER) {
    if (context.now >= state.electionAt) elections.beginPreVote(state, context)
    return
  }
  elections.checkQuorum(state, context)
  if (state.role !== Role.LEADER) return
  continueTransfer(state, context)
  if (state.replicationDue || context.now >= state.heartbeatAt) sendAppends(state, context)
}

function getNextAt (state: MachineState): MonotonicMs | undefined {
  if (state.role === Role.FAILED) return undefined
  if (state.role !== Role.LEADER) return state.electionAt
  return state.replicationDue ? Number.NEGATIVE_INFINITY : state.heartbeatAt
}

function takeReady (state: MachineState, maxEntries: number, maxBytes: number): ReadyToApply {
  const { restore } = state
  state.restore = undefined
  const count = Math.min(maxEntries, state.commitIndex - state.deliveredIndex)
  const entries = state.log.list({ index: state.deliveredIndex + 1, maxEntries: count, maxBytes })
  state.deliveredIndex += entries.length
  return restore === undefined ? { entries } : { restore, entries }
}

/** Returns the membership in force at an index of the log. */
function findMembershipAt (state: MachineState, index: number): Membership {
  const found = state.memberships.findLast(known => known.index <= index)
  return found?.membership ?? getMembership(state)
}

/** Creates the machine from what was found on disk. */
export function createLogMachine (opts: LogMachineOptions): LogMachine {
  const state = createState(opts)
  return {
    receive: (from, message, context) => {
      if (state.role === Role.FAILED || message.group !== state.group || from === state.host) return
      const handle = handlers[message.kind] as (state: MachineState, from: HostId, message: ConsensusMessage, context: MachineContext) => void
      handle(state, from, message, context)
    },
    receiveDisk: (answer, context) => receiveDisk(state, answer, context),
    run: context => run(state, context),
    getNextAt: () => getNextAt(state),
    propose: (payload, context) => {
      if (state.role !== Role.LEADER || state.transferTo !== undefined) return undefined
      return { index: addLeaderEntry(state, payload, context), term: state.term }
    },
    proposeMembership: (step, context) => proposeMembership(state, step, context),
    beginRead: () => beginRead(state),
    takeReads: () => {
      const { readyReads: ready, failedReads: failed } = state
      state.readyReads = []
      state.failedReads = []
      return { ready, failed }
    },
    takeFinishedCatchUps: () => {
      const { finishedCatchUps } = state
      state.finishedCatchUps = []
      return finishedCatchUps
    },
    isSnapshotPending: () => state.pendingWrites.some(({ snapshot }) => snapshot !== undefined),
    takeReady: (maxEntries, maxBytes = Number.POSITIVE_INFINITY) => takeReady(state, maxEntries, maxBytes),
    compact: ({ lastIndex, data, tail }, context) => {
      const lastTerm = state.log.getTerm(lastIndex)
      if (lastTerm === undefined || lastIndex > state.deliveredIndex || state.role === Role.FAILED || state.incomingSnapshot?.saving === true) return
      saveSnapshot(state, { lastIndex, lastTerm, membership: findMembershipAt(state, lastIndex), data }, { tail }, context)
    },
    transferLeadership: context => beginTransfer(state, context),
    isCaughtUp: (host, context) => isCaughtUp(state, host, context),
    getState: () => state,
    getMembership: () => getMembership(state)
  }
}
