import { expect } from 'earl'
import { describe, it } from 'node:test'
import { listSingleCells, runCell } from '../src/runMatrix.ts'

const SEED = 1

describe('the fault matrix', () => {
  for (const cell of listSingleCells()) {
    it(`holds at the step '${cell.step.name}' when ${cell.faults.map(({ name }) => name).join(' and ')}`, () => {
      expect(runCell({ seed: SEED, ...cell }).violations).toEqual([])
    })
  }
})
