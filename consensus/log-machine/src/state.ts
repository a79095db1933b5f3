/**
 * The mutable state of one log machine, created at startup from what is on disk. The other modules of this package
 * operate on it.
 */
import type { Random } from '@catkinferry/core.random'
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { ConsensusMessage, DiskRequest, LogEntry, Membership, Snapshot, StoredState } from '@catkinferry/wire.messages'
import { MAX_ELECTION_TIMEOUT_MS, MIN_ELECTION_TIMEOUT_MS, MIN_FIRST_ELECTION_TIMEOUT_MS } from './constants.ts'
import { createEntryStore } from './entryStore.ts'
import type { EntryStore } from './entryStore.ts'
import { createInitialMembership, findVoter, isSameMember } from './membership.ts'

export const Role = { FOLLOWER: 'follower', PRE_CANDIDATE: 'preCandidate', CANDIDATE: 'candidate', LEADER: 'leader', FAILED: 'failed' } as const
export type Role = typeof Role[keyof typeof Role]

/** Passed with each call: the current time, and where messages and disk requests go. */
export interface MachineContext {
  readonly now: MonotonicMs
  readonly send: (to: HostId, message: ConsensusMessage) => void
  readonly requestDisk: (request: DiskRequest) => void
}

/** What the leader knows about one peer. */
export interface Progress {
  /** Last entry that the peer is known to hold durably. */
  matchIndex: number
  /** Next entry to send. */
  nextIndex: number
  /** `probe`: one append at a time until the logs agree. */
  mode: 'probe' | 'replicate' | 'snapshot'
  /** Last entry of each append with entries that the peer has not confirmed yet, oldest first. */
  inFlight: number[]
  lastProgressAt: MonotonicMs
  lastHeardAt: MonotonicMs
  /** Highest read round that the peer has echoed. */
  readRound: number
  /** Answers of earlier read rounds do not bind the peer to a data folder. */
  readonly bindFromRound: number
  /** Incarnation of another data folder that answered under the peer's name; its answers do not count. */
  foreignIncarnation?: string
  transfer?: SnapshotTransfer
  /** Set while the peer lacks entries that the leader had when it found this out. */
  catchUp?: CatchUp
}

/** How a peer that lagged is brought up to date. */
export interface CatchUp {
  readonly host: HostId
  readonly startedAt: MonotonicMs
  /** The leader's last entry when it began. */
  readonly toIndex: number
  /** Estimated bytes of the entries that the peer lacked. */
  readonly missingBytes: number
  entryBytes: number
  snapshotBytes: number
}

export interface FinishedCatchUp extends Readonly<CatchUp> {
  readonly durationMs: number
}

/** Entries that stay in memory before a snapshot, for followers that lag slightly. */
export interface LogTail {
  readonly maxEntries: number
  readonly maxBytes: number
}

export interface SnapshotTransfer {
  readonly snapshot: Snapshot
  offset: number
  sentAt: MonotonicMs
}

/** A snapshot that is being received from a leader. */
export interface IncomingSnapshot {
  readonly from: HostId
  readonly term: number
  readonly lastIndex: number
  readonly parts: Uint8Array[]
  bytes: number
  saving: boolean
}

export interface PendingWrite {
  readonly writeId: number
  /** Last log index that is durable once this write is. */
  lastIndex?: number
  readonly snapshot?: Snapshot
  /** Set for a snapshot from the leader, which replaces the state. */
  readonly replacesState?: boolean
  /** Set for this voter's own snapshot. */
  readonly tail?: LogTail
}

export interface DeferredMessage {
  readonly afterWrite: number
  readonly term: number
  readonly to: HostId
  readonly message: ConsensusMessage
}

export interface PendingRead {
  readonly readId: number
  readonly round: number
  readonly index: number
}

