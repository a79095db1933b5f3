/**
 * Quarantine of prompt parts and whole requests that crash endpoints. Entry hosts report crashes and the requests that they
 * interrupted; the leader finds the trait that these have in common, asks the hosts whether it is answered anywhere, and proposes
 * a command that has its requests refused. The replicated state keeps what is quarantined through restarts and changes of the leader.
 */
import { getRequestDigest, isWholeRequest } from '@catkinferry/core.types'
import type { DurationMs, HostId, MonotonicMs, RequestTrait } from '@catkinferry/core.types'
import type { RunContext, System } from '@catkinferry/host.events'
import type { QuarantinedPart } from '@catkinferry/settings.replicated-state'
import type { Command, FleetMessage } from '@catkinferry/wire.messages'
import { createCrashEvidence } from './crashEvidence.ts'
import type { CrashEvidence, Suspect } from './crashEvidence.ts'

/** Weight of the evidence on which a trait is quarantined. A trait that was answered before is mostly in the company of the cause. */
const QUARANTINE_WEIGHT = 3
const KNOWN_SOUND_WEIGHT = 6
/** So much of it must come from crashes that no quarantined request explains: one request does not prove that a part of it is the cause. */
const MIN_UNEXPLAINED_WEIGHT = 2
/** Weight from which entry hosts are asked whether a trait is answered, and how long their answers may take. */
const WATCH_WEIGHT = 2
const ANSWER_TIME_MS = 300
const WATCH_REPEAT_MS = 2_000
const MAX_WATCHED = 64
/** Interval of checks, and for how long after news; the interval otherwise. */
const CHECK_INTERVAL_MS = 100
const ACTIVE_MS = 1_000
const IDLE_CHECK_INTERVAL_MS = 2_000
/** A proposal that has not been committed after this is made again. */
const PROPOSAL_TIMEOUT_MS = 1_500
/** Traits are served again after this, in case the cause was mended. Nobody else needs one and the same request, so it waits longer. */
const PART_QUARANTINE_MS = 600_000
const REQUEST_QUARANTINE_MS = 3_600_000
/** More parts are not quarantined: so many causes at once are the engines' own fault. Of more requests the oldest is released. */
const MAX_QUARANTINED_PARTS = 32
const MAX_QUARANTINED_REQUESTS = 128

export type QuarantineMessage = Extract<FleetMessage, { kind: 'fleet.crashes' | 'fleet.soundParts' }>
type QuarantineCommand = Extract<Command, { kind: 'prompt.quarantine' | 'prompt.release' }>

export interface QuarantineOptions {
  /** Undefined unless this host leads. */
  readonly getLeaderTerm: () => number | undefined
  readonly listEntryHosts: (now: MonotonicMs) => readonly HostId[]
  /** What the replicated state has quarantined. */
  readonly listQuarantined: () => readonly QuarantinedPart[]
  /** `onSettled` is called once the command was applied, or after the timeout. */
  readonly propose: (command: QuarantineCommand, timeoutMs: DurationMs, onSettled: () => void, context: RunContext) => void
}

export interface Quarantine extends System<QuarantineMessage> {
  readonly getNextAt: () => MonotonicMs
}

interface QuarantineState {
  readonly opts: QuarantineOptions
  readonly evidence: CrashEvidence
  term: number | undefined
  /** Watched traits, and since when. */
  watched: Map<RequestTrait, MonotonicMs>
  watchSentAt: MonotonicMs
  isProposing: boolean
  checkAt: MonotonicMs
  /** Checks are frequent until then. */
  activeUntil: MonotonicMs
}

function reportChange ({ term }: QuarantineState, { emit }: RunContext, trait: RequestTrait, change: 'quarantined' | 'released', fields: Readonly<Record<string, unknown>>): void {
  const [subject, name] = isWholeRequest(trait) ? ['request', { digest: getRequestDigest(trait) }] : ['prompt part', { part: trait }]
  emit({ kind: 'log', level: 'warn', message: `${subject} ${change}`, fields: { step: 'quarantine', ...name, ...fields, term } })
}

