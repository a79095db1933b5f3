/** What the oracle remembers of the observations. */
import type { Observation } from './observations.ts'

type Seen<Kind extends Observation['kind']> = Extract<Observation, { kind: Kind }>

interface RunningRow {
  readonly endpoint: string
  readonly adapterKey: string
  readonly token: string
}

export interface OracleState {
  readonly submissions: Map<string, Seen<'submitted'>>
  readonly heads: Map<string, Seen<'head'>>
  readonly answers: Map<string, string>
  readonly settled: Set<string>
  readonly notRun: Set<string>
  readonly runTokens: Set<string>
  readonly runsByContent: Map<string, number>
  readonly running: Map<string, RunningRow>
  readonly leaving: Map<string, number>
  readonly accepted: Array<Seen<'changeAccepted'>>
  /** Last revision of each host while it was ready, and the life in which it was seen. */
  readonly revisions: Map<string, { readonly revision: number, readonly life: number }>
}

/** Creates an empty memory. */
export function createOracleState (): OracleState {
  return {
    submissions: new Map(),
    heads: new Map(),
    answers: new Map(),
    settled: new Set(),
    notRun: new Set(),
    runTokens: new Set(),
    runsByContent: new Map(),
    running: new Map(),
    leaving: new Map(),
    accepted: [],
    revisions: new Map()
  }
}

type Recorder<Kind extends Observation['kind']> = (state: OracleState, seen: Seen<Kind>) => void

/** Recorded before the check of the same observation. */
export const recordersBefore: { readonly [Kind in Observation['kind']]?: Recorder<Kind> } = {
  submitted: (state, seen) => { state.submissions.set(seen.token, seen) },
  head: (state, seen) => { state.heads.set(seen.token, seen) },
  chunk: (state, seen) => { state.answers.set(seen.token, (state.answers.get(seen.token) ?? '') + seen.data) },
  ended: (state, seen) => { state.settled.add(seen.token) },
  failed: (state, seen) => {
    state.settled.add(seen.token)
    if (seen.ran === 'no') state.notRun.add(seen.token)
  },
  abandoned: (state, seen) => { state.settled.add(seen.token) },
  runStarted: (state, seen) => {
    state.runTokens.add(seen.token)
    state.running.set(seen.run, { endpoint: seen.endpoint, adapterKey: `${seen.adapter}@${seen.version}`, token: seen.token })
    state.runsByContent.set(seen.content, (state.runsByContent.get(seen.content) ?? 0) + 1)
  },
  runEnded: (state, seen) => { state.running.delete(seen.run) },
  endpointLeaving: (state, seen) => { state.leaving.set(seen.endpoint, seen.at) },
  changeAccepted: (state, seen) => { state.accepted.push(seen) }
}

/** Recorded after the check of the same observation. */
export const recordersAfter: { readonly [Kind in Observation['kind']]?: Recorder<Kind> } = {
  hostRevision: (state, seen) => { if (seen.ready) state.revisions.set(seen.host, { revision: seen.revision, life: seen.life }) }
}
