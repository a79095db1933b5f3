/** The client through which the request path takes, finishes and reads claims of the ledger, on top of the command client. */
import type { Result } from '@catkinferry/core.errors'
import type { AttemptId, ClaimKey, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { ClaimDescription, FinishOptions, LedgerClient, LedgerResult, TakeOptions } from '@catkinferry/ledger.claims'
import type { ClaimOutcome, CommandResult } from '@catkinferry/wire.messages'
import type { CommandClient } from './commandClient.ts'

/** Outcomes that may wait to be recorded; above it, no new claims are taken. */
export const MAX_PENDING_OUTCOMES = 5_000

/** Answers that may wait to be recorded, in bytes; above it, outcomes are recorded without the bodies of their answers. */
export const MAX_PENDING_ANSWER_BYTES = 16 * 1024 * 1024

export interface ReadClaimOptions {
  readonly claimKey: ClaimKey
  readonly deadlineAt: MonotonicMs
  /** `undefined` for a key without a claim. A failure means only that no voter answered. */
  readonly onAnswer: (answer: Result<ClaimDescription | undefined>, context: RunContext) => void
}

/** The ledger client of one host. */
export interface HostLedgerClient extends LedgerClient {
  /** Reads a claim; the result is never stale. */
  readonly read: (opts: ReadClaimOptions, context: RunContext) => void
  /** Number of outcomes that are not recorded yet; a graceful shutdown waits for 0. */
  readonly getPendingCount: () => number
}

interface PendingOutcome {
  readonly bytes: number
  readonly listeners: ((result: LedgerResult, context: RunContext) => void)[]
}

const NOT_RUN_UNCONFIRMED: ClaimOutcome = { kind: 'notRun', reason: 'the claim was not confirmed in time and its attempt was never sent' }

/** Reported instead of `claim.taken` if the attempt was finished in the meantime. */
const FINISHED_BEFORE_CONFIRMED: CommandResult = { kind: 'refused', reason: 'the attempt was finished before its claim was confirmed' }

function countAnswerBytes (outcome: ClaimOutcome): number {
  return outcome.kind === 'done' ? Buffer.byteLength(outcome.answer?.body ?? '') : 0
}

function dropAnswerBody (outcome: ClaimOutcome): ClaimOutcome {
  if (outcome.kind !== 'done' || outcome.answer === undefined) return outcome
  const { body: _body, ...rest } = outcome.answer
  return { kind: 'done', answer: rest }
}

function formatId (claimKey: ClaimKey, attemptId: AttemptId): string {
  return `${claimKey} ${attemptId}`
}

function isTaken (result: CommandResult): boolean {
  return result.kind === 'outcome' && result.outcome.kind === 'claim.taken'
}

/**
 * Creates the ledger client of a host. Each take has its own attempt id in the ledger, `<attempt>#<n>`, so that a delayed
 * copy of an earlier take, or of its outcome `notRun`, is never mistaken for a later take.
 */
export function createLedgerClient (opts: { host: HostId, client: CommandClient }): HostLedgerClient {
  const { host, client } = opts
  const pending = new Map<string, PendingOutcome>()
  /** Attempt ids in the ledger of the takes in flight and the claims taken, by claim key and attempt id. */
  const ledgerIds = new Map<string, AttemptId>()
  let pendingBytes = 0
  let takeCount = 0

  function recordOutcome (claimKey: ClaimKey, ledgerId: AttemptId, outcome: ClaimOutcome, onOutcome: FinishOptions['onOutcome'], context: RunContext): void {
    const id = formatId(claimKey, ledgerId)
    const existing = pending.get(id)
    if (existing !== undefined) {
      if (onOutcome !== undefined) existing.listeners.push(onOutcome)
      return
    }
    const fitsLimit = pendingBytes + countAnswerBytes(outcome) <= MAX_PENDING_ANSWER_BYTES
    const recordedOutcome = fitsLimit ? outcome : dropAnswerBody(outcome)
    const entry: PendingOutcome = { bytes: countAnswerBytes(recordedOutcome), listeners: onOutcome === undefined ? [] : [onOutcome] }
    pending.set(id, entry)
    pendingBytes += entry.bytes
    client.submit({
      command: { kind: 'claim.finish', claimKey, attemptId: ledgerId, outcome: recordedOutcome },
      deadlineAt: Infinity,
      onOutcome: (result, ctx) => {
        pending.delete(id)
        pendingBytes -= entry.bytes
        for (const listener of entry.listeners) listener(result, ctx)
      }
    }, context)
  }

  function take (takeOpts: TakeOptions, context: RunContext): void {
    const { claimKey, attemptId, keyCreatedAt, fingerprint, deadlineAt, onOutcome } = takeOpts
    if (pending.size >= MAX_PENDING_OUTCOMES) {
      onOutcome({ kind: 'refused', reason: 'too many outcomes are waiting to be recorded on this host' }, context)
      return
    }
    const ledgerId = `${attemptId}#${++takeCount}`
    const id = formatId(claimKey, attemptId)
    ledgerIds.set(id, ledgerId)
    client.submit({
      command: { kind: 'claim.take', claimKey, attemptId: ledgerId, host, keyCreatedAt, fingerprint },
      deadlineAt,
      onOutcome: (result, ctx, settled) => {
        const isCurrent = ledgerIds.get(id) === ledgerId
        if (!isTaken(result)) {
          if (isCurrent) ledgerIds.delete(id)
          // This take can no longer lead to a dispatch, so it is correct to record its claim as not run.
          if (!settled) recordOutcome(claimKey, ledgerId, NOT_RUN_UNCONFIRMED, undefined, ctx)
        }
        onOutcome(isCurrent || !isTaken(result) ? result : FINISHED_BEFORE_CONFIRMED, ctx)
      }
    }, context)
  }

  return {
    take,
    finish: ({ claimKey, attemptId, outcome, onOutcome }, context) => {
      const id = formatId(claimKey, attemptId)
      const ledgerId = ledgerIds.get(id) ?? attemptId
      ledgerIds.delete(id)
      recordOutcome(claimKey, ledgerId, outcome, onOutcome, context)
    },
    read: ({ claimKey, deadlineAt, onAnswer }, context) => {
      client.submitQuery({
        query: { kind: 'claim', claimKey },
        fresh: true,
        deadlineAt,
        onAnswer: (answer, ctx) => { onAnswer(answer as Result<ClaimDescription | undefined>, ctx) }
      }, context)
    },
    getPendingCount: () => pending.size
  }
}
