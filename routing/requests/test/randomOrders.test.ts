import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { createRandom } from '@catkinferry/core.random'
import type { CallerRequest } from '@catkinferry/core.types'
import type { AttemptEvent } from '@catkinferry/host.events'
import type { ClaimOutcome, GrantMessage } from '@catkinferry/wire.messages'
import { buildClaimKey } from '../src/claims.ts'
import { buildPart, findBroken, PARTS_PER_ANSWER } from './checker.ts'
import type { World } from './checker.ts'
import { createEcho, createEndpoint, createHarness } from './harness.ts'
import type { Harness } from './harness.ts'

const KEYS = [0, 1, 2].map(seed => buildClaimKey(1_800_000_001_000, createRandom(seed + 1)))

/** One simulated step: an action, and a number that selects what it applies to. */
type Step = readonly [action: keyof typeof ACTIONS, pick: number]

interface Play {
  readonly harness: Harness
  readonly submitted: Map<string, CallerRequest>
  readonly received: string[]
  /** Events that engines sent and the network has not delivered yet; repeats and misdirected copies leave them here. */
  readonly flying: AttemptEvent[]
  readonly claims: Map<string, { attemptId: string, outcome?: ClaimOutcome }>
  readonly givens: Extract<GrantMessage, { kind: 'grant.given' }>[]
  seenStarts: number
  next: number
}

function submit (play: Play, idempotent: boolean, pick: number): void {
  const requestId = `r${play.next}`
  play.next += 1
  play.harness.submit({ requestId, idempotent, claimKey: idempotent ? undefined : KEYS[pick % KEYS.length], deadlineMs: 5_000 + (pick % 7) * 1_000 })
  play.submitted.set(requestId, { requestId, idempotent, claimKey: idempotent ? undefined : KEYS[pick % KEYS.length] } as CallerRequest)
}

/** Lets engines run what was dispatched since the last step. Each answer consists of its request's own parts. */
function runEngines (play: Play, pick: number): void {
  const starts = play.harness.list('attempt.start')
  for (; play.seenStarts < starts.length; play.seenStarts += 1) {
    const start = starts[play.seenStarts]
    if (start === undefined) continue
    const { attemptId, requestId } = start
    if (pick % 5 === 4) {
      play.flying.push({ kind: 'attempt.failed', attemptId, sent: false, failure: { code: 'ERR_CATKINFERRY_LINK_FAILED', message: 'not sent', step: 'attempt' } })
      continue
    }
    play.received.push(attemptId)
    const echo = createEcho(attemptId)
    play.flying.push({ kind: 'attempt.started', attemptId, echo, status: 200 })
    for (let index = 0; index < PARTS_PER_ANSWER; index += 1) {
      play.flying.push({ kind: 'attempt.chunk', attemptId, echo, index, data: buildPart(requestId, index), tokens: 1 })
    }
    if (pick % 7 === 3) play.flying.push({ kind: 'attempt.failed', attemptId, sent: true, failure: { code: 'ERR_CATKINFERRY_STREAM_CUT', message: 'cut', step: 'attempt' } })
    else play.flying.push({ kind: 'attempt.ended', attemptId, echo, chunks: PARTS_PER_ANSWER })
  }
}

function answerTake (play: Play, pick: number): void {
  const take = play.harness.takes[0]
  if (take === undefined) return
  const held = play.claims.get(take.claimKey)
  if (pick % 6 === 5) {
    play.harness.answerTake({ kind: 'unknown' } as never)
    return
  }
  if (held === undefined || held.outcome?.kind === 'notRun') {
    play.claims.set(take.claimKey, { attemptId: take.attemptId })
    play.harness.answerTake({ kind: 'outcome', outcome: { kind: 'claim.taken' } })
    return
  }
  play.harness.answerTake({ kind: 'outcome', outcome: { kind: 'claim.held', ...held, host: 'entry-9', sameFingerprint: true } })
}

function answerFinish (play: Play): void {
  const finish = play.harness.finishes[0]
  if (finish === undefined) return
  const held = play.claims.get(finish.claimKey)
  if (held?.attemptId === finish.attemptId) held.outcome ??= finish.outcome
  play.harness.answerFinish()
}

