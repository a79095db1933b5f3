/**
 * Interface of the claims ledger for the requests system, which takes a claim before it dispatches non-idempotent work
 * and records the outcome when the work has ended.
 */
import type { AttemptId, ClaimKey, MonotonicMs, WallMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { ClaimOutcome, CommandResult } from '@catkinferry/wire.messages'

/** How a command to the ledger ended. */
export type LedgerResult = CommandResult

/** Options to take the claim of a key for one attempt. */
export interface TakeOptions {
  readonly claimKey: ClaimKey
  readonly attemptId: AttemptId
  readonly keyCreatedAt: WallMs
  /** Hash of the request, to detect a key that is reused for a different request. */
  readonly fingerprint: string
  readonly deadlineAt: MonotonicMs
  /**
   * Called once. Only `claim.taken` allows the attempt to be dispatched; after any other result it must never be
   * dispatched. If a take without an answer may still be committed, the client itself records it as not run.
   */
  readonly onOutcome: (result: LedgerResult, context: RunContext) => void
}

/** Options to record how an attempt ended. */
export interface FinishOptions {
  readonly claimKey: ClaimKey
  readonly attemptId: AttemptId
  readonly outcome: ClaimOutcome
  readonly onOutcome?: (result: LedgerResult, context: RunContext) => void
}

/** The claims ledger as the request path uses it. */
export interface LedgerClient {
  /** Commits a claim, or reports which attempt holds the key. */
  readonly take: (opts: TakeOptions, context: RunContext) => void
  /** Records how claimed work ended; resent until it is recorded. */
  readonly finish: (opts: FinishOptions, context: RunContext) => void
}
