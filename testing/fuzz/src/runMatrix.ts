/** Runs cells of the fault matrix: one step with one fault, or with two at the same moment. */
import { SMALL_DEPLOYMENT } from '@catkinferry/testing.network'
import { matrixFaults } from './matrixFaults.ts'
import type { MatrixFault } from './matrixFaults.ts'
import { matrixSteps } from './matrixSteps.ts'
import type { MatrixStep } from './matrixSteps.ts'
import { finishRun } from './runActions.ts'
import { createWorld } from './world.ts'

/** A step that was not seen within this is not applicable to the cell. */
const MOMENT_LIMIT_MS = 10_000
const FAULT_TIME_MS = 25_000

export interface CellVerdict {
  readonly step: string
  readonly faults: readonly string[]
  readonly seed: number
  readonly result: 'passed' | 'failed' | 'not seen'
  readonly violations: readonly string[]
  readonly log: readonly string[]
}

/** Runs one cell. */
export function runCell (opts: { seed: number, step: MatrixStep, faults: readonly MatrixFault[], checksFencing?: boolean }): CellVerdict {
  const { seed, step, faults } = opts
  const world = createWorld({ seed, shape: { ...SMALL_DEPLOYMENT, checksFencing: opts.checksFencing ?? false } })
  const { cluster } = world
  let seen = false
  cluster.setOnOutput((host, output) => {
    if (seen || !step.isMoment(output)) return
    seen = true
    cluster.setOnOutput(undefined)
    for (const fault of faults) fault.apply(world, host)
  })
  step.begin(world)
  cluster.runFor(MOMENT_LIMIT_MS)
  cluster.runFor(FAULT_TIME_MS)
  const { violations, log } = finishRun(world)
  const result = violations.length > 0 ? 'failed' : seen ? 'passed' : 'not seen'
  return { step: step.name, faults: faults.map(({ name }) => name), seed, result, violations, log }
}

/** All single cells, step by step. */
export function listSingleCells (): Array<{ readonly step: MatrixStep, readonly faults: readonly MatrixFault[] }> {
  return matrixSteps.flatMap(step => matrixFaults.map(fault => ({ step, faults: [fault] })))
}

/** All pairs of different faults at the same step. */
export function listPairCells (): Array<{ readonly step: MatrixStep, readonly faults: readonly MatrixFault[] }> {
  return matrixSteps.flatMap(step => matrixFaults.flatMap((first, index) =>
    matrixFaults.slice(index + 1).map(second => ({ step, faults: [first, second] }))))
}
