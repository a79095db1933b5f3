/**
 * A voter of a consensus group: accepts commands (changes of the replicated state) and queries from any host, replicates
 * the commands through the log, applies the committed ones to the state machine and answers. Also writes snapshots,
 * changes the membership, replaces voters and transfers leadership. A host with a data folder creates one at startup and
 * runs it on each message, disk answer and due timer.
 */
import { computeQuorumHeardAt, createLogMachine, estimateBytes, Role } from '@catkinferry/consensus.log-machine'
import type { LogMachine, MachineContext, MembershipStep } from '@catkinferry/consensus.log-machine'
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure, Result } from '@catkinferry/core.errors'
import type { Random } from '@catkinferry/core.random'
import type { DurationMs, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext, System } from '@catkinferry/host.events'
import type { CommandMessage, ConsensusMessage, DiskAnswer, LogEntry, Query, StateMachine, StoredState } from '@catkinferry/wire.messages'
import { CAUGHT_UP_TIMEOUT_MS, MAX_APPLY_BYTES, MAX_APPLY_ENTRIES, MAX_HOPS, MAX_PENDING_QUERIES, MIN_COMPACT_BYTES, TAIL_ENTRIES, TAIL_RATIO } from './constants.ts'
import { checkMessage } from './checkMessage.ts'
import { createCommandReports } from './commandReports.ts'
import type { CommandReports } from './commandReports.ts'
import { createIntake } from './intake.ts'
import type { Batch, Intake, Submission } from './intake.ts'
import { reportCatchUps, reportLogSize } from './logReports.ts'
import { createReplacement } from './replacement.ts'
import type { Replacement, ReplacementProgress, ReplacementRequest } from './replacement.ts'
import { decodeVoterSnapshot, encodeVoterSnapshot } from './snapshotFormat.ts'
import { describeVoter } from './status.ts'
import type { VoterStatus } from './status.ts'

type Submit = Extract<CommandMessage, { kind: 'command.submit' }>
type QueryRequest = Extract<CommandMessage, { kind: 'query.ask' }>
export type VoterMessage = ConsensusMessage | Submit | QueryRequest

export interface VoterOptions {
  readonly host: HostId
  readonly group: string
  readonly stored: StoredState
  readonly stateMachine: StateMachine
  /** Voters named in the settings file; used only until the log names its members. */
  readonly initialVoters: readonly HostId[]
  readonly random: Random
  /** When the log is compacted and how many entries stay in memory; defaults to the constants of this package. */
  readonly compaction?: { readonly minBytes: number, readonly tailEntries: number }
  /** Startup time; the first election is scheduled relative to it. */
  readonly startedAt: MonotonicMs
}

export interface Voter extends System<VoterMessage> {
  readonly receiveDisk: (answer: DiskAnswer, context: RunContext) => void
  readonly isLeader: () => boolean
  readonly getLeader: () => HostId | undefined
  /**
   * Whether this voter's state is recent enough to serve from. Everything that it knows to be committed must be handed to
   * the state machine. A leader must also have committed an entry of its own term; any other voter must know a leader and
   * have held all entries committed there within `CAUGHT_UP_TIMEOUT_MS` before its last run. A data folder that is not a
   * member gets no entries; one that was removed turns false after that time.
   */
  readonly isInContact: () => boolean
  /** Time since a majority of the voters has last answered this leader; `Infinity` unless it leads. */
  readonly getQuorumAgeMs: (now: MonotonicMs) => DurationMs
  /** Describes the voter; without `now` the status does not tell how long each peer has been silent. */
  readonly getStatus: (now?: MonotonicMs) => VoterStatus
  /**
   * Proposes one step of a membership change; refused when it could lose the majority. The result is the index of its
   * entry.
   */
  readonly proposeMembership: (step: MembershipStep, context: RunContext) => Result<number>
  /** Begins to replace a voter; a repeated request returns the progress. Leader only. */
  readonly beginReplacement: (request: ReplacementRequest, context: RunContext) => Result<ReplacementProgress>
  /** Transfers leadership before a planned stop; returns false when no voter can take over. */
  readonly transferLeadership: (context: RunContext) => boolean
}