export interface MachineState {
  readonly host: HostId
  readonly group: string
  readonly incarnation: string
  readonly random: Random
  role: Role
  term: number
  votedFor: HostId | undefined
  leader: HostId | undefined
  readonly log: EntryStore
  snapshot: Snapshot | undefined
  commitIndex: number
  /** Last index delivered to the state machine. */
  deliveredIndex: number
  /** A snapshot from the leader, to be restored before further entries are applied. */
  restore: Snapshot | undefined
  /** Memberships in the log, ascending by index; the first is the one in force where the log begins. */
  memberships: { index: number, membership: Membership }[]
  electionAt: MonotonicMs
  /** When this voter, as the leader, sends its next heartbeat. */
  heartbeatAt: MonotonicMs
  leaderHeardAt: MonotonicMs
  /** When this voter last held all entries that the leader reported as committed. */
  caughtUpAt: MonotonicMs
  leaderSince: MonotonicMs
  /** The quorum is not checked before this time. */
  quorumCheckAt: MonotonicMs
  /** Incarnation of each voter that granted its vote in the current round. */
  votes: Map<HostId, string>
  /** The disk write of this candidate's vote for itself, which must be durable before it may lead. */
  voteWriteId: number
  readonly peers: Map<HostId, Progress>
  /** Index of the first entry of the term in which this voter last became the leader. */
  termStartIndex: number
  replicationDue: boolean
  /** Number of the latest round of heartbeats that confirms reads. */
  readRound: number
  /** Set while the current read round has not been sent. */
  readRoundDue: boolean
  nextReadId: number
  pendingReads: PendingRead[]
  readyReads: number[]
  failedReads: number[]
  /** Peers that were brought up to date and are not reported yet. */
  finishedCatchUps: FinishedCatchUp[]
  transferTo: HostId | undefined
  transferUntil: MonotonicMs
  incomingSnapshot: IncomingSnapshot | undefined
  /** Last write requested, of any kind. */
  lastWriteId: number
  /** Last write requested, other than a snapshot; answers wait until it is durable. */
  lastLogWriteId: number
  durableWriteId: number
  durableIndex: number
  pendingWrites: PendingWrite[]
  deferredMessages: DeferredMessage[]
  failure: string | undefined
}

export interface LogMachineOptions {
  readonly host: HostId
  readonly stored: StoredState
  /** Voters named in the settings file; used until the log holds a membership. */
  readonly initialVoters: readonly HostId[]
  readonly random: Random
  readonly now: MonotonicMs
}

/** Chooses a random time at which the next election is due if no leader is heard from. */
export function computeElectionAt (state: MachineState, now: MonotonicMs): MonotonicMs {
  return now + state.random.nextInt(MIN_ELECTION_TIMEOUT_MS, MAX_ELECTION_TIMEOUT_MS)
}

/** A short wait is enough after startup: the pre-vote prevents disturbing a leader that has not been heard from yet. */
function computeFirstElectionMs (state: MachineState): number {
  const { voters } = getMembership(state)
  if (voters.length === 1) return 0
  return state.random.nextInt(MIN_FIRST_ELECTION_TIMEOUT_MS, MIN_ELECTION_TIMEOUT_MS)
}

export function getMembership (state: MachineState): Membership {
  const last = state.memberships.at(-1)
  if (last === undefined) throw new Error('the log machine has no membership')
  return last.membership
}

export function getMembershipIndex (state: MachineState): number {
  return state.memberships.at(-1)?.index ?? 0
}

/** Whether this data folder is a voter: only then may it start an election, and only then does its own vote count. */
export function isVotingMember (state: MachineState): boolean {
  return isSameMember(findVoter(getMembership(state), state.host), state.incarnation)
}

export function getLastTerm (state: MachineState): number {
  return state.log.getTerm(state.log.getLastIndex()) ?? 0
}

/** Applies the memberships among new entries at once, committed or not. */
export function applyMemberships (state: MachineState, entries: readonly LogEntry[]): void {
  for (const { index, payload } of entries) {
    if (payload.kind === 'membership') state.memberships.push({ index, membership: payload.membership })
  }
}

/** Creates the state from what was found on disk. */
export function createState (opts: LogMachineOptions): MachineState {
  const { stored } = opts
  const { snapshot, hardState } = stored
  const baseIndex = snapshot?.lastIndex ?? 0
  const log = createEntryStore(baseIndex, snapshot?.lastTerm ?? 0)
  log.add(stored.entries)
  const membership = snapshot?.membership ?? createInitialMembership(opts.initialVoters)
  const state: MachineState = {
    host: opts.host,
    group: stored.group,
    incarnation: stored.incarnation,
    random: opts.random,
    role: Role.FOLLOWER,
    term: hardState.term,
    votedFor: hardState.votedFor,
    leader: undefined,
    log,
    snapshot,
    commitIndex: baseIndex,
    deliveredIndex: baseIndex,
    restore: undefined,
    memberships: [{ index: baseIndex, membership }],
    electionAt: 0,
    heartbeatAt: 0,
    leaderHeardAt: Number.NEGATIVE_INFINITY,
    caughtUpAt: Number.NEGATIVE_INFINITY,
    leaderSince: 0,
    quorumCheckAt: 0,
    votes: new Map(),
    voteWriteId: 0,
    peers: new Map(),
    termStartIndex: 0,
    replicationDue: false,
    readRound: 0,
    readRoundDue: false,
    nextReadId: 1,
    pendingReads: [],
    readyReads: [],
    failedReads: [],
    finishedCatchUps: [],
    transferTo: undefined,
    transferUntil: 0,
    incomingSnapshot: undefined,
    lastWriteId: 0,
    lastLogWriteId: 0,
    durableWriteId: 0,
    durableIndex: log.getLastIndex(),
    pendingWrites: [],
    deferredMessages: [],
    failure: undefined
  }
  applyMemberships(state, stored.entries)
  state.electionAt = opts.now + computeFirstElectionMs(state)
  return state
}
