import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { AttemptEvent } from '@catkinferry/host.events'
import { createEcho, createEndpoint, createHarness, deliverAnswer } from './harness.ts'
import type { Harness } from './harness.ts'

type Failed = Extract<AttemptEvent, { kind: 'attempt.failed' }>

function createFailed (attemptId: string, opts: Partial<Failed> = {}): Failed {
  return { kind: 'attempt.failed', attemptId, sent: true, failure: { code: 'ERR_CATKINFERRY_ENDPOINT_FAILED', message: 'reset', step: 'attempt' }, ...opts }
}

/** Creates a system with two engines and a request that runs on one of them. */
function startOne (opts: Parameters<Harness['submit']>[0] = {}): { harness: Harness, endpoint: string } {
  const harness = createHarness()
  harness.endpoints.set('e2', createEndpoint({ endpoint: 'e2' }))
  harness.submit(opts)
  const endpoint = harness.listSent('grant.ask')[0]?.endpoint ?? ''
  harness.grant('r1.1', { endpoint })
  return { harness, endpoint }
}

function getCodes (harness: Harness): unknown[] {
  return harness.list('caller.fail').map(({ failure }) => [failure.code, failure.ran])
}

const GREEDY = { kind: 'adapter', adapter: 'a1', form: 'chat', body: { temperature: 0 }, stream: true, promptTokens: 1, maxTokens: 9 } as const

describe('a failed attempt', () => {
  it('is retried at a different endpoint on a fresh connection', () => {
    const { harness, endpoint } = startOne()
    harness.receiveAttempt(createFailed('r1.1'))
    harness.advance(50)
    const grantRequest = harness.listSent('grant.ask').at(-1)
    expect(grantRequest?.attemptId).toEqual('r1.2')
    expect(grantRequest?.endpoint).not.toEqual(endpoint)
    harness.grant('r1.2', { endpoint: grantRequest?.endpoint ?? '' })
    expect(harness.getLastStart().freshConnection).toEqual(true)
    deliverAnswer(harness, 'r1.2')
    expect(harness.list('caller.end')[0]?.facts.attempts).toEqual(2)
  })

  it('is retried up to the attempt limit, after which the request fails as possibly run', () => {
    const { harness } = startOne()
    for (const attempt of [1, 2, 3]) {
      if (attempt > 1) harness.grant(`r1.${attempt}`, { endpoint: harness.listSent('grant.ask').at(-1)?.endpoint ?? '' })
      harness.receiveAttempt(createFailed(`r1.${attempt}`))
      for (let step = 0; step < 60 && harness.listSent('grant.ask').length <= attempt; step += 1) harness.advance(50)
    }
    expect(getCodes(harness)).toEqual([['ERR_CATKINFERRY_ENDPOINT_FAILED', 'unknown']])
    expect(harness.list('attempt.start').length).toEqual(3)
  })

  it('is not retried once the retry budget is exhausted', () => {
    const harness = createHarness()
    for (let number = 0; number < 24; number += 1) {
      const requestId = `q${number}`
      harness.endpoints.set('e1', createEndpoint({ endpoint: `x${number}` }))
      harness.submit({ requestId })
      harness.grant(`${requestId}.1`, { endpoint: harness.listSent('grant.ask').at(-1)?.endpoint ?? '' })
      harness.receiveAttempt(createFailed(`${requestId}.1`))
    }
    expect(harness.list('caller.fail').length).toEqual(4)
  })

  it('leaves the request as not run if no byte was sent', () => {
    const { harness } = startOne()
    harness.receiveAttempt(createFailed('r1.1', { sent: false }))
    harness.endpoints.clear()
    harness.advance(40_000)
    expect(getCodes(harness)).toEqual([['ERR_CATKINFERRY_NO_CAPACITY', 'no']])
  })

  it('keeps the adapter pinned while the engine may still run it', () => {
    const { harness } = startOne()
    harness.receiveAttempt(createFailed('r1.1'))
    expect(harness.listSent('grant.release').length).toEqual(0)
    harness.advance(2_000)
    expect(harness.listSent('grant.release')[0]?.attemptId).toEqual('r1.1')
  })
})

