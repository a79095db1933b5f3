/** The oracle: judges observations one by one and shares no code with the product. */
import { checks } from './checks.ts'
import type { Observation } from './observations.ts'
import { createOracleState, recordersAfter, recordersBefore } from './oracleState.ts'

export { ANSWER_PARTS, buildExpectedAnswer } from './checks.ts'
export type { Observation } from './observations.ts'

export interface Violation {
  readonly at: number
  readonly text: string
}

export interface Oracle {
  readonly observe: (seen: Observation) => void
  readonly listViolations: () => readonly Violation[]
  /** Tokens that have neither an answer nor a failure. */
  readonly listUnsettled: () => string[]
  readonly countSubmitted: () => number
  readonly countCompleted: () => number
}

type Handler = (...args: unknown[]) => string | undefined

/** Creates an oracle that has seen nothing. */
export function createOracle (): Oracle {
  const state = createOracleState()
  const violations: Violation[] = []
  let completed = 0

  function callEntry (table: object, kind: string, args: unknown[]): string | undefined {
    const handler = (table as Record<string, Handler | undefined>)[kind]
    return handler?.(...args)
  }

  return {
    observe: seen => {
      callEntry(recordersBefore, seen.kind, [state, seen])
      const text = callEntry(checks, seen.kind, [seen, state])
      if (text !== undefined) violations.push({ at: seen.at, text })
      callEntry(recordersAfter, seen.kind, [state, seen])
      if (seen.kind === 'ended') completed++
    },
    listViolations: () => violations,
    listUnsettled: () => [...state.submissions.keys()].filter(token => !state.settled.has(token)),
    countSubmitted: () => state.submissions.size,
    countCompleted: () => completed
  }
}
