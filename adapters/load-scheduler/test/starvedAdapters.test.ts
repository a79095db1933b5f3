import { createStarvedAdapters, createStarvedLoadShare } from '@catkinferry/adapters.load-scheduler'
import { expect } from 'earl'
import { describe, it } from 'node:test'

describe('adapters whose callers are refused again and again', () => {
  it('are starved after two refusals and 3 s, or 10 s while no caller can be on time', () => {
    const starved = createStarvedAdapters()
    starved.recordRefusal('once', { now: 0, priority: 1 })
    for (const at of [0, 2_500]) starved.recordRefusal('twice', { now: at, priority: 1 })
    expect([2_999, 3_000].map(now => starved.getStarvedSince('twice', { now, isOnTime: true }))).toEqual([undefined, 0])
    expect([9_999, 10_000].map(now => starved.getStarvedSince('twice', { now, isOnTime: false }))).toEqual([undefined, 0])
    expect(starved.getStarvedSince('once', { now: 20_000, isOnTime: true })).toEqual(undefined)
  })

  it('are forgotten when they are loaded, or are not asked for during a minute', () => {
    const starved = createStarvedAdapters()
    for (const adapterKey of ['loaded', 'idle']) for (const at of [0, 3_000]) starved.recordRefusal(adapterKey, { now: at, priority: 1 })
    expect(starved.recordLoad('loaded')).toEqual(2)
    expect(starved.getStarvedSince('loaded', { now: 5_000, isOnTime: true })).toEqual(undefined)
    expect([63_000, 63_001].map(now => starved.getStarvedSince('idle', { now, isOnTime: true }))).toEqual([0, undefined])
    starved.recordRefusal('other', { now: 63_001, priority: 1 })
    expect(starved.getSize()).toEqual(1)
  })

  // Guards against loads that fail again and again and keep the first place.
  it('wait anew when their load has failed', () => {
    const starved = createStarvedAdapters()
    for (const at of [0, 2_500]) starved.recordRefusal('a', { now: at, priority: 1 })
    starved.recordFailure('a', 4_000)
    expect([6_999, 7_000].map(now => starved.getStarvedSince('a', { now, isOnTime: true }))).toEqual([undefined, 4_000])
  })

  it('are remembered up to 20,000, the least recently refused being forgotten first', () => {
    const starved = createStarvedAdapters()
    for (let index = 0; index < 20_001; index++) for (const at of [0, 1]) starved.recordRefusal(`a${index}`, { now: at, priority: 1 })
    expect(starved.getSize()).toEqual(20_000)
    expect(['a0', 'a1'].map(adapterKey => starved.getStarvedSince(adapterKey, { now: 4_000, isOnTime: true }))).toEqual([undefined, 0])
  })
})

describe('adapters to report as never loaded', () => {
  it('are those refused four times or more over 8 s, with the most urgent priority of their callers', () => {
    const starved = createStarvedAdapters()
    for (const now of [0, 3_000, 6_000, 8_000]) {
      starved.recordRefusal('often', { now, priority: now === 3_000 ? 0 : 2 })
      if (now > 0) starved.recordRefusal('thrice', { now, priority: 1 })
      starved.recordRefusal('briefly', { now: now / 2, priority: 1 })
      starved.recordRefusal('loaded', { now, priority: 1 })
    }
    starved.recordLoad('loaded')
    expect(starved.listUnloaded(9_000)).toEqual([{ adapterKey: 'often', since: 0, refusals: 4, priority: 0 }])
  })
})

describe('the share of loads for starved adapters', () => {
  it('is a quarter of all loads while other callers could use them all', () => {
    const share = createStarvedLoadShare()
    let starvedLoads = 0
    for (let index = 0; index < 1_000; index++) {
      const now = index
      const isStarved = share.isDue()
      if (isStarved) starvedLoads += 1
      share.recordLoad(isStarved, now)
    }
    expect(starvedLoads).toBeGreaterThanOrEqual(245)
    expect(starvedLoads).toBeLessThanOrEqual(255)
  })

  it('is one load for each engine in 5 s where no others can begin, and none if it is switched off', () => {
    const share = createStarvedLoadShare()
    share.recordLoad(true, 0)
    expect([1_249, 1_250].map(now => share.isDueUnused(4, now))).toEqual([false, true])
    expect(share.isDue()).toEqual(false)
    expect(createStarvedLoadShare(0).isDueUnused(4, 60_000)).toEqual(false)
  })
})
