/**
 * Rows of the claims table, and the limits under which they are kept. A claim gives the idempotency key of a
 * non-idempotent request to one attempt, so that no two attempts run the request. Read and written by the claims table
 * on each command and query.
 */
import type { AttemptId, ClaimKey, HostId, WallMs } from '@catkinferry/core.types'
import type { ClaimOutcome } from '@catkinferry/wire.messages'

/** One claim. `outcome` is absent while the attempt may be running. */
export interface ClaimRow {
  readonly claimKey: ClaimKey
  readonly attemptId: AttemptId
  readonly host: HostId
  /** Hash of the request; empty when only the end of an attempt is known. */
  readonly fingerprint: string
  readonly keyCreatedAt: WallMs
  readonly takenAt: WallMs
  /** Start of the retention period: when the claim was taken, or when it was settled if that came after the period. */
  readonly keptFrom: WallMs
  readonly outcome?: ClaimOutcome
  /**
   * Other attempts that found the key held or were recorded as not run, newest last; none of them may take the key any
   * more.
   */
  readonly pastAttempts?: readonly AttemptId[]
  /** The operator who resolved the claim; absent when none did. */
  readonly resolvedBy?: string
}

/** `overdue`: held for longer than any attempt lasts; an operator may resolve it like one that is unknown. */
export type ClaimState = 'open' | 'overdue' | 'done' | 'notRun' | 'unknown'

/** A claim as operators and callers' hosts see it. */
export interface ClaimDescription extends ClaimRow {
  readonly state: ClaimState
}

/** Limits of the table, read from the settings at each command. */
export interface ClaimLimits {
  readonly retentionMs: number
  /** Total size of the answer bodies kept for resends. */
  readonly keptAnswerBytes: number
  /** Time after which a claim without an outcome counts as overdue. */
  readonly openLimitMs: number
}

/** Everything that a snapshot must hold to restore the table exactly. */
export interface SavedClaims {
  /** Unsettled claims past their retention period. */
  readonly overstayed: readonly ClaimRow[]
  readonly rows: readonly ClaimRow[]
  /** Keys of the claims whose answers are kept, oldest answer first. */
  readonly answerOrder: readonly ClaimKey[]
}
