import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { createRandom } from '@catkinferry/core.random'
import type { CallerRequest } from '@catkinferry/core.types'
import type { AttemptEvent } from '@catkinferry/host.events'
import type { ClaimOutcome, GrantMessage } from '@catkinferry/wire.messages'
import { buildClaimKey } from '../src/claims.ts'
import { buildPart, findViolations, PARTS_PER_ANSWER } from './checker.ts'
import type { Observations } from './checker.ts'
import { createEcho, createEndpoint, createHarness } from './harness.ts'
import type { Harness } from './harness.ts'

const KEYS = [0, 1, 2].map(seed => buildClaimKey(1_800_000_001_000, createRandom(seed + 1)))

/** One simulated step: an action, and a number that selects what it applies to. */
type Step = readonly [action: keyof typeof ACTIONS, pick: number]

interface Simulation {
  readonly harness: Harness
  readonly submitted: Map<string, CallerRequest>
  readonly received: string[]
  /** Events that engines sent and the network has not delivered yet; repeats and misdirected copies leave them here. */
  readonly inFlight: AttemptEvent[]
  readonly claims: Map<string, { attemptId: string, outcome?: ClaimOutcome }>
  readonly grants: Extract<GrantMessage, { kind: 'grant.given' }>[]
  seenStarts: number
  next: number
}

function submit (sim: Simulation, idempotent: boolean, pick: number): void {
  const requestId = `r${sim.next}`
  sim.next += 1
  sim.harness.submit({ requestId, idempotent, claimKey: idempotent ? undefined : KEYS[pick % KEYS.length], deadlineMs: 5_000 + (pick % 7) * 1_000 })
  sim.submitted.set(requestId, { requestId, idempotent, claimKey: idempotent ? undefined : KEYS[pick % KEYS.length] } as CallerRequest)
}

/** Lets engines run what was dispatched since the last step. Each answer consists of its request's own parts. */
function runEngines (sim: Simulation, pick: number): void {
  const starts = sim.harness.list('attempt.start')
  for (; sim.seenStarts < starts.length; sim.seenStarts += 1) {
    const start = starts[sim.seenStarts]
    if (start === undefined) continue
    const { attemptId, requestId } = start
    if (pick % 5 === 4) {
      sim.inFlight.push({ kind: 'attempt.failed', attemptId, sent: false, failure: { code: 'ERR_CATKINFERRY_LINK_FAILED', message: 'not sent', step: 'attempt' } })
      continue
    }
    sim.received.push(attemptId)
    const echo = createEcho(attemptId)
    sim.inFlight.push({ kind: 'attempt.started', attemptId, echo, status: 200 })
    for (let index = 0; index < PARTS_PER_ANSWER; index += 1) {
      sim.inFlight.push({ kind: 'attempt.chunk', attemptId, echo, index, data: buildPart(requestId, index), tokens: 1 })
    }
    if (pick % 7 === 3) sim.inFlight.push({ kind: 'attempt.failed', attemptId, sent: true, failure: { code: 'ERR_CATKINFERRY_STREAM_CUT', message: 'cut', step: 'attempt' } })
    else sim.inFlight.push({ kind: 'attempt.ended', attemptId, echo, chunks: PARTS_PER_ANSWER })
  }
}

function answerTake (sim: Simulation, pick: number): void {
  const take = sim.harness.takes[0]
  if (take === undefined) return
  const held = sim.claims.get(take.claimKey)
  if (pick % 6 === 5) {
    sim.harness.answerTake({ kind: 'unknown' } as never)
    return
  }
  if (held === undefined || held.outcome?.kind === 'notRun') {
    sim.claims.set(take.claimKey, { attemptId: take.attemptId })
    sim.harness.answerTake({ kind: 'outcome', outcome: { kind: 'claim.taken' } })
    return
  }
  sim.harness.answerTake({ kind: 'outcome', outcome: { kind: 'claim.held', ...held, host: 'entry-9', sameFingerprint: true } })
}

function answerFinish (sim: Simulation): void {
  const finish = sim.harness.finishes[0]
  if (finish === undefined) return
  const held = sim.claims.get(finish.claimKey)
  if (held?.attemptId === finish.attemptId) held.outcome ??= finish.outcome
  sim.harness.answerFinish()
}

