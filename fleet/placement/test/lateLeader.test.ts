/**
 * Guards against an overload of the leader that outlives its cause. While its event loop turns late, responses of engines come after
 * the time limits of their orders. Each such order kept its slot from use for as long as an order without a response may be executed,
 * also when the engine had confirmed it; so few slots were left that loads did not come back.
 */
import { createRandom } from '@catkinferry/core.random'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { buildLoadRequest, createFakeEngines } from './fakeEngines.ts'
import type { FakeEngines } from './fakeEngines.ts'

const REQUEST_INTERVAL_MS = 30
/** Share of orders whose responses come too late. */
const LATE_SHARE = 0.5

let nextAdapter = 0

/** Asks for another adapter at each interval, and counts the requests that are granted meanwhile. */
function countGranted (fleet: FakeEngines, ms: number): number {
  const countSent = (): number => fleet.sent.filter(({ message }) => message.kind === 'load.given').length
  const before = countSent()
  for (const end = fleet.getNow() + ms; fleet.getNow() < end;) {
    fleet.receive(buildLoadRequest(`a${nextAdapter++}`, { remainingMs: 1_500 }))
    fleet.runFor(REQUEST_INTERVAL_MS)
  }
  return countSent() - before
}

describe('adapter loads of a leader that was late', () => {
  it('come back to their rate as soon as responses are read in time again', () => {
    const fleet = createFakeEngines({ ids: ['e1', 'e2', 'e3', 'e4'], slots: 6, modelLoadsPerSecond: 8 })
    fleet.runFor(1_000)
    countGranted(fleet, 1_500)
    const before = countGranted(fleet, 1_500)
    const random = createRandom(1)
    fleet.setOrderHandling(() => random.nextFraction() < LATE_SHARE ? 'answeredLate' : 'now')
    countGranted(fleet, 3_000)
    fleet.setOrderHandling(() => 'now')
    countGranted(fleet, 1_000)
    const after = countGranted(fleet, 1_500)
    // Nine in ten of the rate of before: a request more or less falls into the window.
    expect([after >= 0.9 * before, fleet.overfilled]).toEqual([true, []])
  })

  it('are not begun on a second engine once the first has accepted the repeated order', () => {
    const fleet = createFakeEngines({ ids: ['e1', 'e2'], slots: 4, loadMs: 2_000 })
    fleet.runFor(1_000)
    let isLost = true
    fleet.setOrderHandling((_order, endpoint) => {
      if (endpoint === 'e2') return fleet.getNow() < 2_000 ? 'busy' : 'now'
      const handling = isLost ? 'lost' : 'now'
      isLost = false
      return handling
    })
    fleet.receive(buildLoadRequest('a', { remainingMs: 5_000 }))
    fleet.runFor(4_000)
    expect([...fleet.engines.values()].map(({ resident }) => [...resident.keys()])).toEqual([['a'], []])
  })

  // Guards against requests of entry hosts that count as several callers, and get several engines, because the leader has not answered yet.
  it('are not begun on more engines because a host sends its request again', () => {
    const fleet = createFakeEngines({ ids: ['e1', 'e2', 'e3'], slots: 4, loadMs: 3_000 })
    fleet.runFor(1_000)
    const request = buildLoadRequest('a', { remainingMs: 6_000 })
    for (let count = 0; count < 5; count += 1) {
      fleet.receive(request)
      fleet.runFor(700)
    }
    fleet.runFor(1_000)
    expect([...fleet.engines.values()].map(({ resident, loading }) => resident.size + loading.size)).toEqual([1, 0, 0])
    expect(fleet.sent.filter(({ message }) => message.kind === 'load.given').length).toEqual(1)
  })

  for (const seed of Array.from({ length: 20 }, (_, index) => index + 1)) {
    it(`never overfill an engine while some orders are answered late, and others are lost or executed late (seed ${seed})`, () => {
      const random = createRandom(seed)
      const fleet = createFakeEngines({ ids: ['e1', 'e2', 'e3'], slots: 4, lateMs: 1_500 + random.nextInt(0, 8_000), takeoverDelayMs: 500 })
      fleet.setOrderHandling(() => {
        const draw = random.nextFraction()
        if (draw < 0.1) return 'late'
        if (draw < 0.15) return 'lost'
        return draw < 0.5 ? 'answeredLate' : 'now'
      })
      fleet.runFor(1_000)
      let term = 1
      for (let step = 0; step < 100; step += 1) {
        for (let count = 0; count < 2; count += 1) fleet.receive(buildLoadRequest(`a${random.nextInt(0, 25)}`))
        if (random.nextFraction() < 0.02) fleet.restart(`e${random.nextInt(1, 3)}`)
        if (random.nextFraction() < 0.03) fleet.setVersion(`a${random.nextInt(0, 25)}`, 2 + step)
        if (random.nextFraction() < 0.02) fleet.setTerm(++term)
        fleet.runFor(random.nextInt(20, 200))
      }
      expect(fleet.overfilled).toEqual([])
    })
  }
})

/** Guards against an engine that crashes since it is ordered to load more than it holds: the slot of a load that it had accepted was given to another one. */
describe('the slot of a load that the engine has accepted', () => {
  const LOAD_MS = 3_500
  const LATE_ANSWER_MS = 150
  const CASES = [
    ['is refused as busy once the response to the first one has come late', ['answeredLate', 'busy', 'busy']],
    ['cannot be sent once the response to the first one has come late', ['answeredLate', 'busy', 'unreachable']],
    ['cannot be sent once the response to the first one has come in time', ['now', 'unreachable']]
  ] as const

  for (const [name, handlings] of CASES) {
    it(`is not given to another load if the repeated order ${name}`, () => {
      const fleet = createFakeEngines({ ids: ['e1'], slots: 2, loadMs: LOAD_MS, lateAnswerMs: LATE_ANSWER_MS })
      fleet.runFor(3_000)
      const left = [...handlings]
      fleet.setOrderHandling(({ adapter }) => (adapter === 'a' ? left.shift() : undefined) ?? 'now')
      fleet.receive(buildLoadRequest('a', { remainingMs: 300 }))
      fleet.runFor(400)
      for (let step = 0; step < 40; step += 1) {
        fleet.receive(buildLoadRequest(`b${step % 2}`))
        fleet.runFor(100)
      }
      expect([left, fleet.overfilled]).toEqual([[], []])
    })
  }
})

describe('an order that waits for a connection', () => {
  // Guards against orders of a leader that may have a successor by the time they can be sent.
  it('may be sent only as long as a majority answers the leader, and in its term', () => {
    const fleet = createFakeEngines({ ids: ['e1'], slots: 2 })
    fleet.runFor(1_000)
    fleet.receive(buildLoadRequest('a'))
    fleet.runFor(20)
    const check = (): unknown => fleet.orderChecks.at(-1)?.(fleet.getNow())
    const leading = check()
    fleet.setQuorum(false)
    const unanswered = check()
    fleet.setQuorum(true)
    fleet.setTerm(3)
    fleet.runFor(20)
    expect([fleet.orderChecks.length > 0, leading, unanswered, check()]).toEqual([true, true, false, false])
  })
})
