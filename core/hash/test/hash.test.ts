import { describe, it } from 'node:test'
import { expect } from 'earl'
import { computeWeight, hashText } from '../src/index.ts'

const NODES = Array.from({ length: 8 }, (_, index) => `zone-a-e${index}`)

function findHeaviest (key: string, nodes: readonly string[]): string {
  const getWeight = (node: string): number => computeWeight(hashText(key), hashText(node))
  return nodes.reduce((best, node) => getWeight(node) > getWeight(best) ? node : best)
}

describe('computeWeight', () => {
  it('spreads keys evenly over nodes with similar names', () => {
    const counts = new Map(NODES.map(node => [node, 0]))
    for (let number = 0; number < 8_000; number += 1) {
      const node = findHeaviest(`adapter-${number}@v1`, NODES)
      counts.set(node, (counts.get(node) ?? 0) + 1)
    }
    expect([...counts.values()].every(count => count > 850 && count < 1_150)).toEqual(true)
  })

  it('moves only the keys of a removed node', () => {
    const remaining = NODES.slice(1)
    for (let number = 0; number < 500; number += 1) {
      const key = `adapter-${number}@v1`
      const before = findHeaviest(key, NODES)
      if (before !== NODES[0]) expect(findHeaviest(key, remaining)).toEqual(before)
    }
  })
})
