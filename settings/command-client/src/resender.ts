/** Sends a request of the command client to the voters, and resends it to other voters until it is answered or its deadline passes. */
import type { Failure } from '@catkinferry/core.errors'
import type { Random } from '@catkinferry/core.random'
import { createDueTimes } from '@catkinferry/core.tables'
import type { DueTimes } from '@catkinferry/core.tables'
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { createSendList, createSendRegister, isEverySendRefused } from './sendRegister.ts'
import type { SendList, SendRegister } from './sendRegister.ts'
import { createVoterChoice } from './voterChoice.ts'
import type { VoterChoice, VoterChoiceOptions } from './voterChoice.ts'

/** Time that the first send waits for an answer, and maximum for later sends; it doubles with each retry. */
const FIRST_ANSWER_TIMEOUT_MS = 400
const MAX_ANSWER_TIMEOUT_MS = 3_000
/** Ceiling of the first random backoff, and maximum of the ceiling; it doubles with each retry. */
const FIRST_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 1_000
/** Leader hints that are followed at once; after that, a refusal leads to backoff. */
const MAX_HINTS = 3
/** Largest value of each of the two random numbers in the prefix of send ids, and the base that they are written in. */
const NONCE_MAX = 2 ** 30 - 1
const NONCE_BASE = 36

/** What became of one send of a request, for logs. */
export type SendReport =
  | { readonly kind: 'sent', readonly peer: HostId, readonly commandId: string }
  | { readonly kind: 'refused', readonly reason: string, readonly failure?: Failure, readonly leader?: HostId }
  | { readonly kind: 'unanswered', readonly peer?: HostId }

/** The refusal of a send. `failure` names a cause that is not the election of a leader. */
export interface Refusal {
  readonly leader?: HostId
  readonly reason: string
  readonly failure?: Failure
}

/** A request and its callbacks. `Answer` is the type of the answer that settles it. */
export interface ResendableRequest<Answer> {
  /** Infinity: the request is resent until it is answered. */
  readonly deadlineAt: MonotonicMs
  readonly send: (sendId: string, to: HostId, context: RunContext) => void
  readonly onReport?: (report: SendReport, context: RunContext) => void
  /** Called at the deadline. `reason` is that of the last refusal, or why nothing was sent; `failure` the last one that a refusal named. */
  readonly onDeadline: (everySendRefused: boolean, refusal: Omit<Refusal, 'leader'>, context: RunContext) => void
  /** `settled`: every other send was refused, so that the request can have no further effect. */
  readonly onAnswer: (answer: Answer, settled: boolean, context: RunContext) => void
}

/** A request that is not settled yet. */
interface InFlightRequest<Answer> extends ResendableRequest<Answer>, SendList {
  readonly id: number
  sendCount: number
  retryCount: number
  hintsFollowed: number
  lastTarget?: HostId
  lastReason: string
  lastFailure?: Failure
  /** True while an answer is awaited, false while backing off. */
  awaitingAnswer: boolean
}

export interface Resender<Answer> {
  readonly begin: (request: ResendableRequest<Answer>, context: RunContext) => void
  /** A voter settled a send. */
  readonly receiveAnswer: (from: HostId, sendId: string, answer: Answer, context: RunContext) => void
  /** A voter refused a send. */
  readonly receiveRefusal: (sendId: string, refusal: Refusal, context: RunContext) => void
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
  readonly getSize: () => number
}

/** Bound of the exponent; every delay reaches its maximum with fewer doublings. */
const MAX_DOUBLINGS = 8

function computeExponentialDelay (firstMs: number, doublings: number, maxMs: number): number {
  return Math.min(maxMs, firstMs * 2 ** Math.min(doublings, MAX_DOUBLINGS))
}

/** Full jitter below a ceiling that doubles with each retry. */
function computeNextBackoff (request: { retryCount: number }, random: Random): number {
  const ceilingMs = computeExponentialDelay(FIRST_BACKOFF_MS, request.retryCount++, MAX_BACKOFF_MS)
  return 1 + random.nextFraction() * ceilingMs
}

function createInFlightRequest<Answer> (request: ResendableRequest<Answer>, id: number): InFlightRequest<Answer> {
  return { ...request, ...createSendList(), id, sendCount: 0, retryCount: 0, hintsFollowed: 0, lastReason: 'not sent', awaitingAnswer: false }
}

/** Creates a prefix that no other process of this host has used. */
function createSendIdPrefix (host: HostId, random: Random): string {
  const nonces = [random.nextInt(0, NONCE_MAX), random.nextInt(0, NONCE_MAX)]
  return `${host}.${nonces.map(nonce => nonce.toString(NONCE_BASE)).join('')}`
}

export interface ResenderOptions extends VoterChoiceOptions {
  readonly random: Random
}

interface ResenderState<Answer> {
  readonly random: Random
  readonly sendIdPrefix: string
  readonly voterChoice: VoterChoice
  readonly inFlight: Map<number, InFlightRequest<Answer>>
  readonly sends: SendRegister<InFlightRequest<Answer>>
  readonly due: DueTimes<number>
}