const ACTIONS = {
  submit: (play: Play, pick: number) => submit(play, true, pick),
  file: (play: Play, pick: number) => submit(play, false, pick),
  give: (play: Play, pick: number) => {
    const ask = play.harness.listSent('grant.ask').at(-1 - pick % 3)
    if (ask === undefined) return
    const given = { kind: 'grant.given', attemptId: ask.attemptId, endpoint: ask.endpoint ?? 'e1', url: 'http://e1', fencing: 1, heldMs: 0, startWithinMs: 500, loadStallMs: 0 } as const
    play.givens.push(given)
    play.harness.give(ask.attemptId, given)
  },
  giveAgain: (play: Play, pick: number) => {
    const given = play.givens[pick % Math.max(1, play.givens.length)]
    if (given !== undefined) play.harness.give(given.attemptId, given)
  },
  refuse: (play: Play, pick: number) => {
    const asks = play.harness.listSent('grant.ask')
    const ask = asks[pick % Math.max(1, asks.length)]
    if (ask !== undefined) play.harness.refuse(ask.attemptId, 'full', ask.endpoint)
  },
  deliver: (play: Play) => {
    const event = play.flying.shift()
    if (event !== undefined) play.harness.event(event)
  },
  deliverAny: (play: Play, pick: number) => {
    const [event] = play.flying.splice(pick % Math.max(1, play.flying.length), 1)
    if (event !== undefined) play.harness.event(event)
  },
  repeat: (play: Play, pick: number) => {
    const event = play.flying[pick % Math.max(1, play.flying.length)]
    if (event !== undefined) play.harness.event(event)
  },
  cross: (play: Play, pick: number) => {
    const event = play.flying[pick % Math.max(1, play.flying.length)]
    const starts = play.harness.list('attempt.start')
    const other = starts[pick % Math.max(1, starts.length)]
    if (event !== undefined && event.kind !== 'attempt.failed' && other !== undefined) play.harness.event({ ...event, attemptId: other.attemptId })
  },
  answerTake,
  answerFinish: (play: Play) => answerFinish(play),
  advance: (play: Play, pick: number) => { play.harness.advance(pick * pick) },
  leave: (play: Play, pick: number) => {
    const ids = [...play.submitted.keys()]
    const requestId = ids[pick % Math.max(1, ids.length)]
    if (requestId !== undefined) play.harness.requests.receiveGone(requestId, play.harness.getContext())
  },
  pause: (play: Play) => { play.harness.requests.notePause(play.harness.getContext()) },
  stop: (play: Play, pick: number) => { if (pick === 0) play.harness.requests.beginShutdown(play.harness.getContext()) }
} as const

function playSteps (steps: readonly Step[]): World & { readonly play: Play } {
  const harness = createHarness()
  harness.endpoints.set('e2', createEndpoint({ endpoint: 'e2' }))
  const play: Play = { harness, submitted: new Map(), received: [], flying: [], claims: new Map(), givens: [], seenStarts: 0, next: 1 }
  for (const [action, pick] of steps) {
    ACTIONS[action](play, pick)
    runEngines(play, pick)
  }
  return { submitted: play.submitted, received: play.received, outputs: harness.outputs, play }
}

const stepArbitrary = fc.tuple(fc.constantFrom(...Object.keys(ACTIONS) as (keyof typeof ACTIONS)[]), fc.nat({ max: 60 }))

describe('any order of events', () => {
  it('gives callers their own complete answers and correct refusals, and dispatches non-idempotent work at most once', () => {
    const property = fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 160 }), steps => {
      expect(findBroken(playSteps(steps))).toEqual([])
    })
    fc.assert(property, { seed: 1, numRuns: 400 })
  })

  it('ends every request by its deadline, and leaves no active requests', () => {
    const property = fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 80 }), steps => {
      const { play } = playSteps(steps)
      play.harness.advance(140_000)
      const { takes, finishes } = play.harness
      while (takes.length + finishes.length > 0) {
        if (takes.length > 0) play.harness.answerTake({ kind: 'unknown' } as never)
        else answerFinish(play)
        play.harness.advance(1_000)
      }
      expect(play.harness.requests.getActiveCount()).toEqual(0)
      const gone = new Set(steps.filter(([action]) => action === 'leave').length > 0 ? play.submitted.keys() : [])
      const answered = new Set(play.harness.outputs.flatMap(output => output.kind === 'caller.end' || output.kind === 'caller.fail' ? [output.requestId] : []))
      expect([...play.submitted.keys()].filter(requestId => !answered.has(requestId) && !gone.has(requestId))).toEqual([])
    })
    fc.assert(property, { seed: 2, numRuns: 100 })
  })
})

describe('the checker', () => {
  it('detects a part of another answer, a false report of not run, and a second dispatch', () => {
    const start = (attemptId: string, requestId: string): never => ({ kind: 'attempt.start', attemptId, requestId }) as never
    const request = (requestId: string): CallerRequest => ({ requestId, idempotent: false, claimKey: 'k' }) as CallerRequest
    const broken = findBroken({
      submitted: new Map([['r1', request('r1')], ['r2', request('r2')]]),
      received: ['r1.1', 'r2.1'],
      outputs: [
        start('r1.1', 'r1'),
        start('r2.1', 'r2'),
        { kind: 'caller.chunk', requestId: 'r1', data: buildPart('r2', 0) },
        { kind: 'caller.fail', requestId: 'r2', failure: { code: 'ERR_CATKINFERRY_DEADLINE', message: '', step: '', ran: 'no' } }
      ]
    })
    expect(broken.length).toEqual(3)
  })
})
