import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createEcho, createEndpoint, createHarness } from './harness.ts'
import type { Harness } from './harness.ts'

const CALL = { kind: 'service', route: 'registry', method: 'POST', path: '/registry/entries', body: '{}' } as const
const TAKEN = { kind: 'outcome', outcome: { kind: 'claim.taken' } } as const

function createServiceHarness (route: { idempotent: boolean, concurrency?: number }): Harness {
  const harness = createHarness()
  harness.overrides['service.routes'] = { registry: { pool: 'registers', ...route } }
  harness.endpoints.set('s1', createEndpoint({ endpoint: 's1', kind: 'service', pool: 'registers', owner: undefined, batchLimit: 0 }))
  return harness
}

describe('a call of a plain service', () => {
  it('goes to the pool of its route without a grant', () => {
    const harness = createServiceHarness({ idempotent: true })
    harness.serving = false
    harness.submit({ work: CALL })
    expect(harness.getLastStart().endpoint).toEqual('s1')
    expect(harness.listSent('grant.ask').length).toEqual(0)
    const echo = createEcho('r1.1', { adapter: undefined, version: undefined })
    harness.receiveAttempt({ kind: 'attempt.started', attemptId: 'r1.1', echo, status: 404 })
    harness.receiveAttempt({ kind: 'attempt.chunk', attemptId: 'r1.1', echo, index: 0, data: 'none', tokens: 0 })
    harness.receiveAttempt({ kind: 'attempt.ended', attemptId: 'r1.1', echo, chunks: 1 })
    expect([harness.list('caller.head')[0]?.status, harness.list('caller.end').length]).toEqual([404, 1])
    expect(harness.listSent('grant.release').length).toEqual(0)
  })

  it('takes a claim when the settings mark the route as non-idempotent, even if the caller marks the request as idempotent', () => {
    const harness = createServiceHarness({ idempotent: false })
    harness.submit({ work: CALL, idempotent: true })
    expect(harness.list('attempt.start').length).toEqual(0)
    harness.answerTake(TAKEN)
    expect(harness.getLastStart().freshConnection).toEqual(true)
    harness.receiveAttempt({ kind: 'attempt.failed', attemptId: 'r1.1', sent: true, failure: { code: 'ERR_CATKINFERRY_LINK_FAILED', message: 'silent', step: 'attempt' } })
    harness.advance(20_000)
    expect(harness.list('attempt.start').length).toEqual(1)
    expect(harness.finishes.map(({ outcome }) => outcome.kind)).toEqual(['unknown'])
  })

  it('waits while the route is at its concurrency limit', () => {
    const harness = createServiceHarness({ idempotent: true, concurrency: 1 })
    harness.submit({ work: CALL })
    harness.submit({ work: CALL, requestId: 'r2' })
    expect(harness.list('attempt.start').length).toEqual(1)
    const echo = createEcho('r1.1', { adapter: undefined, version: undefined })
    harness.receiveAttempt({ kind: 'attempt.started', attemptId: 'r1.1', echo, status: 200 })
    harness.receiveAttempt({ kind: 'attempt.ended', attemptId: 'r1.1', echo, chunks: 0 })
    expect(harness.getLastStart().requestId).toEqual('r2')
  })
})

describe('the queues of a host', () => {
  it('share one size limit', () => {
    const harness = createServiceHarness({ idempotent: true, concurrency: 1 })
    harness.overrides['queue.limit'] = 2
    harness.endpoints.set('e1', createEndpoint({ endpoint: 'e1', batchLimit: 0 }))
    harness.submit({ requestId: 'a' })
    harness.submit({ requestId: 's0', work: CALL })
    harness.submit({ requestId: 's1', work: CALL })
    harness.submit({ requestId: 's2', work: CALL })
    expect(harness.list('caller.fail').map(({ requestId, failure }) => [requestId, failure.code])).toEqual([['s2', 'ERR_CATKINFERRY_NO_CAPACITY']])
  })
})
