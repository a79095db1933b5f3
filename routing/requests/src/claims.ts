/**
 * Claims of non-idempotent work in the ledger. A claim is committed before anything is sent, and
 * finished with the outcome, which answers later submissions with the same idempotency key. Used when such
 * a request arrives, when the ledger replies and when an attempt ends.
 */
import { createHash } from 'node:crypto'
import { ErrorCode } from '@catkinferry/core.errors'
import { MAX_KEPT_ANSWER_BYTES } from '@catkinferry/core.constants'
import type { Random } from '@catkinferry/core.random'
import type { CallerRequest, ClaimKey, DurationMs, WallMs } from '@catkinferry/core.types'
import type { LedgerClient } from '@catkinferry/ledger.claims'
import type { RunContext } from '@catkinferry/host.events'
import type { ClaimOutcome, CommandOutcome, StoredAnswer } from '@catkinferry/wire.messages'
import { closeRow, collectFacts, endCaller } from './answers.ts'
import type { Core } from './core.ts'
import { failRequest, recordOutcome } from './failing.ts'
import { queueRequest } from './placing.ts'
import type { RequestClaim, RequestRow } from './types.ts'

/** Longest time by which the timestamp of a key may be ahead of this host's clock. */
const MAX_KEY_SKEW_MS = 300_000
/** Delay before the first poll for the outcome of another attempt with the same key; doubles with each poll, up to `MAX_POLL_DELAY_MS`. */
const FIRST_POLL_DELAY_MS = 100
const MAX_POLL_DELAY_MS = 2_000
const QUORUM_RETRY_AFTER_MS = 1_000
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
const HEX_RADIX = 16

type TakeOptions = Parameters<LedgerClient['take']>[0]
type TakeResult = Parameters<TakeOptions['onOutcome']>[0]

/** Parses the creation time out of a UUIDv7; undefined for any other text. */
export function parseKeyCreatedAt (key: ClaimKey): WallMs | undefined {
  const match = UUID_V7.exec(key)
  return match === null ? undefined : Number.parseInt(`${match[1]}${match[2]}`, HEX_RADIX)
}

function formatHex (value: number, length: number): string {
  return value.toString(HEX_RADIX).padStart(length, '0')
}

/** Builds a UUIDv7 key for work that was submitted without one. */
export function buildClaimKey (wallNow: WallMs, random: Random): ClaimKey {
  const time = formatHex(Math.floor(wallNow), 12)
  const part = (length: number): string => formatHex(random.nextInt(0, HEX_RADIX ** length - 1), length)
  return `${time.slice(0, 8)}-${time.slice(8)}-7${part(3)}-${'89ab'[random.nextInt(0, 3)]}${part(3)}-${part(6)}${part(6)}`
}

/** Base64 SHA-256 of the caller and the work; tells whether a key is reused for different work. */
export function computeFingerprint (request: CallerRequest): string {
  return createHash('sha256').update(JSON.stringify([request.caller, request.work])).digest('base64')
}

export type ClaimResult =
  | { readonly ok: true, readonly claim: RequestClaim }
  | { readonly ok: false, readonly code: ErrorCode, readonly message: string, readonly hint?: string }

/** Creates the claim of a non-idempotent request, or returns the reason why its key cannot be used. */
export function createClaim (opts: { request: CallerRequest, wallNow: WallMs, random: Random, retentionMs: DurationMs }): ClaimResult {
  const { request, wallNow, random, retentionMs } = opts
  const claimKey = request.claimKey ?? buildClaimKey(wallNow, random)
  const keyCreatedAt = parseKeyCreatedAt(claimKey)
  if (keyCreatedAt === undefined) {
    return { ok: false, code: ErrorCode.BAD_REQUEST, message: 'the idempotency key is not a UUIDv7', hint: 'use a UUIDv7: its timestamp tells the age of the key' }
  }
  if (keyCreatedAt > wallNow + MAX_KEY_SKEW_MS) return { ok: false, code: ErrorCode.BAD_REQUEST, message: 'the timestamp of the idempotency key is in the future' }
  if (keyCreatedAt <= wallNow - retentionMs) {
    return { ok: false, code: ErrorCode.KEY_EXPIRED, message: 'the idempotency key is older than the retention period', hint: 'look up the outcome before using a new key' }
  }
  const fingerprint = computeFingerprint(request)
  const attemptId = `${request.requestId}.1`
  return { ok: true, claim: { claimKey, keyCreatedAt, fingerprint, attemptId, state: 'taking', polls: 0, keptBody: [], keptBytes: 0, status: 0 } }
}

/** Submits the claim to the ledger. */
export function takeClaim (core: Core, row: RequestRow, context: RunContext): void {
  const { claim } = row
  if (claim === undefined) return
  claim.state = 'taking'
  const { claimKey, attemptId, keyCreatedAt, fingerprint } = claim
  core.opts.ledger.take({
    claimKey,
    attemptId,
    keyCreatedAt,
    fingerprint,
    deadlineAt: row.deadlineAt,
    onOutcome: (result, ctx) => { handleTakeResult(core, row, claim, result, ctx) }
  }, context)
}

function handleTakeResult (core: Core, row: RequestRow, claim: RequestClaim, result: TakeResult, context: RunContext): void {
  if (row.closed || claim.state !== 'taking') return
  if (result.kind === 'outcome') {
    handleClaimOutcome(core, row, claim, result.outcome, context)
    return
  }
  // The attempt is never sent, whether or not its claim is committed later.
  if (result.kind === 'refused') claim.state = 'finished'
  failRequest(core, row, {
    code: ErrorCode.NO_QUORUM,
    message: result.kind === 'refused' ? 'no majority of voters accepted the claim' : 'the claim could not be confirmed',
    step: 'claim',
    ran: 'no',
    retryAfterMs: QUORUM_RETRY_AFTER_MS
  }, context)
}

