/** Invariant checks of the oracle. Each check returns the text of a violation, or undefined. */
import type { Observation } from './observations.ts'
import type { OracleState } from './oracleState.ts'

/** Time after the start of leaving during which an endpoint may still receive new work. */
const LEAVING_LIMIT_MS = 5_000
/** Time within which an accepted change must be in force on a host that can reach all others. */
const IN_FORCE_LIMIT_MS = 8_000

type Check<Kind extends Observation['kind']> = (observation: Extract<Observation, { kind: Kind }>, state: OracleState) => string | undefined

/** Builds the exact answer of a fake endpoint to a content, split into parts. */
export function buildExpectedAnswer (content: string, adapter: string | undefined, version: string | undefined, parts: number): string[] {
  return Array.from({ length: parts }, (_, part) => `${content}|${adapter ?? 'service'}@${version ?? ''}|${part};`)
}

/** Number of parts in each answer of the simulated endpoints. */
export const ANSWER_PARTS = 3

const checkRunStarted: Check<'runStarted'> = (observation, state) => {
  const submission = state.submissions.get(observation.token)
  if (submission === undefined) return `${observation.endpoint} ran a token that was never submitted: ${observation.token}`
  if (submission.adapter !== observation.adapter) return `${observation.token} requested adapter ${submission.adapter} but ran on ${observation.adapter}`
  if (submission.version !== undefined && submission.version !== observation.version) return `${observation.token} requested version ${submission.version} but ran on ${observation.version}`
  if (state.reportedNotRun.has(observation.token)) return `${observation.token} ran after it was reported to its caller as not run`
  const leavingSince = state.leavingSince.get(observation.endpoint)
  if (leavingSince !== undefined && observation.at > leavingSince + LEAVING_LIMIT_MS) return `${observation.endpoint} received new work ${observation.at - leavingSince} ms after it started to leave`
  if (submission.content !== observation.content) return `${observation.token} ran with the body of another submission: ${observation.content}`
  if (submission.idempotent) return undefined
  const runs = state.runsByContent.get(observation.content) ?? 0
  if (runs > 1) return `non-idempotent work ${observation.content} ran ${runs} times`
  return undefined
}

const checkEvicted: Check<'evicted'> = (observation, state) => {
  for (const run of state.running.values()) {
    if (run.endpoint === observation.endpoint && run.adapterKey === observation.adapterKey) return `${observation.endpoint} evicted ${observation.adapterKey} while a request for it was running (${run.token})`
  }
  return undefined
}

const checkFailed: Check<'failed'> = (observation, state) => {
  const submission = state.submissions.get(observation.token)
  if (submission?.caller !== observation.caller) return `${observation.caller} received the failure of ${observation.token}, a submission of another caller`
  if (observation.ran === 'no' && state.startedTokens.has(observation.token)) return `${observation.token} was reported as not run, but it ran`
  return undefined
}

const checkChunk: Check<'chunk'> = (observation, state) => {
  const submission = state.submissions.get(observation.token)
  if (submission?.caller !== observation.caller) return `${observation.caller} received a part of the answer to ${observation.token}, a submission of another caller`
  return undefined
}

const checkEnded: Check<'ended'> = (observation, state) => {
  const submission = state.submissions.get(observation.token)
  if (submission?.caller !== observation.caller) return `${observation.caller} received the end of the answer to ${observation.token}, a submission of another caller`
  const answer = state.answers.get(observation.token) ?? ''
  const head = state.heads.get(observation.token)
  const expected = buildExpectedAnswer(submission.content, submission.adapter, submission.version ?? head?.version, ANSWER_PARTS).join('')
  if (answer !== expected) return `${observation.token} was completed with '${answer}', expected '${expected}'`
  return undefined
}

const checkHostStopped: Check<'hostStopped'> = observation => {
  if (observation.cutTokens.length > 0) return `${observation.host} stopped gracefully but cut the requests ${observation.cutTokens.join(', ')}`
  return undefined
}

const checkHostRevision: Check<'hostRevision'> = (observation, state) => {
  if (!observation.ready) return undefined
  const before = state.revisions.get(observation.host)
  // A restart loses the state in memory. A new process without a connection to the majority can only learn the revision that its zone knows.
  const mayRevert = observation.isolated && before !== undefined && observation.incarnation !== before.incarnation
  if (before !== undefined && observation.revision < before.revision && !mayRevert) {
    return `${observation.host} reverted from revision ${before.revision} to ${observation.revision}`
  }
  if (observation.reachableSince === undefined) return undefined
  for (const change of state.accepted) {
    const due = Math.max(change.at, observation.reachableSince) + IN_FORCE_LIMIT_MS
    if (observation.at > due && observation.revision < change.revision) return `${observation.host} is still at revision ${observation.revision}, ${observation.at - change.at} ms after revision ${change.revision} was accepted`
  }
  return undefined
}

const checkChangeAccepted: Check<'changeAccepted'> = (observation, state) => {
  const first = state.accepted.find(change => change.revision === observation.revision && change.changeId !== observation.changeId)
  if (first === undefined) return undefined
  return `${first.changeId} and ${observation.changeId} were both accepted as revision ${observation.revision}`
}

/** Checks by kind of observation. */
export const checks: { readonly [Kind in Observation['kind']]?: Check<Kind> } = {
  runStarted: checkRunStarted,
  evicted: checkEvicted,
  failed: checkFailed,
  chunk: checkChunk,
  ended: checkEnded,
  hostStopped: checkHostStopped,
  hostRevision: checkHostRevision,
  changeAccepted: checkChangeAccepted
}
