/** The ledger of claims as the request path uses it, on top of the command client. */
import type { Result } from '@catkinferry/core.errors'
import type { ClaimKey, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { ClaimDescription, FinishOptions, LedgerClient, LedgerResult, TakeOptions } from '@catkinferry/ledger.claims'
import type { ClaimOutcome } from '@catkinferry/wire.messages'
import type { CommandClient } from './commandClient.ts'

/** Outcomes that may wait to be recorded; beyond, no new claims are taken. */
export const MAX_PENDING_OUTCOMES = 5_000

/** Answers that may wait to be recorded, in bytes; beyond, outcomes are recorded without their answers. */
export const MAX_PENDING_ANSWER_BYTES = 16 * 1024 * 1024

export interface ReadClaim {
  readonly claimKey: ClaimKey
  readonly deadlineAt: MonotonicMs
  /** `undefined` for a key without a claim. A failure only says that no voter answered. */
  readonly onAnswer: (answer: Result<ClaimDescription | undefined>, context: RunContext) => void
}

/** The ledger client of one host. */
export interface HostLedgerClient extends LedgerClient {
  /** A read that is never stale. */
  readonly read: (opts: ReadClaim, context: RunContext) => void
  /** Outcomes that are not recorded yet; a graceful shutdown waits for 0. */
  readonly getPendingCount: () => number
}

interface PendingOutcome {
  readonly bytes: number
  readonly listeners: ((result: LedgerResult, context: RunContext) => void)[]
}

const NEVER_DISPATCHED: ClaimOutcome = { kind: 'notRun', reason: 'the claim was not confirmed in time and its attempt was never sent' }

function countAnswerBytes (outcome: ClaimOutcome): number {
  return outcome.kind === 'done' ? Buffer.byteLength(outcome.answer?.body ?? '') : 0
}

function dropAnswerBody (outcome: ClaimOutcome): ClaimOutcome {
  if (outcome.kind !== 'done' || outcome.answer === undefined) return outcome
  const { body: _body, ...rest } = outcome.answer
  return { kind: 'done', answer: rest }
}

/** Creates the ledger client of a host. */
export function createLedgerClient (opts: { host: HostId, client: CommandClient }): HostLedgerClient {
  const { host, client } = opts
  const pending = new Map<string, PendingOutcome>()
  let pendingBytes = 0

  function finish (finished: FinishOptions, context: RunContext): void {
    const { claimKey, attemptId, onOutcome } = finished
    const id = `${claimKey} ${attemptId}`
    const known = pending.get(id)
    if (known !== undefined) {
      if (onOutcome !== undefined) known.listeners.push(onOutcome)
      return
    }
    const fits = pendingBytes + countAnswerBytes(finished.outcome) <= MAX_PENDING_ANSWER_BYTES
    const outcome = fits ? finished.outcome : dropAnswerBody(finished.outcome)
    const row: PendingOutcome = { bytes: countAnswerBytes(outcome), listeners: onOutcome === undefined ? [] : [onOutcome] }
    pending.set(id, row)
    pendingBytes += row.bytes
    submitOutcome(id, row, { claimKey, attemptId, outcome }, context)
  }

  function submitOutcome (id: string, row: PendingOutcome, finished: FinishOptions, context: RunContext): void {
    const { claimKey, attemptId, outcome } = finished
    client.submit({
      command: { kind: 'claim.finish', claimKey, attemptId, outcome },
      deadlineAt: Infinity,
      onOutcome: (result, ctx) => {
        pending.delete(id)
        pendingBytes -= row.bytes
        for (const listener of row.listeners) listener(result, ctx)
      }
    }, context)
  }

  function take (asked: TakeOptions, context: RunContext): void {
    const { claimKey, attemptId, keyCreatedAt, fingerprint, deadlineAt, onOutcome } = asked
    if (pending.size >= MAX_PENDING_OUTCOMES) {
      onOutcome({ kind: 'refused', reason: 'too many outcomes wait to be recorded at this host' }, context)
      return
    }
    client.submit({
      command: { kind: 'claim.take', claimKey, attemptId, host, keyCreatedAt, fingerprint },
      deadlineAt,
      onOutcome: (result, ctx) => {
        // From here on the attempt can never be dispatched, so its claim may truly be recorded as not run.
        if (result.kind === 'unknown') finish({ claimKey, attemptId, outcome: NEVER_DISPATCHED }, ctx)
        onOutcome(result, ctx)
      }
    }, context)
  }

  return {
    take,
    finish,
    read: ({ claimKey, deadlineAt, onAnswer }, context) => {
      client.ask({
        query: { kind: 'claim', claimKey },
        fresh: true,
        deadlineAt,
        onAnswer: (answer, ctx) => { onAnswer(answer as Result<ClaimDescription | undefined>, ctx) }
      }, context)
    },
    getPendingCount: () => pending.size
  }
}