interface VoterState {
  readonly opts: VoterOptions
  readonly machine: LogMachine
  readonly intake: Intake
  readonly reports: CommandReports
  readonly replacement: Replacement
  readonly pendingReads: Map<number, QueryRequest>
  /** Confirmed reads that are answered once all committed entries are applied. */
  readyReads: number[]
  /** Latest proposal time, in wall-clock ms, that this voter has used or applied. */
  lastProposedAt: number
  bytesSinceSnapshot: number
  snapshotBytes: number
  reportedRole: Role
  reportedLeader: HostId | undefined
  lastRunAt: MonotonicMs
}

/** Creates a voter from what was found on disk. */
export function createVoter (opts: VoterOptions): Voter {
  const { host, group, stored, stateMachine, initialVoters, random, startedAt } = opts
  if (stored.group !== group) throw new Error(`the data folder belongs to group '${stored.group}', not to '${group}'`)
  const machine = createLogMachine({ host, stored, initialVoters, random, now: startedAt })
  const state: VoterState = {
    opts,
    machine,
    intake: createIntake(),
    reports: createCommandReports(),
    replacement: createReplacement(machine),
    pendingReads: new Map(),
    readyReads: [],
    lastProposedAt: 0,
    bytesSinceSnapshot: 0,
    snapshotBytes: 0,
    reportedRole: Role.FOLLOWER,
    reportedLeader: undefined,
    lastRunAt: startedAt
  }
  if (stored.snapshot !== undefined) restoreState(state, stored.snapshot.data)
  const isLeader = (): boolean => machine.getState().role === Role.LEADER
  return {
    receive: (from, message, context) => receive(state, from, message, context),
    receiveDisk: (answer, context) => machine.receiveDisk(answer, createMachineContext(context)),
    run: context => run(state, stateMachine, context),
    getNextAt: () => getNextAt(state),
    isLeader,
    getLeader: () => machine.getState().leader,
    isInContact: () => isInContact(state),
    getQuorumAgeMs: at => machine.getState().role === Role.LEADER ? at - computeQuorumHeardAt(machine.getState(), at) : Infinity,
    getStatus: at => describe(state, at),
    proposeMembership: (step, context) => machine.proposeMembership(step, createMachineContext(context)),
    beginReplacement: (request, context) => state.replacement.begin(request, createMachineContext(context)),
    transferLeadership: context => machine.transferLeadership(createMachineContext(context))
  }
}

function isInContact ({ machine, lastRunAt }: VoterState): boolean {
  const { role, leader, caughtUpAt, commitIndex, deliveredIndex, termStartIndex } = machine.getState()
  if (deliveredIndex < commitIndex) return false
  if (role === Role.LEADER) return commitIndex >= termStartIndex
  return leader !== undefined && lastRunAt - caughtUpAt <= CAUGHT_UP_TIMEOUT_MS
}

function describe ({ machine, intake, replacement }: VoterState, now: MonotonicMs | undefined): VoterStatus {
  return describeVoter({ machine, now, pendingCommands: intake.getPendingCount(), replacement: replacement.getProgress() })
}

function createMachineContext (context: RunContext): MachineContext {
  return {
    now: context.now,
    send: context.send,
    requestDisk: request => context.emit({ kind: 'disk.request', request })
  }
}

function receive (state: VoterState, from: HostId, message: VoterMessage, context: RunContext): void {
  if (message.kind === 'command.submit') receiveSubmit(state, message, context)
  else if (message.kind === 'query.ask') receiveQuery(state, message, context)
  else receiveConsensus(state, from, message, context)
}

function receiveConsensus (state: VoterState, from: HostId, message: ConsensusMessage, context: RunContext): void {
  const problem = checkMessage(message)
  if (problem === undefined) state.machine.receive(from, message, createMachineContext(context))
  else context.emit({ kind: 'log', level: 'error', message: 'dropped a malformed consensus message', fields: { step: 'receive', peer: from, kind: message.kind, problem } })
}

