/** Runs cells of the fault matrix: a protocol step with one fault, or with two faults at the same moment. */
import { SMALL_DEPLOYMENT } from '@catkinferry/testing.network'
import { matrixFaults } from './matrixFaults.ts'
import type { MatrixFault } from './matrixFaults.ts'
import { matrixSteps } from './matrixSteps.ts'
import type { MatrixStep } from './matrixSteps.ts'
import { finishRun } from './runActions.ts'
import { createWorld } from './world.ts'

/** Time within which the step is expected; the cell counts as 'not seen' if it never occurs. */
const STEP_TIMEOUT_MS = 10_000
/** Time that passes after the wait for the step, before all faults are ended. */
const FAULT_DURATION_MS = 25_000

export interface CellVerdict {
  readonly step: string
  readonly faults: readonly string[]
  readonly seed: number
  readonly result: 'passed' | 'failed' | 'not seen'
  readonly violations: readonly string[]
  readonly log: readonly string[]
}

/** Runs one cell: injects the faults at the first output that is the step, then checks safety and liveness. */
export function runCell (opts: { seed: number, step: MatrixStep, faults: readonly MatrixFault[], checksFencing?: boolean }): CellVerdict {
  const { seed, step, faults } = opts
  const world = createWorld({ seed, shape: { ...SMALL_DEPLOYMENT, checksFencing: opts.checksFencing ?? false } })
  const { cluster } = world
  let triggered = false
  cluster.setOnOutput((host, output) => {
    if (triggered || !step.isTrigger(output)) return
    triggered = true
    cluster.setOnOutput(undefined)
    for (const fault of faults) fault.apply(world, host)
  })
  step.begin(world)
  cluster.runFor(STEP_TIMEOUT_MS)
  cluster.runFor(FAULT_DURATION_MS)
  const { violations, log } = finishRun(world)
  const result = violations.length > 0 ? 'failed' : triggered ? 'passed' : 'not seen'
  return { step: step.name, faults: faults.map(({ name }) => name), seed, result, violations, log }
}

/** Lists a cell for each step and fault. */
export function listSingleCells (): Array<{ readonly step: MatrixStep, readonly faults: readonly MatrixFault[] }> {
  return matrixSteps.flatMap(step => matrixFaults.map(fault => ({ step, faults: [fault] })))
}

/** Lists a cell for each step and pair of different faults. */
export function listPairCells (): Array<{ readonly step: MatrixStep, readonly faults: readonly MatrixFault[] }> {
  return matrixSteps.flatMap(step => matrixFaults.flatMap((first, index) =>
    matrixFaults.slice(index + 1).map(second => ({ step, faults: [first, second] }))))
}
