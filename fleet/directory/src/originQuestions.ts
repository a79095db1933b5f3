/** Questions of an entry host to all core hosts for the software version at which a stream began that a caller resumes, and for the versions that were in service since it can have begun. */
import type { DurationMs, HostId, MonotonicMs, RequestId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { FleetMessage } from '@catkinferry/wire.messages'

/** Core hosts are asked again after this: some may have just started and learn of the stream meanwhile. */
const ASK_INTERVAL_MS = 250

export interface OriginQuestion {
  /** Empty if the caller does not name the stream. */
  readonly requestId: RequestId
  readonly pool: string
  /** How long ago the stream may have begun. */
  readonly maxAgeMs: DurationMs
  /** How often core hosts that know nothing of the stream are asked, if several versions were in service. */
  readonly rounds: number
  /** Versions that this host knows to have been in service within `maxAgeMs`. */
  readonly ownVersions: readonly string[]
  /** Core hosts are asked until the leader has answered and one has told the versions in service, or until the deadline; otherwise until the leader has answered. */
  readonly areVersionsNeeded: boolean
  readonly deadlineAt: MonotonicMs
}

export interface OriginAnswer {
  /** Undefined if no core host that answered knows of the stream. */
  readonly softwareVersion?: string
  /** Versions in service within `maxAgeMs`, by all answers; undefined if none told them. */
  readonly versions?: readonly string[]
  /** Whether the leader answered in time: only it knows all versions in service. What other core hosts tell may be out of date. */
  readonly isAnswered: boolean
}

export interface OriginQuestions {
  readonly ask: (question: OriginQuestion, onAnswer: (answer: OriginAnswer) => void) => void
  readonly receive: (from: HostId, message: Extract<FleetMessage, { kind: 'fleet.originAnswer' }>, now: MonotonicMs) => void
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs
}

export interface OriginQuestionsOptions {
  readonly listCoreHosts: (now: MonotonicMs) => readonly HostId[]
  readonly getLeader: (now: MonotonicMs) => HostId | undefined
  /** Called with the versions that core hosts have told, and when they were asked. */
  readonly onVersions: (told: { readonly pool: string, readonly versions: readonly string[], readonly maxAgeMs: DurationMs, readonly askedAt: MonotonicMs }) => void
}

interface Row {
  readonly askId: number
  readonly question: OriginQuestion
  readonly onAnswer: (answer: OriginAnswer) => void
  readonly versions: Set<string>
  areVersionsKnown: boolean
  isAnswered: boolean
  /** Rounds asked so far. */
  asked: number
  askedAt: MonotonicMs
  waitingFor: Set<HostId>
  sendAt: MonotonicMs
}

/** Creates an empty table of questions. */
export function createOriginQuestions ({ listCoreHosts, getLeader, onVersions }: OriginQuestionsOptions): OriginQuestions {
  const rows = new Map<number, Row>()
  let nextAskId = 1

  function finish (row: Row, softwareVersion?: string): void {
    const { askId, question: { pool, maxAgeMs }, askedAt, isAnswered } = row
    const versions = row.areVersionsKnown ? [...row.versions].sort() : undefined
    rows.delete(askId)
    if (versions !== undefined && isAnswered) onVersions({ pool, versions, maxAgeMs, askedAt })
    row.onAnswer({ isAnswered, ...(softwareVersion === undefined ? {} : { softwareVersion }), ...(versions === undefined ? {} : { versions }) })
  }

  function isMixed ({ versions, question: { ownVersions } }: Row): boolean {
    return new Set([...versions, ...ownVersions]).size > 1
  }

  /** Whether asking again may bring more than the answers so far. */
  function needsMoreAnswers (row: Row): boolean {
    const { question: { rounds, areVersionsNeeded }, asked, areVersionsKnown, isAnswered } = row
    return !isAnswered || (areVersionsNeeded && !areVersionsKnown) || (isMixed(row) && asked < rounds)
  }

  function sendQuestion (row: Row, { now, send }: RunContext): void {
    const { askId, question: { requestId, pool, maxAgeMs } } = row
    row.asked += 1
    row.askedAt = now
    row.sendAt = now + ASK_INTERVAL_MS
    row.waitingFor = new Set(listCoreHosts(now))
    for (const host of row.waitingFor) send(host, { kind: 'fleet.originAsk', askId, requestId, pool, maxAgeMs })
  }

  return {
    ask: (question, onAnswer) => {
      const askId = nextAskId++
      rows.set(askId, { askId, question, onAnswer, versions: new Set(), areVersionsKnown: false, isAnswered: false, asked: 0, askedAt: Infinity, waitingFor: new Set(), sendAt: Number.NEGATIVE_INFINITY })
    },
    receive: (from, { askId, softwareVersion, versions, isLeading: isSaidToLead }, now) => {
      const row = rows.get(askId)
      if (row === undefined) return
      const isLeading = isSaidToLead ?? from === getLeader(now)
      row.waitingFor.delete(from)
      row.isAnswered ||= isLeading
      row.areVersionsKnown ||= versions !== undefined
      for (const version of versions ?? []) row.versions.add(version)
      // The leader knows each version before any endpoint of it is published. One version in service is the answer for every stream.
      const isSettled = versions !== undefined && isLeading && !isMixed(row)
      if (softwareVersion !== undefined || isSettled || (row.waitingFor.size === 0 && !needsMoreAnswers(row))) finish(row, softwareVersion)
    },
    run: context => {
      for (const row of rows.values()) {
        const isOver = context.now >= row.question.deadlineAt || (row.asked > 0 && context.now >= row.sendAt && !needsMoreAnswers(row))
        if (isOver) finish(row)
        else if (context.now >= row.sendAt) sendQuestion(row, context)
      }
    },
    getNextAt: () => [...rows.values()].reduce((at, { question, sendAt }) => Math.min(at, question.deadlineAt, sendAt), Infinity)
  }
}