const ACTIONS = {
  submit: (sim: Simulation, pick: number) => submit(sim, true, pick),
  submitNonIdempotent: (sim: Simulation, pick: number) => submit(sim, false, pick),
  grant: (sim: Simulation, pick: number) => {
    const request = sim.harness.listSent('grant.ask').at(-1 - pick % 3)
    if (request === undefined) return
    const grant = { kind: 'grant.given', attemptId: request.attemptId, endpoint: request.endpoint ?? 'e1', url: 'http://e1', fencing: 1, heldMs: 0, startWithinMs: 500, loadStallMs: 0 } as const
    sim.grants.push(grant)
    sim.harness.grant(request.attemptId, grant)
  },
  repeatGrant: (sim: Simulation, pick: number) => {
    const grant = sim.grants[pick % Math.max(1, sim.grants.length)]
    if (grant !== undefined) sim.harness.grant(grant.attemptId, grant)
  },
  refuse: (sim: Simulation, pick: number) => {
    const requests = sim.harness.listSent('grant.ask')
    const request = requests[pick % Math.max(1, requests.length)]
    if (request !== undefined) sim.harness.refuse(request.attemptId, 'full', request.endpoint)
  },
  deliver: (sim: Simulation) => {
    const event = sim.inFlight.shift()
    if (event !== undefined) sim.harness.receiveAttempt(event)
  },
  deliverAny: (sim: Simulation, pick: number) => {
    const [event] = sim.inFlight.splice(pick % Math.max(1, sim.inFlight.length), 1)
    if (event !== undefined) sim.harness.receiveAttempt(event)
  },
  repeat: (sim: Simulation, pick: number) => {
    const event = sim.inFlight[pick % Math.max(1, sim.inFlight.length)]
    if (event !== undefined) sim.harness.receiveAttempt(event)
  },
  misdirect: (sim: Simulation, pick: number) => {
    const event = sim.inFlight[pick % Math.max(1, sim.inFlight.length)]
    const starts = sim.harness.list('attempt.start')
    const other = starts[pick % Math.max(1, starts.length)]
    if (event !== undefined && event.kind !== 'attempt.failed' && other !== undefined) sim.harness.receiveAttempt({ ...event, attemptId: other.attemptId })
  },
  answerTake,
  answerFinish: (sim: Simulation) => answerFinish(sim),
  advance: (sim: Simulation, pick: number) => { sim.harness.advance(pick * pick) },
  disconnect: (sim: Simulation, pick: number) => {
    const ids = [...sim.submitted.keys()]
    const requestId = ids[pick % Math.max(1, ids.length)]
    if (requestId !== undefined) sim.harness.requests.receiveCallerGone(requestId, sim.harness.getContext())
  },
  pause: (sim: Simulation) => { sim.harness.requests.handlePause(sim.harness.getContext()) },
  stop: (sim: Simulation, pick: number) => { if (pick === 0) sim.harness.requests.beginShutdown(sim.harness.getContext()) }
} as const

function runSteps (steps: readonly Step[]): Observations & { readonly sim: Simulation } {
  const harness = createHarness()
  harness.endpoints.set('e2', createEndpoint({ endpoint: 'e2' }))
  const sim: Simulation = { harness, submitted: new Map(), received: [], inFlight: [], claims: new Map(), grants: [], seenStarts: 0, next: 1 }
  for (const [action, pick] of steps) {
    ACTIONS[action](sim, pick)
    runEngines(sim, pick)
  }
  return { submitted: sim.submitted, received: sim.received, outputs: harness.outputs, sim }
}

const stepArbitrary = fc.tuple(fc.constantFrom(...Object.keys(ACTIONS) as (keyof typeof ACTIONS)[]), fc.nat({ max: 60 }))

describe('any order of events', () => {
  it('gives callers their own complete answers and correct refusals, and dispatches non-idempotent work at most once', () => {
    const property = fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 160 }), steps => {
      expect(findViolations(runSteps(steps))).toEqual([])
    })
    fc.assert(property, { seed: 1, numRuns: 400 })
  })

  it('ends every request by its deadline, and leaves no active requests', () => {
    const property = fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 80 }), steps => {
      const { sim } = runSteps(steps)
      sim.harness.advance(140_000)
      const { takes, finishes } = sim.harness
      while (takes.length + finishes.length > 0) {
        if (takes.length > 0) sim.harness.answerTake({ kind: 'unknown' } as never)
        else answerFinish(sim)
        sim.harness.advance(1_000)
      }
      expect(sim.harness.requests.getActiveCount()).toEqual(0)
      const disconnected = new Set(steps.filter(([action]) => action === 'disconnect').length > 0 ? sim.submitted.keys() : [])
      const answered = new Set(sim.harness.outputs.flatMap(output => output.kind === 'caller.end' || output.kind === 'caller.fail' ? [output.requestId] : []))
      expect([...sim.submitted.keys()].filter(requestId => !answered.has(requestId) && !disconnected.has(requestId))).toEqual([])
    })
    fc.assert(property, { seed: 2, numRuns: 100 })
  })
})

describe('the checker', () => {
  it('detects a part of another answer, a false report of not run, and a second dispatch', () => {
    const start = (attemptId: string, requestId: string): never => ({ kind: 'attempt.start', attemptId, requestId }) as never
    const request = (requestId: string): CallerRequest => ({ requestId, idempotent: false, claimKey: 'k' }) as CallerRequest
    const violations = findViolations({
      submitted: new Map([['r1', request('r1')], ['r2', request('r2')]]),
      received: ['r1.1', 'r2.1'],
      outputs: [
        start('r1.1', 'r1'),
        start('r2.1', 'r2'),
        { kind: 'caller.chunk', requestId: 'r1', data: buildPart('r2', 0) },
        { kind: 'caller.fail', requestId: 'r2', failure: { code: 'ERR_CATKINFERRY_DEADLINE', message: '', step: '', ran: 'no' } }
      ]
    })
    expect(violations.length).toEqual(3)
  })
})
