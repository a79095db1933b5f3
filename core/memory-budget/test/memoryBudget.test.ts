import { createMemoryBudget, MemoryLimit } from '@catkinferry/core.memory-budget'
import type { MemoryHolding } from '@catkinferry/core.memory-budget'
import { expect } from 'earl'
import fc from 'fast-check'
import { describe, it } from 'node:test'

const ignoreEviction = (): void => undefined

// Guards against a process that runs out of memory although each message that it reads keeps its own limit.
describe('createMemoryBudget', () => {
  it('refuses what exceeds the limit of an owner, and gives back what the refused message held', () => {
    const budget = createMemoryBudget({ maxBytes: 100, maxOwnerBytes: 40 })
    const first = budget.open('a', ignoreEviction)
    const second = budget.open('a', ignoreEviction)
    expect([first.add(30), second.add(10), second.add(1)]).toEqual([undefined, undefined, MemoryLimit.OWNER])
    expect([budget.getOwnerBytes('a'), second.add(1)]).toEqual([30, MemoryLimit.TOTAL])
  })

  it('evicts the largest message of the owner that holds most once the total is used up', () => {
    const evicted: string[] = []
    const budget = createMemoryBudget({ maxBytes: 100, maxOwnerBytes: 90 })
    for (const [name, bytes] of [['large', 60], ['small', 25]] as const) budget.open('faulty', () => evicted.push(name)).add(bytes)
    expect(budget.open('sound', ignoreEviction).add(20)).toEqual(undefined)
    expect([evicted, budget.getHeldBytes(), budget.getEvictedCount()]).toEqual([['large'], 45, 1])
  })

  it('holds nothing for a message that was released while another gave way to it', () => {
    const budget = createMemoryBudget({ maxBytes: 100, maxOwnerBytes: 90 })
    const holding = budget.open('sound', ignoreEviction)
    budget.open('faulty', holding.release).add(80)
    expect([holding.add(30), budget.getHeldBytes()]).toEqual([MemoryLimit.TOTAL, 0])
  })

  it('refuses the owner that would hold most itself', () => {
    const budget = createMemoryBudget({ maxBytes: 100, maxOwnerBytes: 100 })
    budget.open('sound', ignoreEviction).add(30)
    const faulty = budget.open('faulty', ignoreEviction)
    expect([faulty.add(60), faulty.add(20), budget.getOwnerBytes('sound')]).toEqual([undefined, MemoryLimit.TOTAL, 30])
  })

  it('keeps its limits and its sums in any order of calls', () => {
    const step = fc.record({ at: fc.nat(7), kind: fc.constantFrom('add', 'trim', 'release'), bytes: fc.nat(60) })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
      const budget = createMemoryBudget({ maxBytes: 100, maxOwnerBytes: 60 })
      const held = new Map<number, { holding: MemoryHolding, bytes: number }>()
      for (const { at, kind, bytes } of steps) {
        const entry = held.get(at) ?? { holding: budget.open(`owner ${at % 3}`, () => held.delete(at)), bytes: 0 }
        held.set(at, entry)
        if (kind === 'add' && entry.holding.add(bytes) === undefined) entry.bytes += bytes
        else if (kind === 'trim') {
          entry.holding.trim(bytes)
          entry.bytes -= Math.min(bytes, entry.bytes)
        } else {
          entry.holding.release()
          held.delete(at)
        }
        const sums = [0, 1, 2].map(owner => [...held].filter(([key]) => key % 3 === owner).reduce((sum, [, { bytes: size }]) => sum + size, 0))
        expect([0, 1, 2].map(owner => budget.getOwnerBytes(`owner ${owner}`))).toEqual(sums)
        expect(budget.getHeldBytes()).toEqual(sums.reduce((sum, size) => sum + size, 0))
        if (budget.getHeldBytes() > 100 || sums.some(size => size > 60)) throw new Error('over a limit')
      }
    }), { numRuns: 300, seed: 1 })
  })
})