/** Returns the leader to forward to; undefined when none is known, it is this host, or the hop limit is reached. */
function findNextHop ({ machine, opts }: VoterState, hops: number): HostId | undefined {
  const { leader } = machine.getState()
  return leader === undefined || leader === opts.host || hops >= MAX_HOPS ? undefined : leader
}

function receiveSubmit (state: VoterState, message: Submit, context: RunContext): void {
  const problem = state.opts.stateMachine.checkCommand(message.command)
  if (problem !== undefined) {
    context.emit({ kind: 'log', level: 'error', message: 'dropped a malformed command', fields: { step: 'receive', peer: message.origin, kind: message.kind, problem } })
    return
  }
  const { role, term, transferTo } = state.machine.getState()
  if (role !== Role.LEADER) {
    const next = findNextHop(state, message.hops)
    if (next === undefined) {
      refuseSubmit(state, message, 'notLeader', context)
      return
    }
    state.reports.reportForward({ message, leader: next, term }, context)
    context.send(next, { ...message, hops: message.hops + 1 })
    return
  }
  if (transferTo !== undefined || !state.intake.add(message, context.now)) refuseSubmit(state, message, 'busy', context)
}

function refuseSubmit (state: VoterState, { origin, commandId }: Pick<Submission, 'origin' | 'commandId'>, reason: 'notLeader' | 'busy', context: RunContext): void {
  const { leader } = state.machine.getState()
  const failure = findDiskFailure(state)
  const cause = failure === undefined ? { reason } : { reason: 'diskFailed' as const, failure }
  context.send(origin, { kind: 'command.refused', commandId, ...cause, ...(leader === undefined ? {} : { leader }) })
}

/** Returns the failure of the disk, as told to the operator whose command or query waits for it. */
function findDiskFailure ({ machine, opts: { host } }: VoterState): Failure | undefined {
  const { failure } = machine.getState()
  if (failure === undefined) return undefined
  return {
    code: ErrorCode.DISK_FAILED,
    message: `the log of host '${host}' cannot be written: ${failure}`,
    step: 'disk',
    peer: host,
    hint: 'free space on the disk of that folder, or repair it; the host goes on by itself unless its log says that the folder is unusable'
  }
}

/** Answers from local state, which may lag, unless the query is `fresh`: then the leader answers it by a linearizable read. */
function receiveQuery (state: VoterState, message: QueryRequest, context: RunContext): void {
  if (!message.fresh) {
    sendQueryAnswer(state, message, context)
    return
  }
  if (state.pendingReads.size >= MAX_PENDING_QUERIES) {
    sendQueryFailure(state, message, 'too many reads in flight', context)
    return
  }
  const readId = state.machine.beginRead()
  if (readId !== undefined) {
    state.pendingReads.set(readId, message)
    return
  }
  const next = findNextHop(state, message.hops)
  if (next === undefined) sendQueryFailure(state, message, 'no leader is known', context)
  else context.send(next, { ...message, hops: message.hops + 1 })
}

function sendQueryAnswer (state: VoterState, { origin, queryId, query }: QueryRequest, context: RunContext): void {
  const { leader } = state.machine.getState()
  const answer = answerQuery(state, query, context)
  context.send(origin, { kind: 'query.answer', queryId, answer, ...(leader === undefined ? {} : { leader }) })
}

function answerQuery (state: VoterState, query: Query, context: RunContext): unknown {
  if (query.kind === 'replaceVoter') return state.replacement.begin(query, createMachineContext(context))
  if (query.kind === 'voters') return describe(state, context.now)
  return state.opts.stateMachine.answerQuery(query)
}

function sendQueryFailure (state: VoterState, { origin, queryId }: QueryRequest, message: string, context: RunContext): void {
  const { leader } = state.machine.getState()
  const failure: Failure = findDiskFailure(state) ?? { code: ErrorCode.NO_QUORUM, message, step: 'read', peer: state.opts.host }
  context.send(origin, { kind: 'query.answer', queryId, answer: undefined, failure, ...(leader === undefined ? {} : { leader }) })
}

