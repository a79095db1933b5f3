import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { ClaimOutcome } from '@catkinferry/wire.messages'
import { buildClaimKey, parseKeyCreatedAt } from '../src/claims.ts'
import { createRandom } from '@catkinferry/core.random'
import { createEcho, createHarness, deliverAnswer } from './harness.ts'
import type { Harness } from './harness.ts'

const NOW = 1_800_000_001_000
const DAY_MS = 86_400_000
const TAKEN = { kind: 'outcome', outcome: { kind: 'claim.taken' } } as const

function createKey (createdAt = NOW): string {
  return buildClaimKey(createdAt, createRandom(5))
}

function submitNonIdempotent (harness: Harness, requestId = 'r1', claimKey: string | undefined = createKey(), deadlineMs = 30_000): void {
  harness.submit({ requestId, claimKey, idempotent: false, deadlineMs })
}

function answerHeld (harness: Harness, outcome: ClaimOutcome | undefined, sameFingerprint = true): void {
  harness.answerTake({ kind: 'outcome', outcome: { kind: 'claim.held', attemptId: 'other.1', host: 'entry-9', outcome, sameFingerprint } })
}

function getFailures (harness: Harness): unknown[] {
  return harness.list('caller.fail').map(({ failure }) => [failure.code, failure.ran])
}

describe('non-idempotent work', () => {
  it('requests a grant only after its claim is committed, and runs under the attempt id of the claim', () => {
    const harness = createHarness()
    submitNonIdempotent(harness)
    expect(harness.listSent('grant.ask').length).toEqual(0)
    harness.answerTake(TAKEN)
    harness.grant('r1.1')
    const start = harness.getLastStart()
    expect([start.attemptId, start.freshConnection]).toEqual(['r1.1', true])
    deliverAnswer(harness, 'r1.1')
    expect(harness.finishes.map(({ outcome }) => outcome)).toEqual([
      { kind: 'done', answer: { status: 200, contentType: 'text/plain', body: 'one two', adapter: 'a1', version: 'v1' } }
    ])
    expect(harness.list('caller.end').length).toEqual(1)
    expect(harness.requests.getActiveCount()).toEqual(1)
    harness.answerFinish()
    expect(harness.requests.getActiveCount()).toEqual(0)
  })

  it('is refused as not run when the claim is refused or cannot be confirmed', () => {
    for (const kind of ['refused', 'unknown'] as const) {
      const harness = createHarness()
      submitNonIdempotent(harness)
      harness.answerTake({ kind, reason: 'busy' } as never)
      expect(getFailures(harness)).toEqual([['ERR_CATKINFERRY_NO_QUORUM', 'no']])
      harness.advance(60_000)
      expect(harness.listSent('grant.ask').length).toEqual(0)
    }
  })

  it('is never sent again once a byte may have been sent, and its outcome is unknown', () => {
    const harness = createHarness()
    submitNonIdempotent(harness)
    harness.answerTake(TAKEN)
    harness.grant('r1.1')
    harness.receiveAttempt({ kind: 'attempt.failed', attemptId: 'r1.1', sent: true, refused: 'busy', failure: { code: 'ERR_CATKINFERRY_ENDPOINT_FAILED', message: 'reset', step: 'attempt' } })
    harness.advance(60_000)
    expect(harness.list('attempt.start').length).toEqual(1)
    expect(harness.finishes.map(({ outcome }) => outcome.kind)).toEqual(['unknown'])
    expect(getFailures(harness)).toEqual([['ERR_CATKINFERRY_ENDPOINT_FAILED', 'unknown']])
  })

  it('may be sent again if no byte was sent', () => {
    const harness = createHarness()
    submitNonIdempotent(harness)
    harness.answerTake(TAKEN)
    harness.grant('r1.1')
    harness.receiveAttempt({ kind: 'attempt.failed', attemptId: 'r1.1', sent: false, failure: { code: 'ERR_CATKINFERRY_ENDPOINT_FAILED', message: 'too late', step: 'attempt' } })
    harness.advance(2_100)
    harness.grant('r1.2')
    expect(harness.getLastStart().attemptId).toEqual('r1.1')
    deliverAnswer(harness, 'r1.1')
    expect(harness.list('caller.end').length).toEqual(1)
  })

  it('is recorded as not run when it fails before dispatch', () => {
    const harness = createHarness()
    submitNonIdempotent(harness, 'r1', createKey(), 2_000)
    harness.answerTake(TAKEN)
    harness.advance(2_000)
    expect(getFailures(harness)).toEqual([['ERR_CATKINFERRY_DEADLINE', 'no']])
    expect(harness.finishes.map(({ outcome }) => outcome.kind)).toEqual(['notRun'])
    harness.grant('r1.1')
    expect(harness.list('attempt.start').length).toEqual(0)
  })

  it('runs on after its caller disconnects, so that the outcome is recorded', () => {
    const harness = createHarness()
    submitNonIdempotent(harness)
    harness.answerTake(TAKEN)
    harness.grant('r1.1')
    harness.requests.receiveCallerGone('r1', harness.getContext())
    expect(harness.list('attempt.cancel').length).toEqual(0)
    deliverAnswer(harness, 'r1.1')
    expect(harness.list('caller.end').length).toEqual(0)
    expect(harness.finishes.map(({ outcome }) => outcome.kind)).toEqual(['done'])
  })

  it('fails its caller at the deadline and still records the later outcome', () => {
    const harness = createHarness()
    submitNonIdempotent(harness, 'r1', createKey(), 2_000)
    harness.answerTake(TAKEN)
    harness.grant('r1.1')
    harness.advance(2_000)
    expect(getFailures(harness)).toEqual([['ERR_CATKINFERRY_DEADLINE', 'unknown']])
    deliverAnswer(harness, 'r1.1')
    expect(harness.finishes.map(({ outcome }) => outcome.kind)).toEqual(['done'])
  })

  it('is recorded as unknown when the answer names another adapter', () => {
    const harness = createHarness()
    submitNonIdempotent(harness)
    harness.answerTake(TAKEN)
    harness.grant('r1.1')
    harness.receiveAttempt({ kind: 'attempt.started', attemptId: 'r1.1', echo: createEcho('r1.1', { adapter: 'a2' }), status: 200 })
    expect(harness.list('caller.head').length).toEqual(0)
    expect(harness.finishes.map(({ outcome }) => outcome.kind)).toEqual(['unknown'])
  })

  it('stores no answer body over the size limit', () => {
    const harness = createHarness()
    submitNonIdempotent(harness)
    harness.answerTake(TAKEN)
    harness.grant('r1.1')
    const echo = createEcho('r1.1')
    harness.receiveAttempt({ kind: 'attempt.started', attemptId: 'r1.1', echo, status: 200 })
    harness.receiveAttempt({ kind: 'attempt.chunk', attemptId: 'r1.1', echo, index: 0, data: 'x'.repeat(70_000), tokens: 1 })
    harness.receiveAttempt({ kind: 'attempt.ended', attemptId: 'r1.1', echo, chunks: 1 })
    const outcome = harness.finishes[0]?.outcome
    expect(outcome?.kind === 'done' && outcome.answer?.body).toEqual(undefined)
  })

  it('is refused when shutdown begins while the claim is being committed', () => {
    const harness = createHarness()
    submitNonIdempotent(harness)
    harness.requests.beginShutdown(harness.getContext())
    harness.answerTake(TAKEN)
    expect(getFailures(harness)).toEqual([['ERR_CATKINFERRY_SHUTTING_DOWN', 'no']])
    expect(harness.finishes.map(({ outcome }) => outcome.kind)).toEqual(['notRun'])
  })
})

