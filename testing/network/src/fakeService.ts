/** Simulated plain service on virtual time: each call runs once, takes `callMs` and answers in one piece. */
import { ANSWER_PARTS, buildExpectedAnswer } from '@catkinferry/testing.oracle'
import type { Observation } from '@catkinferry/testing.oracle'
import type { Scheduler } from './scheduler.ts'

export interface ServiceCall {
  readonly attemptId: string
  readonly token: string
  readonly content: string
  readonly answer: (answer: { readonly kind: 'done', readonly body: string } | { readonly kind: 'broken' }) => void
}

export interface FakeService {
  readonly submit: (call: ServiceCall) => void
  readonly cancel: (attemptId: string) => void
  readonly restart: () => void
  readonly faults: { silent: boolean }
}

export interface FakeServiceOptions {
  readonly endpoint: string
  readonly callMs: number
  readonly scheduler: Scheduler
  readonly observe: (observation: Observation) => void
}

export function createFakeService (opts: FakeServiceOptions): FakeService {
  const { scheduler, endpoint, observe } = opts
  const running = new Map<string, { readonly run: string, readonly call: ServiceCall }>()
  const faults = { silent: false }
  let runCount = 0

  function finishCall (attemptId: string, how: 'complete' | 'cancelled' | 'crashed'): ServiceCall | undefined {
    const row = running.get(attemptId)
    if (row === undefined) return undefined
    running.delete(attemptId)
    observe({ kind: 'runEnded', at: scheduler.getNow(), run: row.run, how })
    return row.call
  }

  function answerCall (attemptId: string): void {
    const call = finishCall(attemptId, 'complete')
    if (call === undefined || faults.silent) return
    call.answer({ kind: 'done', body: buildExpectedAnswer(call.content, undefined, undefined, ANSWER_PARTS).join('') })
  }

  return {
    submit: call => {
      const run = `${endpoint}/${runCount++}`
      running.set(call.attemptId, { run, call })
      observe({ kind: 'runStarted', at: scheduler.getNow(), run, endpoint, token: call.token, content: call.content })
      scheduler.add(opts.callMs, () => answerCall(call.attemptId))
    },
    cancel: attemptId => { finishCall(attemptId, 'cancelled') },
    restart: () => {
      for (const attemptId of [...running.keys()]) finishCall(attemptId, 'crashed')?.answer({ kind: 'broken' })
    },
    faults
  }
}
