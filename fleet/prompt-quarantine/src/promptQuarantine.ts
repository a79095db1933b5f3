/**
 * Quarantine of prompt parts that crash engines. Entry hosts report crashes and the requests that they interrupted; the leader
 * finds the part that they have in common, asks the hosts whether it is answered anywhere, and proposes a command that has its
 * requests refused. The replicated state keeps what is quarantined through restarts and changes of the leader.
 */
import type { DurationMs, HostId, MonotonicMs, PromptPart } from '@catkinferry/core.types'
import type { RunContext, System } from '@catkinferry/host.events'
import type { QuarantinedPart } from '@catkinferry/settings.replicated-state'
import type { Command, FleetMessage } from '@catkinferry/wire.messages'
import { createCrashEvidence } from './crashEvidence.ts'
import type { CrashEvidence, Suspect } from './crashEvidence.ts'

/** Weight of the evidence on which a part is quarantined. A part that was answered before is mostly in the company of the cause. */
const QUARANTINE_WEIGHT = 3
const KNOWN_SOUND_WEIGHT = 6
/** Weight from which entry hosts are asked whether a part is answered, and how long their answers may take. */
const WATCH_WEIGHT = 2
const ANSWER_TIME_MS = 300
const WATCH_REPEAT_MS = 2_000
const MAX_WATCHED = 32
/** Interval of checks, and for how long after news; the interval otherwise. */
const CHECK_INTERVAL_MS = 100
const ACTIVE_MS = 1_000
const IDLE_CHECK_INTERVAL_MS = 2_000
/** A proposal that has not been committed after this is made again. */
const PROPOSAL_TIMEOUT_MS = 1_500
/** Parts are served again after this, in case the cause was mended. */
const QUARANTINE_MS = 600_000
/** More parts are not quarantined: so many causes at once are the engines' own fault. */
const MAX_QUARANTINED = 32

export type PromptQuarantineMessage = Extract<FleetMessage, { kind: 'fleet.crashes' | 'fleet.soundParts' }>
type QuarantineCommand = Extract<Command, { kind: 'prompt.quarantine' | 'prompt.release' }>

export interface PromptQuarantineOptions {
  /** Undefined unless this host leads. */
  readonly getLeaderTerm: () => number | undefined
  readonly listEntryHosts: (now: MonotonicMs) => readonly HostId[]
  /** What the replicated state has quarantined. */
  readonly listQuarantined: () => readonly QuarantinedPart[]
  /** `onSettled` is called once the command was applied, or after the timeout. */
  readonly propose: (command: QuarantineCommand, timeoutMs: DurationMs, onSettled: () => void, context: RunContext) => void
}

export interface PromptQuarantine extends System<PromptQuarantineMessage> {
  readonly getNextAt: () => MonotonicMs
}

interface QuarantineState {
  readonly opts: PromptQuarantineOptions
  readonly evidence: CrashEvidence
  term: number | undefined
  /** Watched parts, and since when. */
  watched: Map<PromptPart, MonotonicMs>
  watchSentAt: MonotonicMs
  isProposing: boolean
  checkAt: MonotonicMs
  /** Checks are frequent until then. */
  activeUntil: MonotonicMs
}

function reportChange ({ emit }: RunContext, message: string, fields: Readonly<Record<string, unknown>>): void {
  emit({ kind: 'log', level: 'warn', message, fields: { step: 'quarantine', ...fields } })
}

function propose (state: QuarantineState, command: QuarantineCommand, context: RunContext): void {
  const { term } = state
  state.isProposing = true
  state.opts.propose(command, PROPOSAL_TIMEOUT_MS, () => { if (state.term === term) state.isProposing = false }, context)
}

