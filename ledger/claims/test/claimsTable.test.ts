import { createClaimsTable } from '@catkinferry/ledger.claims'
import type { ClaimsTable } from '@catkinferry/ledger.claims'
import type { ClaimOutcome, CommandOutcome } from '@catkinferry/wire.messages'
import { expect } from 'earl'
import fc from 'fast-check'
import { describe, it } from 'node:test'

const limits = { retentionMs: 1_000, keptAnswerBytes: 10, openLimitMs: 400 }
const DONE: ClaimOutcome = { kind: 'done', answer: { status: 200, body: 'ok' } }
const UNKNOWN: ClaimOutcome = { kind: 'unknown', reason: 'cut' }
const NOT_RUN: ClaimOutcome = { kind: 'notRun', reason: 'never sent' }

function take (table: ClaimsTable, claimKey: string, attemptId: string, now: number, keyCreatedAt = now): CommandOutcome {
  return table.take({ claimKey, attemptId, host: 'h', keyCreatedAt, fingerprint: 'f', now, limits })
}

function finish (table: ClaimsTable, claimKey: string, attemptId: string, outcome: ClaimOutcome, now: number): CommandOutcome {
  return table.finish({ claimKey, attemptId, outcome, now, limits })
}

describe('createClaimsTable', () => {
  it('gives a key to one attempt and to its resends, and to no other attempt', () => {
    const table = createClaimsTable()
    expect(take(table, 'k', 'a', 1).kind).toEqual('claim.taken')
    expect(take(table, 'k', 'a', 2).kind).toEqual('claim.taken')
    expect(take(table, 'k', 'b', 3)).toEqual({ kind: 'claim.held', attemptId: 'a', host: 'h', sameFingerprint: true })
    finish(table, 'k', 'a', NOT_RUN, 4)
    expect(take(table, 'k', 'b', 5).kind).toEqual('claim.held')
    expect(take(table, 'k', 'c', 6).kind).toEqual('claim.taken')
  })

  it('keeps the first outcome after a late finish, until an operator resolves an unknown one', () => {
    const table = createClaimsTable()
    take(table, 'k', 'a', 1)
    finish(table, 'k', 'a', UNKNOWN, 2)
    finish(table, 'k', 'a', DONE, 3)
    expect(table.get('k', 3, limits)?.state).toEqual('unknown')
    expect(table.resolve({ claimKey: 'k', resolution: 'done', note: '', by: 'op', now: 4, limits })).toEqual(undefined)
    expect(table.get('k', 4, limits)?.state).toEqual('done')
    expect(table.resolve({ claimKey: 'k', resolution: 'notRun', note: '', by: 'op', now: 5, limits })).toEqual('finished')
  })

  it('lets an operator resolve a claim without an outcome only once it is overdue', () => {
    const table = createClaimsTable()
    take(table, 'k', 'a', 1)
    const resolve = (now: number): unknown => table.resolve({ claimKey: 'k', resolution: 'notRun', note: 'seen at the office', by: 'op', now, limits })
    expect(resolve(401)).toEqual('open')
    expect(table.get('k', 402, limits)?.state).toEqual('overdue')
    expect(resolve(402)).toEqual(undefined)
  })

  it('lets another attempt take a key that was not run, but never the same attempt again', () => {
    const table = createClaimsTable()
    take(table, 'k', 'a', 1)
    finish(table, 'k', 'a', NOT_RUN, 2)
    expect(take(table, 'k', 'a', 3).kind).toEqual('claim.held')
    expect(take(table, 'k', 'b', 4).kind).toEqual('claim.taken')
  })

  it('does not give a claim to an attempt that was finished as not run before its take arrived', () => {
    const table = createClaimsTable()
    finish(table, 'k', 'a', NOT_RUN, 1)
    expect(take(table, 'k', 'a', 2).kind).toEqual('claim.held')
    expect(take(table, 'k', 'b', 3).kind).toEqual('claim.taken')
  })

  it('does not give a key back to an earlier attempt whose take was delayed', () => {
    const table = createClaimsTable()
    for (const attempt of ['a', 'b']) {
      take(table, 'k', attempt, 1)
      finish(table, 'k', attempt, NOT_RUN, 2)
    }
    expect(take(table, 'k', 'a', 3).kind).toEqual('claim.held')
    expect(take(table, 'k', 'c', 4).kind).toEqual('claim.taken')
  })

  it('does not give a key to an attempt that was recorded as not run while another held it', () => {
    const table = createClaimsTable()
    take(table, 'k', 'a', 1)
    expect(finish(table, 'k', 'b', NOT_RUN, 2).kind).toEqual('claim.held')
    finish(table, 'k', 'a', NOT_RUN, 3)
    expect(take(table, 'k', 'b', 4).kind).toEqual('claim.held')
    expect(take(table, 'k', 'c', 5).kind).toEqual('claim.taken')
  })

  it('refuses keys older than the retention period and keys created in the future', () => {
    const table = createClaimsTable()
    expect(take(table, 'k', 'a', 5_000, 3_999)).toEqual({ kind: 'claim.expired', reason: 'tooOld' })
    expect(take(table, 'k', 'a', 5_000, 5_000 + 300_001)).toEqual({ kind: 'claim.expired', reason: 'inFuture' })
  })

  it('drops settled claims after the retention period and keeps the others until they are resolved', () => {
    const table = createClaimsTable()
    for (const key of ['settled', 'unknown', 'open']) take(table, key, 'a', 1)
    finish(table, 'settled', 'a', DONE, 2)
    finish(table, 'unknown', 'a', UNKNOWN, 2)
    table.expire(1_001, limits)
    expect(table.list({ limit: 9, now: 1_001, limits }).map(row => row.claimKey)).toEqual(['unknown', 'open'])
    table.resolve({ claimKey: 'unknown', resolution: 'done', note: '', by: 'op', now: 1_500, limits })
    table.expire(2_499, limits)
    expect(table.get('unknown', 2_499, limits)?.state).toEqual('done')
    table.expire(2_500, limits)
    expect(table.get('unknown', 2_500, limits)).toEqual(undefined)
  })

  it('drops the oldest answers beyond the size limit and keeps their outcomes', () => {
    const table = createClaimsTable()
    for (const key of ['k1', 'k2', 'k3']) {
      take(table, key, 'a', 1)
      finish(table, key, 'a', { kind: 'done', answer: { status: 201, body: '12345' } }, 2)
    }
    expect(table.get('k1', 3, limits)?.outcome).toEqual({ kind: 'done', answer: { status: 201 } })
    expect(table.get('k3', 3, limits)?.outcome).toEqual({ kind: 'done', answer: { status: 201, body: '12345' } })
    expect(table.getKeptAnswerBytes()).toEqual(10)
  })

  it('lets at most one attempt take a key while none is recorded as not run', () => {
    const attempt = fc.constantFrom('a', 'b', 'c')
    const outcome = fc.constantFrom(DONE, UNKNOWN)
    const step = fc.record({ attempt, outcome: fc.option(outcome, { nil: undefined }), wait: fc.integer({ min: 0, max: 300 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), steps => {
      const table = createClaimsTable()
      const holders = new Set<string>()
      let now = 10
      for (const { attempt, outcome, wait } of steps) {
        now += wait
        if (outcome !== undefined) finish(table, 'k', attempt, outcome, now)
        else if (take(table, 'k', attempt, now, 10).kind === 'claim.taken') holders.add(attempt)
        table.expire(now, limits)
      }
      expect(holders.size <= 1).toEqual(true)
    }), { seed: 1, numRuns: 500 })
  })
})