describe('a resend with the same key', () => {
  it('waits for the outcome and gets the stored answer', () => {
    const harness = createHarness()
    submitNonIdempotent(harness)
    answerHeld(harness, undefined)
    harness.advance(100)
    answerHeld(harness, { kind: 'done', answer: { status: 201, contentType: 'text/plain', body: 'filed', adapter: 'a1', version: 'v1' } })
    const head = harness.list('caller.head')[0]
    expect([head?.status, head?.facts.replayed, head?.facts.version]).toEqual([201, true, 'v1'])
    expect(harness.list('caller.chunk').map(({ data }) => data)).toEqual(['filed'])
    expect(harness.list('caller.end').length).toEqual(1)
    expect([harness.list('attempt.start').length, harness.finishes.length]).toEqual([0, 0])
  })

  it('fails as in progress at its own deadline', () => {
    const harness = createHarness()
    submitNonIdempotent(harness, 'r1', createKey(), 1_000)
    for (let poll = 0; poll < 8; poll += 1) {
      answerHeld(harness, undefined)
      harness.advance(200)
    }
    expect(getFailures(harness)).toEqual([['ERR_CATKINFERRY_IN_PROGRESS', 'unknown']])
    expect(harness.finishes.length).toEqual(0)
  })

  it('fails as unknown when the outcome is unknown', () => {
    const harness = createHarness()
    submitNonIdempotent(harness)
    answerHeld(harness, { kind: 'unknown', reason: 'the answer was lost' })
    expect(getFailures(harness)).toEqual([['ERR_CATKINFERRY_OUTCOME_UNKNOWN', 'unknown']])
  })

  it('is refused as a bad request when it asks for different work', () => {
    const harness = createHarness()
    submitNonIdempotent(harness)
    answerHeld(harness, { kind: 'done' }, false)
    expect(getFailures(harness)).toEqual([['ERR_CATKINFERRY_BAD_REQUEST', 'no']])
  })
})

describe('an idempotency key', () => {
  it('is refused when it is past the retention period, in the future, or not a UUIDv7', () => {
    const cases = [
      [createKey(NOW - 8 * DAY_MS), 'ERR_CATKINFERRY_KEY_EXPIRED'],
      [createKey(NOW + DAY_MS), 'ERR_CATKINFERRY_BAD_REQUEST'],
      ['order-66', 'ERR_CATKINFERRY_BAD_REQUEST']
    ] as const
    for (const [key, code] of cases) {
      const harness = createHarness()
      submitNonIdempotent(harness, 'r1', key)
      expect(getFailures(harness)).toEqual([[code, 'no']])
      expect(harness.takes.length).toEqual(0)
    }
  })

  it('is generated for work submitted without one, and returned to the caller', () => {
    const harness = createHarness()
    harness.submit({ idempotent: false })
    expect(parseKeyCreatedAt(harness.takes[0]?.claimKey ?? '')).toEqual(NOW)
    harness.answerTake(TAKEN)
    harness.grant('r1.1')
    deliverAnswer(harness, 'r1.1')
    expect(parseKeyCreatedAt(harness.list('caller.end')[0]?.facts.claimKey ?? '')).toEqual(NOW)
  })
})