describe('a cut stream', () => {
  function cut (harness: Harness): void {
    const echo = createEcho('r1.1')
    harness.receiveAttempt({ kind: 'attempt.started', attemptId: 'r1.1', echo, status: 200 })
    harness.receiveAttempt({ kind: 'attempt.chunk', attemptId: 'r1.1', echo, index: 0, data: 'one ', tokens: 1 })
    harness.receiveAttempt(createFailed('r1.1', { failure: { code: 'ERR_CATKINFERRY_STREAM_CUT', message: 'cut', step: 'attempt' } }))
  }

  it('is never reported as complete', () => {
    const { harness } = startOne()
    cut(harness)
    expect(harness.list('caller.end').length).toEqual(0)
    expect(getCodes(harness)).toEqual([['ERR_CATKINFERRY_STREAM_CUT', 'yes']])
  })

  it('is resumed at its next chunk if resuming is enabled and decoding is greedy', () => {
    const { harness } = startOne({ work: GREEDY })
    harness.overrides['stream.resumeEnabled'] = true
    cut(harness)
    harness.advance(50)
    const endpoint = harness.listSent('grant.ask').at(-1)?.endpoint ?? ''
    harness.grant('r1.2', { endpoint })
    expect(harness.getLastStart().resumeFrom).toEqual(1)
    const echo = createEcho('r1.2')
    harness.receiveAttempt({ kind: 'attempt.started', attemptId: 'r1.2', echo, status: 200 })
    harness.receiveAttempt({ kind: 'attempt.chunk', attemptId: 'r1.2', echo, index: 1, data: 'two', tokens: 1 })
    harness.receiveAttempt({ kind: 'attempt.ended', attemptId: 'r1.2', echo, chunks: 2 })
    expect(harness.list('caller.head').length).toEqual(1)
    expect(harness.list('caller.chunk').map(({ data }) => data)).toEqual(['one ', 'two'])
    expect(harness.list('caller.end').length).toEqual(1)
  })

  // Guards against a response that is judged as if the caller had nothing yet: it would follow the chunks that were sent, or end the stream as complete.
  for (const [name, events] of [
    ['begins anew', [{ kind: 'attempt.started', status: 200 }, { kind: 'attempt.chunk', index: 0, data: 'x', tokens: 1 }]],
    ['is a whole document', [{ kind: 'attempt.started', status: 200, contentType: 'application/json' }, { kind: 'attempt.chunk', index: 0, data: '{}', tokens: 1 }, { kind: 'attempt.ended', chunks: 1 }]],
    ['is empty', [{ kind: 'attempt.ended', chunks: 0 }]],
    ['ends without a chunk', [{ kind: 'attempt.ended', chunks: 1 }]]
  ] as const) {
    it(`is not resumed with a response that ${name}`, () => {
      const { harness } = startOne({ work: GREEDY })
      harness.overrides['stream.resumeEnabled'] = true
      cut(harness)
      harness.advance(50)
      harness.grant('r1.2', { endpoint: harness.listSent('grant.ask').at(-1)?.endpoint ?? '' })
      const echo = createEcho('r1.2')
      for (const event of events) harness.receiveAttempt({ ...event, attemptId: 'r1.2', echo })
      expect([harness.list('caller.head').length, harness.list('caller.chunk').map(({ data }) => data), harness.list('caller.end').length]).toEqual([1, ['one '], 0])
    })
  }

  it('fails when a chunk is missing or the count of chunks is wrong', () => {
    for (const [index, chunks] of [[1, 1], [0, 2]] as const) {
      const { harness } = startOne()
      const echo = createEcho('r1.1')
      harness.receiveAttempt({ kind: 'attempt.started', attemptId: 'r1.1', echo, status: 200 })
      harness.receiveAttempt({ kind: 'attempt.chunk', attemptId: 'r1.1', echo, index, data: 'x', tokens: 1 })
      harness.receiveAttempt({ kind: 'attempt.ended', attemptId: 'r1.1', echo, chunks })
      expect(harness.list('caller.end').length).toEqual(0)
      expect(harness.list('caller.fail').length).toEqual(1)
    }
  })

  it('is failed by the core when the I/O shell reports nothing', () => {
    const { harness } = startOne()
    const echo = createEcho('r1.1')
    harness.receiveAttempt({ kind: 'attempt.started', attemptId: 'r1.1', echo, status: 200 })
    harness.advance(11_000)
    expect(harness.list('attempt.cancel').length).toEqual(1)
    expect(getCodes(harness)).toEqual([['ERR_CATKINFERRY_STREAM_CUT', 'yes']])
  })
})

describe('an answer that is not streamed', () => {
  it('has no progress timeout before its deadline', () => {
    const { harness } = startOne({ work: { ...GREEDY, stream: false } })
    harness.advance(20_000)
    expect(harness.list('attempt.cancel').length).toEqual(0)
    harness.advance(11_000)
    expect(getCodes(harness)).toEqual([['ERR_CATKINFERRY_DEADLINE', 'unknown']])
  })
})

describe('hedging', () => {
  it('starts a second attempt after the hedge delay and cancels the slower one', () => {
    const { harness, endpoint } = startOne()
    harness.overrides['hedge.enabled'] = true
    harness.submit({ requestId: 'r2' })
    const first = harness.listSent('grant.ask').at(-1)?.endpoint ?? ''
    harness.grant('r2.1', { endpoint: first })
    harness.advance(800)
    const second = harness.listSent('grant.ask').at(-1)
    expect(second?.attemptId).toEqual('r2.2')
    harness.grant('r2.2', { endpoint: second?.endpoint ?? endpoint })
    deliverAnswer(harness, 'r2.2')
    harness.receiveAttempt({ kind: 'attempt.started', attemptId: 'r2.1', echo: createEcho('r2.1'), status: 200 })
    expect(harness.list('attempt.cancel').map(({ attemptId }) => attemptId)).toEqual(['r2.1'])
    expect(harness.list('caller.head').filter(({ requestId }) => requestId === 'r2').length).toEqual(1)
  })
})

describe('a breaker', () => {
  it('waits for an endpoint that a new owner takes over, longer than for a pool without endpoints', () => {
    for (const [reportAgeMs, waitMs] of [[Infinity, 8_000], [100, 2_000]] as const) {
      const harness = createHarness()
      harness.endpoints.set('e1', createEndpoint({ endpoint: 'e1', batchLimit: 0, reportAgeMs }))
      harness.submit()
      harness.advance(waitMs - 200)
      expect(harness.list('caller.fail').length).toEqual(0)
      harness.advance(400)
      expect(harness.list('caller.fail').length).toEqual(1)
    }
  })

  it('keeps requests away from a failing endpoint and lets one probe through later', () => {
    const harness = createHarness()
    harness.overrides['retry.maxAttempts'] = 1
    for (let number = 0; number < 10; number += 1) {
      harness.submit({ requestId: `q${number}` })
      harness.grant(`q${number}.1`)
      harness.receiveAttempt(createFailed(`q${number}.1`))
    }
    const requestCount = harness.listSent('grant.ask').length
    harness.submit({ requestId: 'late' })
    expect(harness.listSent('grant.ask').length).toEqual(requestCount)
    harness.submit({ requestId: 'later' })
    harness.advance(2_100)
    expect(harness.listSent('grant.ask').length).toEqual(requestCount + 1)
  })
})