/** Handles what is due and ready. The second run of the machine sends the entries that were proposed in between. */
function run (state: VoterState, stateMachine: StateMachine, context: RunContext): void {
  const machineContext = createMachineContext(context)
  state.lastRunAt = context.now
  state.machine.run(machineContext)
  reportRole(state, context)
  applyReady(state, stateMachine, context)
  proposeQueued(state, context)
  state.replacement.run(machineContext)
  finishReads(state, context)
  compact(state, stateMachine, context)
  reportCatchUps(state.machine, context)
  state.machine.run(machineContext)
}

/** Returns `-Infinity` when a run is due at once. */
function getNextAt (state: VoterState): MonotonicMs | undefined {
  const { commitIndex, deliveredIndex } = state.machine.getState()
  if (commitIndex > deliveredIndex || state.intake.hasQueued()) return Number.NEGATIVE_INFINITY
  const times = [state.machine.getNextAt(), state.replacement.getNextAt()].filter(at => at !== undefined)
  return times.length === 0 ? undefined : Math.min(...times)
}

/**
 * Proposes the queued commands. Proposal times never go back, even when the leader changes, because the state machine
 * uses them as its clock. `propose` always accepts here, since leadership and transfer are checked first.
 */
function proposeQueued (state: VoterState, context: RunContext): void {
  const { role, transferTo } = state.machine.getState()
  if (!state.intake.hasQueued()) return
  if (role !== Role.LEADER || transferTo !== undefined) {
    for (const submission of state.intake.takeQueued()) refuseSubmit(state, submission, 'notLeader', context)
    return
  }
  while (state.intake.hasQueued()) {
    const submissions = state.intake.takeBatch()
    state.lastProposedAt = Math.max(context.wallNow, state.lastProposedAt, findLastProposedAt(state))
    const payload = { kind: 'commands', proposedAt: state.lastProposedAt, commands: submissions.map(({ command }) => command) } as const
    const proposed = state.machine.propose(payload, createMachineContext(context))
    if (proposed === undefined) continue
    const entriesBefore = proposed.index - 1 - state.machine.getState().deliveredIndex
    state.intake.recordProposed(proposed.index, { term: proposed.term, submissions, appendedAt: context.now, entriesBefore })
  }
}

/** Returns the proposal time of the last command entry in the log that has not been applied, or 0. */
function findLastProposedAt ({ machine }: VoterState): number {
  const { log, deliveredIndex } = machine.getState()
  for (let index = log.getLastIndex(); index > deliveredIndex; index--) {
    const payload = log.get(index)?.payload
    if (payload?.kind === 'commands') return payload.proposedAt
  }
  return 0
}

function applyReady (state: VoterState, stateMachine: StateMachine, context: RunContext): void {
  const { restore, entries } = state.machine.takeReady(MAX_APPLY_ENTRIES, MAX_APPLY_BYTES)
  if (restore !== undefined) {
    restoreState(state, restore.data)
    state.intake.dropProposedTo(restore.lastIndex)
  }
  for (const entry of entries) applyEntry(state, stateMachine, entry, context)
}

function restoreState (state: VoterState, encoded: Uint8Array): void {
  const { lastProposedAt, data } = decodeVoterSnapshot(encoded)
  state.opts.stateMachine.restoreSnapshot(data)
  state.lastProposedAt = Math.max(state.lastProposedAt, lastProposedAt)
  state.snapshotBytes = encoded.byteLength
  state.bytesSinceSnapshot = 0
}

function applyEntry (state: VoterState, stateMachine: StateMachine, { index, term, payload }: LogEntry, context: RunContext): void {
  const batches = state.intake.takeProposed(index)
  const committed = batches.find(batch => batch.term === term)
  for (const batch of batches) if (batch !== committed) refuseBatch(state, batch, context)
  if (payload.kind !== 'commands') return
  if (committed !== undefined) state.reports.reportApplied(index, committed, context)
  const { proposedAt } = payload
  state.lastProposedAt = Math.max(state.lastProposedAt, proposedAt)
  state.bytesSinceSnapshot += estimateBytes(payload)
  payload.commands.forEach((command, at) => {
    const outcome = stateMachine.apply({ index, proposedAt, command })
    const submission = committed?.submissions[at]
    if (submission !== undefined) context.send(submission.origin, { kind: 'command.outcome', commandId: submission.commandId, outcome })
  })
}