function close<Answer> ({ inFlight, due, sends }: ResenderState<Answer>, request: InFlightRequest<Answer>): void {
  inFlight.delete(request.id)
  due.clear(request.id)
  sends.clear(request)
}

function send<Answer> (state: ResenderState<Answer>, request: InFlightRequest<Answer>, context: RunContext): void {
  const target = state.voterChoice.choose(request.lastTarget)
  if (target === undefined) {
    request.lastReason = 'no voter is known'
    backOff(state, request, context)
    return
  }
  sendTo(state, request, target, context)
}

function sendTo<Answer> ({ sends, due, sendIdPrefix }: ResenderState<Answer>, request: InFlightRequest<Answer>, target: HostId, context: RunContext): void {
  const sendId = `${sendIdPrefix}.${request.id}.${request.sendCount++}`
  Object.assign(request, { lastTarget: target, awaitingAnswer: true, lastReason: 'sent, but not answered' })
  sends.add(request, sendId)
  due.set(request.id, Math.min(request.deadlineAt, context.now + computeExponentialDelay(FIRST_ANSWER_TIMEOUT_MS, request.retryCount, MAX_ANSWER_TIMEOUT_MS)))
  request.onReport?.({ kind: 'sent', peer: target, commandId: sendId }, context)
  request.send(sendId, target, context)
}

function backOff<Answer> ({ due, random }: ResenderState<Answer>, request: InFlightRequest<Answer>, context: RunContext): void {
  request.awaitingAnswer = false
  request.hintsFollowed = 0
  due.set(request.id, Math.min(request.deadlineAt, context.now + computeNextBackoff(request, random)))
}

function receiveRefusal<Answer> (state: ResenderState<Answer>, sendId: string, { leader, reason, failure }: Refusal, context: RunContext): void {
  const request = state.sends.find(sendId)
  if (request === undefined || !request.openSends.delete(sendId)) return
  request.lastReason = reason
  // Other voters may refuse for want of a leader, which they have because of this failure.
  request.lastFailure = failure ?? request.lastFailure
  request.onReport?.({ kind: 'refused', reason, failure, leader }, context)
  state.voterChoice.setLeader(leader)
  if (leader !== undefined && leader !== request.lastTarget && request.hintsFollowed++ < MAX_HINTS) send(state, request, context)
  else backOff(state, request, context)
}

function handleDue<Answer> (state: ResenderState<Answer>, request: InFlightRequest<Answer>, context: RunContext): void {
  if (context.now >= request.deadlineAt) {
    close(state, request)
    request.onDeadline(isEverySendRefused(request), { reason: request.lastReason, failure: request.lastFailure }, context)
    return
  }
  if (request.awaitingAnswer) {
    request.onReport?.({ kind: 'unanswered', peer: request.lastTarget }, context)
    state.voterChoice.recordTimeout(request.lastTarget)
    request.retryCount++
  }
  send(state, request, context)
}

/** Sends what waits to a leader of which the voter of this host has learnt. What was sent to that voter before it led may have been passed on to its predecessor. */
function followNewLeader<Answer> (state: ResenderState<Answer>, context: RunContext): void {
  const leader = state.voterChoice.takeNewLeader()
  if (leader === undefined) return
  for (const request of [...state.inFlight.values()]) if (context.now < request.deadlineAt) sendTo(state, request, leader, context)
}

/** Creates a resender without requests in flight. */
export function createResender<Answer> (opts: ResenderOptions): Resender<Answer> {
  const state: ResenderState<Answer> = {
    random: opts.random,
    sendIdPrefix: createSendIdPrefix(opts.host, opts.random),
    voterChoice: createVoterChoice(opts),
    inFlight: new Map(),
    sends: createSendRegister(),
    due: createDueTimes()
  }
  const { inFlight, sends, due, voterChoice } = state
  let nextId = 1
  return {
    begin: (resendable, context) => {
      followNewLeader(state, context)
      const request = createInFlightRequest(resendable, nextId++)
      inFlight.set(request.id, request)
      if (context.now < request.deadlineAt) send(state, request, context)
      else due.set(request.id, context.now)
    },
    receiveAnswer: (from, sendId, answer, context) => {
      voterChoice.recordAnswer(from)
      const request = sends.find(sendId)
      if (request === undefined) return
      request.openSends.delete(sendId)
      close(state, request)
      request.onAnswer(answer, isEverySendRefused(request), context)
    },
    receiveRefusal: (sendId, refusal, context) => receiveRefusal(state, sendId, refusal, context),
    run: context => {
      followNewLeader(state, context)
      for (const id of due.takeDue(context.now)) {
        const request = inFlight.get(id)
        if (request !== undefined) handleDue(state, request, context)
      }
    },
    getNextAt: () => inFlight.size > 0 && voterChoice.hasNewLeader() ? Number.NEGATIVE_INFINITY : due.getNextAt(),
    getSize: () => inFlight.size
  }
}