/** Asks the entry hosts whether the suspects are answered, when there are new ones and at intervals. */
function watchSuspects (state: QuarantineState, suspects: readonly Suspect[], context: RunContext): void {
  const { now } = context
  const parts = suspects.filter(({ weight }) => weight >= WATCH_WEIGHT).slice(0, MAX_WATCHED).map(({ part }) => part)
  const isNew = parts.some(part => !state.watched.has(part))
  state.watched = new Map(parts.map(part => [part, state.watched.get(part) ?? now]))
  if (parts.length === 0 || (!isNew && now - state.watchSentAt < WATCH_REPEAT_MS)) return
  state.watchSentAt = now
  for (const host of state.opts.listEntryHosts(now)) context.send(host, { kind: 'fleet.watchedParts', parts })
}

function proposeWorst (state: QuarantineState, suspects: readonly Suspect[], context: RunContext): void {
  const { evidence, watched } = state
  const isProven = ({ part, weight }: Suspect): boolean => {
    const isAnswerKnown = context.now - (watched.get(part) ?? context.now) >= ANSWER_TIME_MS
    return isAnswerKnown && weight >= (evidence.wasSound(part) ? KNOWN_SOUND_WEIGHT : QUARANTINE_WEIGHT)
  }
  const worst = suspects.find(isProven)
  if (worst === undefined) return
  propose(state, { kind: 'prompt.quarantine', part: worst.part }, context)
  reportChange(context, 'prompt part quarantined', { ...worst, term: state.term })
}

/** Whether another quarantined part can have caused all crashes of this one, and more besides. */
function isExplained ({ evidence, opts }: QuarantineState, part: PromptPart): boolean {
  return opts.listQuarantined().some(other => {
    if (other.part === part) return false
    const { crashes, shared } = evidence.countShared(part, other.part)
    return crashes > 0 && shared === crashes && evidence.countShared(other.part, part).crashes > crashes
  })
}

function releaseOne (state: QuarantineState, context: RunContext): boolean {
  const expired = state.opts.listQuarantined().find(({ at }) => context.wallNow - at > QUARANTINE_MS)
  const released = expired ?? state.opts.listQuarantined().find(({ part }) => isExplained(state, part))
  if (released === undefined) return false
  propose(state, { kind: 'prompt.release', part: released.part }, context)
  reportChange(context, 'prompt part released', { part: released.part, reason: expired === undefined ? 'another part explains its crashes' : 'its time is over', term: state.term })
  return true
}

function run (state: QuarantineState, context: RunContext): void {
  const { opts, evidence } = state
  const term = opts.getLeaderTerm()
  if (term !== state.term) {
    state.term = term
    evidence.clear()
    state.watched.clear()
    state.isProposing = false
  }
  if (term === undefined || context.now < state.checkAt) return
  state.checkAt = context.now + (context.now < state.activeUntil ? CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS)
  const quarantined = opts.listQuarantined()
  if (evidence.isEmpty() && quarantined.length === 0) return
  const suspects = evidence.rank(new Set(quarantined.map(({ part }) => part)), context.now)
  watchSuspects(state, suspects, context)
  if (state.isProposing || releaseOne(state, context)) return
  if (quarantined.length < MAX_QUARANTINED) proposeWorst(state, suspects, context)
}

/** Creates the quarantine of one core host; it acts only while the host leads. */
export function createPromptQuarantine (opts: PromptQuarantineOptions): PromptQuarantine {
  const state: QuarantineState = { opts, evidence: createCrashEvidence(), term: undefined, watched: new Map(), watchSentAt: Number.NEGATIVE_INFINITY, isProposing: false, checkAt: Number.NEGATIVE_INFINITY, activeUntil: Number.NEGATIVE_INFINITY }
  return {
    receive: (from, message, { now }) => {
      if (state.term === undefined) return
      state.activeUntil = now + ACTIVE_MS
      state.checkAt = Math.min(state.checkAt, now + CHECK_INTERVAL_MS)
      if (message.kind === 'fleet.crashes') for (const report of message.crashes) state.evidence.addReport(from, report, now)
      else for (const [part, agoMs] of message.parts) state.evidence.addSound(part, now - agoMs)
    },
    run: context => run(state, context),
    getNextAt: () => state.term === undefined || (state.evidence.isEmpty() && state.watched.size === 0) ? Infinity : state.checkAt
  }
}
