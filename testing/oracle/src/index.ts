/**
 * Test oracle for the simulated deployment: checks each observation against the invariants and collects the violations.
 * Shares no code with the code under test.
 */
import { checks } from './checks.ts'
import type { Observation } from './observations.ts'
import { createOracleState, recordersAfterCheck, recordersBeforeCheck } from './oracleState.ts'

export { ANSWER_PARTS, buildExpectedAnswer } from './checks.ts'
export type { Observation } from './observations.ts'

export interface Violation {
  readonly at: number
  readonly text: string
}

export interface Oracle {
  readonly observe: (observation: Observation) => void
  readonly listViolations: () => readonly Violation[]
  /** Lists the tokens of submissions that have not ended, failed or been abandoned. */
  readonly listUnsettled: () => string[]
  readonly countSubmitted: () => number
  readonly countCompleted: () => number
}

type Handler = (...args: unknown[]) => string | undefined

export function createOracle (): Oracle {
  const state = createOracleState()
  const violations: Violation[] = []
  let completed = 0

  function callHandler (table: object, kind: string, args: unknown[]): string | undefined {
    const handler = (table as Record<string, Handler | undefined>)[kind]
    return handler?.(...args)
  }

  return {
    observe: observation => {
      callHandler(recordersBeforeCheck, observation.kind, [state, observation])
      const text = callHandler(checks, observation.kind, [observation, state])
      if (text !== undefined) violations.push({ at: observation.at, text })
      callHandler(recordersAfterCheck, observation.kind, [state, observation])
      if (observation.kind === 'ended') completed++
    },
    listViolations: () => violations,
    listUnsettled: () => [...state.submissions.keys()].filter(token => !state.settled.has(token)),
    countSubmitted: () => state.submissions.size,
    countCompleted: () => completed
  }
}
