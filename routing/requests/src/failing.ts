/** Fails requests that cannot be answered, at whichever step that turns out, and records the outcomes of claims in the ledger. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Ran } from '@catkinferry/core.errors'
import type { ClaimOutcome } from '@catkinferry/wire.messages'
import type { RunContext } from '@catkinferry/host.events'
import type { FailureOptions } from './answers.ts'
import { closeRow, failCaller } from './answers.ts'
import { cancelOthers, countLiveAttempts } from './attemptRows.ts'
import type { Core } from './core.ts'
import type { RequestRow } from './types.ts'

/** Submits the outcome of claimed work to the ledger, once for each claim. */
export function recordOutcome (core: Core, row: RequestRow, outcome: ClaimOutcome, context: RunContext): void {
  const { claim } = row
  if (claim === undefined || (claim.state !== 'taken' && claim.state !== 'taking')) return
  claim.state = 'finished'
  core.unrecorded += 1
  core.log.add(row.request.requestId, context.now, 'claim', `finished as ${outcome.kind}`, { claimKey: claim.claimKey })
  const { claimKey, attemptId } = claim
  core.opts.ledger.finish({ claimKey, attemptId, outcome, onOutcome: () => { core.unrecorded -= 1 } }, context)
}

/**
 * Fails a request. A running attempt under a claim is left running, so that its outcome can still be
 * recorded; everything else is cancelled.
 */
export function failRequest (core: Core, row: RequestRow, failure: Omit<FailureOptions, 'ran'> & { ran?: Ran }, context: RunContext): void {
  const ran = failure.ran ?? getRan(row)
  const isOutcomePending = row.claim !== undefined && row.claim.state === 'taken' && row.attempts.some(attempt => attempt.state === 'running')
  failCaller(core, row, { ...failure, ran }, context)
  if (isOutcomePending) return
  cancelOthers(core, row, undefined, context)
  if (ran === 'no') recordOutcome(core, row, { kind: 'notRun', reason: failure.message }, context)
  else recordOutcome(core, row, { kind: 'unknown', reason: failure.message }, context)
  closeRow(core, row)
}

/** Returns whether the request's work ran. A dispatched attempt without any event yet counts as `unknown`. */
export function getRan (row: RequestRow): Ran {
  if (row.ran !== 'no') return row.ran
  return row.attempts.some(attempt => attempt.state !== 'asking') ? 'unknown' : 'no'
}

/** Fails a request whose deadline has passed. */
export function failDeadline (core: Core, row: RequestRow, context: RunContext): void {
  const isInProgress = row.claim?.state === 'othersOutcome'
  failRequest(core, row, {
    code: isInProgress ? ErrorCode.IN_PROGRESS : ErrorCode.DEADLINE,
    message: isInProgress ? 'an earlier submission with this key is still in progress' : `the deadline passed (${countLiveAttempts(row) > 0 ? 'at an endpoint' : row.lastReason})`,
    step: isInProgress ? 'claim' : 'deadline',
    ran: isInProgress ? 'unknown' : undefined
  }, context)
}
