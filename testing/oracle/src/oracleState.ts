/** State that the oracle derives from the observations, and the functions that update it. */
import type { Observation } from './observations.ts'

type ObservationOf<Kind extends Observation['kind']> = Extract<Observation, { kind: Kind }>

interface RunningRow {
  readonly endpoint: string
  readonly adapterKey: string
  readonly token: string
}

export interface OracleState {
  readonly submissions: Map<string, ObservationOf<'submitted'>>
  readonly heads: Map<string, ObservationOf<'head'>>
  readonly answers: Map<string, string>
  readonly settled: Set<string>
  readonly reportedNotRun: Set<string>
  readonly startedTokens: Set<string>
  readonly runsByContent: Map<string, number>
  readonly running: Map<string, RunningRow>
  readonly leavingSince: Map<string, number>
  readonly accepted: Array<ObservationOf<'changeAccepted'>>
  /** Last revision of each host while it was ready, and the incarnation (start of the process) in which it was observed. */
  readonly revisions: Map<string, { readonly revision: number, readonly incarnation: number }>
}

export function createOracleState (): OracleState {
  return {
    submissions: new Map(),
    heads: new Map(),
    answers: new Map(),
    settled: new Set(),
    reportedNotRun: new Set(),
    startedTokens: new Set(),
    runsByContent: new Map(),
    running: new Map(),
    leavingSince: new Map(),
    accepted: [],
    revisions: new Map()
  }
}

type Recorder<Kind extends Observation['kind']> = (state: OracleState, observation: ObservationOf<Kind>) => void

/** State updates before the check of the same observation. */
export const recordersBeforeCheck: { readonly [Kind in Observation['kind']]?: Recorder<Kind> } = {
  submitted: (state, observation) => { state.submissions.set(observation.token, observation) },
  head: (state, observation) => { state.heads.set(observation.token, observation) },
  chunk: (state, observation) => { state.answers.set(observation.token, (state.answers.get(observation.token) ?? '') + observation.data) },
  ended: (state, observation) => { state.settled.add(observation.token) },
  failed: (state, observation) => {
    state.settled.add(observation.token)
    if (observation.ran === 'no') state.reportedNotRun.add(observation.token)
  },
  abandoned: (state, observation) => { state.settled.add(observation.token) },
  runStarted: (state, observation) => {
    state.startedTokens.add(observation.token)
    state.running.set(observation.run, { endpoint: observation.endpoint, adapterKey: `${observation.adapter}@${observation.version}`, token: observation.token })
    state.runsByContent.set(observation.content, (state.runsByContent.get(observation.content) ?? 0) + 1)
  },
  runEnded: (state, observation) => { state.running.delete(observation.run) },
  endpointLeaving: (state, observation) => { state.leavingSince.set(observation.endpoint, observation.at) },
  changeAccepted: (state, observation) => { state.accepted.push(observation) }
}

/** State updates after the check of the same observation; the check compares with the state before it. */
export const recordersAfterCheck: { readonly [Kind in Observation['kind']]?: Recorder<Kind> } = {
  hostRevision: (state, observation) => { if (observation.ready) state.revisions.set(observation.host, { revision: observation.revision, incarnation: observation.incarnation }) }
}
