import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createEcho, createEndpoint, createHarness, OWNER, playAnswer } from './harness.ts'

describe('a request', () => {
  it('asks the owner, is dispatched within the grant and gets its whole answer', () => {
    const harness = createHarness()
    harness.submit()
    const ask = harness.listSent('grant.ask')[0]
    expect(harness.sent[0]?.to).toEqual(OWNER)
    expect(ask?.adapterKey).toEqual('a1@v1')
    harness.give('r1.1')
    const start = harness.getLastStart()
    expect(start.sendBeforeMs).toEqual(1_000 + 495)
    expect(start.work.kind === 'adapter' && start.work.version).toEqual('v1')
    playAnswer(harness, 'r1.1')
    expect(harness.list('caller.head')[0]?.facts.version).toEqual('v1')
    expect(harness.list('caller.chunk').map(({ data }) => data)).toEqual(['one ', 'two'])
    expect(harness.list('caller.end').length).toEqual(1)
    expect(harness.listSent('grant.release').length).toEqual(1)
    expect(harness.requests.getActiveCount()).toEqual(0)
  })

  it('never delivers an answer that names another adapter, version or attempt', () => {
    for (const wrong of [{ adapter: 'a2' }, { version: 'v2' }, { attemptId: 'r9.1' }]) {
      const harness = createHarness()
      harness.submit()
      harness.give('r1.1')
      harness.event({ kind: 'attempt.started', attemptId: 'r1.1', echo: createEcho('r1.1', wrong), status: 200 })
      expect(harness.list('caller.head').length).toEqual(0)
      expect(harness.list('attempt.cancel').length).toEqual(1)
      harness.advance(3_000)
      expect(harness.listSent('grant.ask').length).toEqual(2)
    }
  })

  it('is refused as not run when its adapter does not exist', () => {
    const harness = createHarness()
    harness.submit({ work: { kind: 'adapter', adapter: 'unknown', form: 'chat', body: {}, stream: false, promptTokens: 1, maxTokens: 1 } })
    expect(harness.list('caller.fail')[0]?.failure.ran).toEqual('no')
  })

  it('asks again elsewhere when the owner refuses', () => {
    const harness = createHarness()
    harness.endpoints.set('e2', createEndpoint({ endpoint: 'e2', running: 0 }))
    harness.submit()
    const first = harness.listSent('grant.ask')[0]?.endpoint ?? ''
    harness.refuse('r1.1', 'leaving', first)
    const second = harness.listSent('grant.ask')[1]?.endpoint ?? ''
    expect(second).not.toEqual(first)
    expect(second).not.toEqual('')
  })
})
