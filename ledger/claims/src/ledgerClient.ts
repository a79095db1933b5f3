/** What the requests system needs of the ledger of claims. */
import type { AttemptId, ClaimKey, MonotonicMs, WallMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { ClaimOutcome, CommandOutcome } from '@catkinferry/wire.messages'

/** How a command to the ledger ended. */
export type LedgerResult =
  | { readonly kind: 'outcome', readonly outcome: CommandOutcome }
  /** Certain not to be committed. */
  | { readonly kind: 'refused', readonly reason: string }
  | { readonly kind: 'unknown' }

export interface TakeOptions {
  readonly claimKey: ClaimKey
  readonly attemptId: AttemptId
  readonly keyCreatedAt: WallMs
  readonly fingerprint: string
  readonly deadlineAt: MonotonicMs
  readonly onOutcome: (result: LedgerResult, context: RunContext) => void
}

export interface FinishOptions {
  readonly claimKey: ClaimKey
  readonly attemptId: AttemptId
  readonly outcome: ClaimOutcome
  readonly onOutcome?: (result: LedgerResult, context: RunContext) => void
}

export interface LedgerClient {
  /** Commits a claim, or tells who holds the key. */
  readonly take: (opts: TakeOptions, context: RunContext) => void
  /** Records how claimed work ended; resent until it is recorded. */
  readonly finish: (opts: FinishOptions, context: RunContext) => void
}
