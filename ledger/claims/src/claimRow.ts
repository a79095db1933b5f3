/** Rows of the claims table and the bounds that they are kept under. */
import type { AttemptId, ClaimKey, HostId, WallMs } from '@catkinferry/core.types'
import type { ClaimOutcome } from '@catkinferry/wire.messages'

/** One claim. `outcome` is absent while the attempt may be under way. */
export interface ClaimRow {
  readonly claimKey: ClaimKey
  readonly attemptId: AttemptId
  readonly host: HostId
  readonly fingerprint: string
  readonly keyCreatedAt: WallMs
  readonly takenAt: WallMs
  /** The retention counts from here: when it was taken, or resolved after a long wait. */
  readonly keptFrom: WallMs
  readonly outcome?: ClaimOutcome
  /** Other attempts that were told that the key is held, or were recorded as not run, newest last; none of them may hold it any more. */
  readonly pastAttempts?: readonly AttemptId[]
  /** Set where an operator resolved it. */
  readonly resolvedBy?: string
}

/** `overdue`: held for longer than any attempt lasts; an operator may resolve it as if it were unknown. */
export type ClaimState = 'open' | 'overdue' | 'done' | 'notRun' | 'unknown'

/** A claim as operators and callers' hosts see it. */
export interface ClaimDescription extends ClaimRow {
  readonly state: ClaimState
}

/** Bounds of the table, read from the settings at each command. */
export interface ClaimLimits {
  readonly retentionMs: number
  readonly keptAnswerBytes: number
  readonly openLimitMs: number
}

/** Everything that a snapshot must hold to restore the table exactly. */
export interface SavedClaims {
  readonly overstayed: readonly ClaimRow[]
  readonly rows: readonly ClaimRow[]
  readonly answerOrder: readonly ClaimKey[]
}
