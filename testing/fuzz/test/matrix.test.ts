import { expect } from 'earl'
import { describe, it } from 'node:test'
import { listSingleCells, runCell } from '../src/runMatrix.ts'

const SEED = 1

describe('fault matrix', () => {
  for (const cell of listSingleCells()) {
    it(`finds no violation at step '${cell.step.name}' with fault '${cell.faults.map(({ name }) => name).join(' and ')}'`, () => {
      expect(runCell({ seed: SEED, ...cell }).violations).toEqual([])
    })
  }
})
