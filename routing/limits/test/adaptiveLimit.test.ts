import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createAdaptiveLimit } from '../src/index.ts'

describe('createAdaptiveLimit', () => {
  it('decreases once for a burst of late answers and recovers with answers in time', () => {
    const limit = createAdaptiveLimit(10)
    for (let number = 0; number < 20; number += 1) limit.recordFirstByte({ now: 0, firstByteMs: 50, inFlight: 1 })
    for (let number = 0; number < 5; number += 1) limit.recordFirstByte({ now: 2_000, firstByteMs: 900, inFlight: 10 })
    expect(limit.getLimit()).toEqual(7)
    for (let number = 0; number < 40; number += 1) limit.recordFirstByte({ now: 3_000, firstByteMs: 50, inFlight: 10 })
    expect(limit.getLimit()).toEqual(10)
  })

  it('never drops below one, and follows its ceiling', () => {
    const limit = createAdaptiveLimit(4)
    for (let second = 0; second < 20; second += 1) limit.recordOverload(second * 1_000)
    expect(limit.getLimit()).toEqual(1)
    const full = createAdaptiveLimit(4)
    full.setCeiling(8)
    expect(full.getLimit()).toEqual(8)
  })
})