function handleClaimOutcome (core: Core, row: RequestRow, claim: RequestClaim, outcome: CommandOutcome, context: RunContext): void {
  const { requestId } = row.request
  if (outcome.kind === 'claim.taken' || (outcome.kind === 'claim.held' && outcome.attemptId === claim.attemptId && outcome.outcome === undefined)) {
    claim.state = 'taken'
    core.log.add(requestId, context.now, 'claim', 'committed', { claimKey: claim.claimKey, attempt: claim.attemptId })
    if (core.shuttingDown) refuseForShutdown(core, row, context)
    else queueRequest(core, row, context)
    return
  }
  if (outcome.kind === 'claim.held') {
    handleHeld(core, row, claim, outcome, context)
    return
  }
  claim.state = 'finished'
  const isExpired = outcome.kind === 'claim.expired'
  failRequest(core, row, {
    code: isExpired ? ErrorCode.KEY_EXPIRED : ErrorCode.INTERNAL,
    message: isExpired ? 'the idempotency key is older than the retention period' : `unexpected ledger outcome ${outcome.kind}`,
    step: 'claim',
    ran: 'no'
  }, context)
}

/** Fails a request with `SHUTTING_DOWN`; with `retryAfterMs` 0 it can go to another host at once. */
export function refuseForShutdown (core: Core, row: RequestRow, context: RunContext): void {
  failRequest(core, row, { code: ErrorCode.SHUTTING_DOWN, message: 'this host is shutting down', step: 'queue', retryAfterMs: 0 }, context)
}

type Held = Extract<CommandOutcome, { kind: 'claim.held' }>

/** Handles a key that another submission holds: that submission's outcome answers this one. */
function handleHeld (core: Core, row: RequestRow, claim: RequestClaim, held: Held, context: RunContext): void {
  if (!held.sameFingerprint) {
    claim.state = 'finished'
    failRequest(core, row, { code: ErrorCode.BAD_REQUEST, message: 'the idempotency key was already used for different work', step: 'claim', ran: 'no' }, context)
    return
  }
  if (held.outcome === undefined) {
    waitForOutcome(core, row, claim, held, context)
    return
  }
  claim.state = 'finished'
  answerWithOutcome(core, row, held.outcome, context)
}

function waitForOutcome (core: Core, row: RequestRow, claim: RequestClaim, held: Held, context: RunContext): void {
  claim.state = 'othersOutcome'
  if (claim.polls === 0) {
    core.log.add(row.request.requestId, context.now, 'claim', 'held by another attempt', { attempt: held.attemptId, host: held.host })
  }
  const delayMs = Math.min(MAX_POLL_DELAY_MS, FIRST_POLL_DELAY_MS * 2 ** claim.polls)
  claim.polls += 1
  core.wakeups.set(row.request.requestId, context.now + delayMs)
}

function answerWithOutcome (core: Core, row: RequestRow, outcome: ClaimOutcome, context: RunContext): void {
  if (outcome.kind === 'done' && outcome.answer?.body !== undefined) {
    replayAnswer(core, row, outcome.answer, outcome.answer.body, context)
    return
  }
  if (outcome.kind === 'done') {
    failRequest(core, row, { code: ErrorCode.CONFLICT, message: 'the work is done, but its answer was too large to store', step: 'claim', ran: 'yes' }, context)
    return
  }
  const isNotRun = outcome.kind === 'notRun'
  failRequest(core, row, {
    code: isNotRun ? ErrorCode.CONFLICT : ErrorCode.OUTCOME_UNKNOWN,
    message: `the work with this key ended as ${isNotRun ? 'not run' : 'unknown'}: ${outcome.reason}`,
    step: 'claim',
    ran: isNotRun ? 'no' : 'unknown',
    hint: isNotRun ? 'send the request again with a new key' : 'an operator must resolve the claim'
  }, context)
}

function replayAnswer (core: Core, row: RequestRow, answer: StoredAnswer, body: string, context: RunContext): void {
  const { requestId } = row.request
  const facts = { ...collectFacts(row), adapter: answer.adapter, version: answer.version, replayed: true }
  context.emit({ kind: 'caller.head', requestId, facts, status: answer.status, contentType: answer.contentType })
  if (body.length > 0) context.emit({ kind: 'caller.chunk', requestId, data: body })
  endCaller(core, row, facts, context)
  closeRow(core, row)
}

/** Stores a part of the answer to replay it to resends. Drops the whole body once it exceeds the size limit. */
export function keepAnswerPart (claim: RequestClaim, data: string): void {
  if (claim.keptBody === undefined) return
  claim.keptBytes += Buffer.byteLength(data)
  if (claim.keptBytes > MAX_KEPT_ANSWER_BYTES) claim.keptBody = undefined
  else claim.keptBody.push(data)
}

/** Records the outcome `done`, with the answer body if it is within the size limit. */
export function recordDone (core: Core, row: RequestRow, context: RunContext): void {
  const { claim, target } = row
  if (claim === undefined) return
  const { status, contentType } = claim
  const body = claim.keptBody?.join('')
  recordOutcome(core, row, { kind: 'done', answer: { status, contentType, body, adapter: target.adapter, version: target.version } }, context)
}