function propose (state: QuarantineState, command: QuarantineCommand, context: RunContext): void {
  const { term } = state
  state.isProposing = true
  state.opts.propose(command, PROPOSAL_TIMEOUT_MS, () => { if (state.term === term) state.isProposing = false }, context)
}

/** Asks the entry hosts whether the suspects are answered, when there are new ones and at intervals. */
function watchSuspects (state: QuarantineState, suspects: readonly Suspect[], context: RunContext): void {
  const { now } = context
  const parts = suspects.filter(({ totalWeight }) => totalWeight >= WATCH_WEIGHT).slice(0, MAX_WATCHED).map(({ trait }) => trait)
  const isNew = parts.some(part => !state.watched.has(part))
  state.watched = new Map(parts.map(part => [part, state.watched.get(part) ?? now]))
  if (parts.length === 0 || (!isNew && now - state.watchSentAt < WATCH_REPEAT_MS)) return
  state.watchSentAt = now
  for (const host of state.opts.listEntryHosts(now)) context.send(host, { kind: 'fleet.watchedParts', parts })
}

function proposeWorst (state: QuarantineState, suspects: readonly Suspect[], context: RunContext): void {
  const { evidence, watched } = state
  const quarantined = state.opts.listQuarantined()
  const hasRoomForParts = quarantined.filter(({ part }) => !isWholeRequest(part)).length < MAX_QUARANTINED_PARTS
  const isProven = ({ trait, weight, totalWeight }: Suspect): boolean => {
    const isAnswerKnown = context.now - (watched.get(trait) ?? context.now) >= ANSWER_TIME_MS
    return isAnswerKnown && weight >= MIN_UNEXPLAINED_WEIGHT && totalWeight >= (evidence.wasSound(trait) ? KNOWN_SOUND_WEIGHT : QUARANTINE_WEIGHT)
  }
  const worst = suspects.find(suspect => isProven(suspect) && (isWholeRequest(suspect.trait) || hasRoomForParts) && !isExplained(state, suspect.trait))
  if (worst === undefined) return
  const { trait, ...figures } = worst
  propose(state, { kind: 'prompt.quarantine', part: trait }, context)
  reportChange(state, context, trait, 'quarantined', figures)
}

/** Whether another quarantined trait can have caused all crashes of this one, and more besides. */
function isExplained ({ evidence, opts }: QuarantineState, trait: RequestTrait): boolean {
  return opts.listQuarantined().some(({ part }) => part !== trait && evidence.isExplained(trait, part))
}

/** Finds a trait to release, and the reason. */
function findReleasable (state: QuarantineState, { wallNow }: RunContext): readonly [RequestTrait, string] | undefined {
  const quarantined = state.opts.listQuarantined()
  const isExpired = ({ part, at }: QuarantinedPart): boolean => wallNow - at > (isWholeRequest(part) ? REQUEST_QUARANTINE_MS : PART_QUARANTINE_MS)
  const expired = quarantined.find(isExpired)
  if (expired !== undefined) return [expired.part, 'its time is over']
  const explained = quarantined.find(({ part }) => isExplained(state, part))
  if (explained !== undefined) return [explained.part, 'another cause explains its crashes']
  const requests = quarantined.filter(({ part }) => isWholeRequest(part)).toSorted((left, right) => left.at - right.at)
  return requests[0] !== undefined && requests.length > MAX_QUARANTINED_REQUESTS ? [requests[0].part, 'others were quarantined later'] : undefined
}

function releaseOne (state: QuarantineState, context: RunContext): boolean {
  const [trait, reason] = findReleasable(state, context) ?? []
  if (trait === undefined) return false
  propose(state, { kind: 'prompt.release', part: trait }, context)
  reportChange(state, context, trait, 'released', { reason })
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
  proposeWorst(state, suspects, context)
}

/** Creates the quarantine of one core host; it acts only while the host leads. */
export function createQuarantine (opts: QuarantineOptions): Quarantine {
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