/** Refuses a batch that can no longer be committed, since another entry was committed at its index. */
function refuseBatch (state: VoterState, batch: Batch, context: RunContext): void {
  for (const submission of batch.submissions) refuseSubmit(state, submission, 'notLeader', context)
}

function finishReads (state: VoterState, context: RunContext): void {
  const { ready, failed } = state.machine.takeReads()
  state.readyReads.push(...ready)
  for (const readId of failed) completeRead(state, readId, request => sendQueryFailure(state, request, 'leadership was lost during the read', context))
  const { commitIndex, deliveredIndex } = state.machine.getState()
  if (deliveredIndex < commitIndex) return
  for (const readId of state.readyReads) completeRead(state, readId, request => sendQueryAnswer(state, request, context))
  state.readyReads = []
}

function completeRead (state: VoterState, readId: number, act: (request: QueryRequest) => void): void {
  const request = state.pendingReads.get(readId)
  if (request === undefined) return
  state.pendingReads.delete(readId)
  act(request)
}

const DEFAULT_COMPACTION = { minBytes: MIN_COMPACT_BYTES, tailEntries: TAIL_ENTRIES }

/** Writes a snapshot once the log has outgrown the last one, and that one is durable. */
function compact (state: VoterState, stateMachine: StateMachine, context: RunContext): void {
  const { minBytes, tailEntries } = state.opts.compaction ?? DEFAULT_COMPACTION
  const allowedBytes = Math.max(minBytes, state.snapshotBytes)
  if (state.bytesSinceSnapshot < allowedBytes || state.machine.isSnapshotPending()) return
  const data = encodeVoterSnapshot({ lastProposedAt: state.lastProposedAt, data: stateMachine.takeSnapshot() })
  state.bytesSinceSnapshot = 0
  state.snapshotBytes = data.byteLength
  state.machine.compact({ lastIndex: state.machine.getState().deliveredIndex, data, tail: { maxEntries: tailEntries, maxBytes: TAIL_RATIO * allowedBytes } }, createMachineContext(context))
  reportLogSize(state.machine, data.byteLength, context)
}

function reportRole (state: VoterState, context: RunContext): void {
  const { role, term, leader, failure } = state.machine.getState()
  const { reportedRole, reportedLeader } = state
  state.reportedRole = role
  state.reportedLeader = leader
  if (role !== reportedRole) context.emit({ kind: 'metric', type: 'gauge', name: 'voter.leader', value: role === Role.LEADER ? 1 : 0 })
  if (role !== reportedRole && reportedRole === Role.FAILED) context.emit({ kind: 'log', level: 'info', message: 'the disk accepts writes again; this voter is active', fields: { step: 'disk' } })
  if (role !== reportedRole && role === Role.FAILED) {
    context.emit({ kind: 'log', level: 'error', message: 'disk write failed; this voter acknowledges nothing until the disk accepts writes', fields: { step: 'disk', reason: failure } })
  } else if (role !== reportedRole && role === Role.LEADER) {
    context.emit({ kind: 'log', level: 'info', message: 'this voter became the leader', fields: { step: 'election', term } })
  } else if (reportedRole === Role.LEADER && role !== Role.LEADER) {
    context.emit({ kind: 'log', level: 'info', message: 'this voter no longer leads', fields: { step: 'election', term, leader, role } })
  } else if (leader !== reportedLeader) {
    context.emit({ kind: 'log', level: 'info', message: leader === undefined ? 'this voter knows no leader' : 'this voter follows a new leader', fields: { step: 'election', term, leader, before: reportedLeader, role } })
  }
}
