/** Sends a question to the voters again and again, over fresh ones, until it is answered or its deadline passes. */
import type { Random } from '@catkinferry/core.random'
import { createDueTimes } from '@catkinferry/core.tables'
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { createSendList, createSendRegister, isCertain } from './sendRegister.ts'
import type { SendList } from './sendRegister.ts'
import { createVoterChoice } from './voterChoice.ts'

const FIRST_ANSWER_TIMEOUT_MS = 400
const MAX_ANSWER_TIMEOUT_MS = 3_000
const FIRST_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 1_000
/** Leader hints followed at once before a refusal is met with back-off. */
const MAX_HINTS = 3
const NONCE_MAX = 2 ** 30 - 1
const NONCE_BASE = 36

/** What to send and whom to tell. `Answer` is the message that settles it. */
export interface Question<Answer> {
  /** Infinity: sent until it is answered. */
  readonly deadlineAt: MonotonicMs
  readonly send: (sendId: string, to: HostId, context: RunContext) => void
  /** Called at the deadline. `certain`: every send was answered with a refusal. */
  readonly onDeadline: (certain: boolean, reason: string, context: RunContext) => void
  /** `settled`: every other send was refused, so that nothing more can come of this question. */
  readonly onAnswer: (answer: Answer, settled: boolean, context: RunContext) => void
}

/** A question under way. */
interface Row<Answer> extends Question<Answer>, SendList {
  readonly id: number
  sendCount: number
  tries: number
  hints: number
  lastTarget?: HostId
  lastReason: string
  /** True while an answer is awaited, false while backing off. */
  waiting: boolean
}

export interface Resender<Answer> {
  readonly begin: (question: Question<Answer>, context: RunContext) => void
  /** A voter settled a send. */
  readonly receiveAnswer: (from: HostId, sendId: string, answer: Answer, context: RunContext) => void
  /** A voter refused a send. */
  readonly receiveRefusal: (sendId: string, refusal: { leader?: HostId, reason: string }, context: RunContext) => void
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
  readonly getSize: () => number
}

const MAX_DOUBLINGS = 8

function computeDoubled (firstMs: number, tries: number, maxMs: number): number {
  return Math.min(maxMs, firstMs * 2 ** Math.min(tries, MAX_DOUBLINGS))
}

/** Full jitter below a ceiling that doubles with each try. */
function takeBackoff (row: { tries: number }, random: Random): number {
  const ceilingMs = computeDoubled(FIRST_BACKOFF_MS, row.tries++, MAX_BACKOFF_MS)
  return 1 + random.nextFraction() * ceilingMs
}

function createRow<Answer> (question: Question<Answer>, id: number): Row<Answer> {
  return { ...question, ...createSendList(), id, sendCount: 0, tries: 0, hints: 0, lastReason: 'not sent', waiting: false }
}

/** Makes a prefix that no other process of this host used. */
function createPrefix (host: HostId, random: Random): string {
  const nonces = [random.nextInt(0, NONCE_MAX), random.nextInt(0, NONCE_MAX)]
  return `${host}.${nonces.map(nonce => nonce.toString(NONCE_BASE)).join('')}`
}

/** Creates a resender with nothing under way. */
export function createResender<Answer> (opts: { host: HostId, voters: () => readonly HostId[], random: Random }): Resender<Answer> {
  const { random } = opts
  const prefix = createPrefix(opts.host, random)
  const choice = createVoterChoice(opts)
  const rows = new Map<number, Row<Answer>>()
  const sends = createSendRegister<Row<Answer>>()
  const due = createDueTimes<number>()
  let nextId = 1

  function close (row: Row<Answer>): void {
    rows.delete(row.id)
    due.clear(row.id)
    sends.clear(row)
  }

  function sendRow (row: Row<Answer>, context: RunContext): void {
    const target = choice.choose(row.lastTarget)
    if (target === undefined) {
      row.lastReason = 'no voter is known'
      backOff(row, context)
      return
    }
    const sendId = `${prefix}.${row.id}.${row.sendCount++}`
    row.lastTarget = target
    row.waiting = true
    sends.add(row, sendId)
    due.set(row.id, Math.min(row.deadlineAt, context.now + computeDoubled(FIRST_ANSWER_TIMEOUT_MS, row.tries, MAX_ANSWER_TIMEOUT_MS)))
    row.send(sendId, target, context)
  }

  function backOff (row: Row<Answer>, context: RunContext): void {
    row.waiting = false
    row.hints = 0
    due.set(row.id, Math.min(row.deadlineAt, context.now + takeBackoff(row, random)))
  }

  function receiveRefusal (sendId: string, refusal: { leader?: HostId, reason: string }, context: RunContext): void {
    const row = sends.find(sendId)
    if (row === undefined || !row.openSends.delete(sendId)) return
    const { leader, reason } = refusal
    row.lastReason = reason
    choice.noteLeader(leader)
    const isNews = leader !== undefined && leader !== row.lastTarget
    if (isNews && row.hints++ < MAX_HINTS) sendRow(row, context)
    else backOff(row, context)
  }

  function handleDue (row: Row<Answer>, context: RunContext): void {
    if (context.now >= row.deadlineAt) {
      close(row)
      row.onDeadline(isCertain(row), row.lastReason, context)
      return
    }
    if (row.waiting) {
      choice.noteSilent(row.lastTarget)
      row.tries++
    }
    sendRow(row, context)
  }

  return {
    begin: (question, context) => {
      const row = createRow(question, nextId++)
      rows.set(row.id, row)
      if (context.now < row.deadlineAt) sendRow(row, context)
      else due.set(row.id, context.now)
    },
    receiveAnswer: (from, sendId, answer, context) => {
      choice.noteAnswer(from)
      const row = sends.find(sendId)
      if (row === undefined) return
      row.openSends.delete(sendId)
      close(row)
      row.onAnswer(answer, isCertain(row), context)
    },
    receiveRefusal,
    run: context => {
      for (const id of due.takeDue(context.now)) {
        const row = rows.get(id)
        if (row !== undefined) handleDue(row, context)
      }
    },
    getNextAt: due.getNextAt,
    getSize: () => rows.size
  }
}
