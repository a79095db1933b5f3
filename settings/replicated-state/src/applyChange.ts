/** Applies settings changes to the replicated state. Of two changes that expect the same revision one is accepted, and a resent change gets its first answer again. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import type { NodeChange } from '@catkinferry/core.types'
import { MAX_CHANGE_ID_LENGTH } from '@catkinferry/settings.schema'
import { planChange } from '@catkinferry/settings.tree'
import type { ChangePlan, ChangeRefusal } from '@catkinferry/settings.tree'
import type { Command, CommandOutcome, RevisionDelta } from '@catkinferry/wire.messages'
import { createHash } from 'node:crypto'
import type { AuditEntry, AuditedNode } from './auditTrail.ts'
import type { ChangeAnswer } from './changeAnswers.ts'
import type { StateTables } from './stateTables.ts'

type SettingsChange = Extract<Command, { kind: 'settings.change' }>
type RefusedChange = Extract<Command, { kind: 'audit.refused' }>
type ResolveClaim = Extract<Command, { kind: 'claim.resolve' }>

/** Length of a fingerprint, in base64url characters. */
const FINGERPRINT_LENGTH = 16
/** Longest refused change, in characters of JSON, that is recorded with its values. */
const MAX_AUDITED_CHANGES_LENGTH = 65_536
/** Paths that are recorded of a longer one. */
const MAX_AUDITED_PATHS = 50
/** Characters of each path that are recorded. */
const MAX_AUDITED_PATH_LENGTH = 1_024
const STEP = 'settings.change'

const BAD_CHANGE_ID: Failure = {
  code: ErrorCode.BAD_ARGUMENT, message: `a change id is text of at most ${MAX_CHANGE_ID_LENGTH} characters`, step: STEP, hint: 'nothing was changed'
}

/** Hash of the content of a command, by which a change id that was reused for another change is detected. */
export function computeFingerprint (requested: unknown): string {
  return createHash('sha256').update(JSON.stringify([requested])).digest('base64url').slice(0, FINGERPRINT_LENGTH)
}

/** Lists the nodes of a refused change for the audit trail; of an overlong change only the first paths. */
function describeRequestedNodes (changes: readonly (NodeChange | null | undefined)[]): AuditedNode[] {
  if (!Array.isArray(changes)) return []
  const isLong = JSON.stringify(changes).length > MAX_AUDITED_CHANGES_LENGTH
  const listed = isLong ? changes.slice(0, MAX_AUDITED_PATHS) : changes
  return listed.map(change => {
    const path = String(change?.path).slice(0, MAX_AUDITED_PATH_LENGTH)
    return isLong || change?.remove === true ? { path } : { path, after: change?.values ?? {} }
  })
}

function buildReusedIdFailure (changeId: string): Failure {
  return { code: ErrorCode.BAD_ARGUMENT, message: `the change id ${changeId} was used for another change`, step: STEP, hint: 'nothing was changed; use a new change id' }
}

function buildDroppedDetailsFailure (changeId: string): Failure {
  return { code: ErrorCode.CONFLICT, message: `the change ${changeId} was refused; its details have left the audit trail`, step: STEP }
}

/** Repeats the first answer to a change id, or refuses an id that was used for another change. */
export function repeatAnswer (tables: StateTables, changeId: string, known: ChangeAnswer, fingerprint: string): CommandOutcome {
  if (known.fingerprint !== fingerprint) return { kind: 'settings.refused', failure: buildReusedIdFailure(changeId), repeated: false }
  if (known.result === 'resolved') return { kind: 'claim.resolved' }
  const entry = tables.audit.get(known.sequence)
  if (known.result === 'accepted') return buildAcceptedOutcome(known.revision, entry?.nodes ?? [], true)
  return buildRepeatedRefusal(entry, changeId)
}

function buildAcceptedOutcome (revision: number, nodes: readonly AuditedNode[], repeated: boolean): CommandOutcome {
  return { kind: 'settings.accepted', revision, repeated, nodes: nodes.map(({ path, after }) => ({ path, revision: after === undefined ? 0 : revision })) }
}

function buildRepeatedRefusal (entry: AuditEntry | undefined, changeId: string): CommandOutcome {
  const failure = entry?.failure ?? buildDroppedDetailsFailure(changeId)
  return { kind: 'settings.refused', failure, repeated: true, ...(entry?.current === undefined ? {} : { current: entry.current }) }
}

/** Applies one change; `onDelta` is called with the nodes of an accepted change. */
export function applySettingsChange (tables: StateTables, command: SettingsChange, onDelta: (delta: RevisionDelta) => void): CommandOutcome {
  const { tree, answers } = tables
  if (typeof command.changeId !== 'string' || command.changeId.length > MAX_CHANGE_ID_LENGTH) return { kind: 'settings.refused', failure: BAD_CHANGE_ID, repeated: false }
  const fingerprint = computeFingerprint(command.changes)
  const known = answers.get(command.changeId)
  if (known !== undefined) return repeatAnswer(tables, command.changeId, known, fingerprint)
  const planned = planChange({ tree, changes: command.changes })
  if (!planned.ok) return refuseChange(tables, command, fingerprint, planned.refusal)
  return acceptChange(tables, command, fingerprint, planned.plan, onDelta)
}

function acceptChange (tables: StateTables, command: SettingsChange, fingerprint: string, plan: ChangePlan, onDelta: (delta: RevisionDelta) => void): CommandOutcome {
  const { tree, audit, answers, clock } = tables
  const { changeId, operator } = command
  const revision = tree.getRevision() + 1
  const delta: RevisionDelta = {
    revision,
    nodes: plan.nodes.map(({ path, after }) => ({ path, nodeRevision: revision, ...(after === undefined ? {} : { values: after }) }))
  }
  tree.applyDelta(delta)
  const nodes = plan.nodes.map(({ path, before, after }) => ({ path, ...(before === undefined ? {} : { before }), ...(after === undefined ? {} : { after }) }))
  const sequence = audit.add({ at: clock.now, operator, changeId, outcome: 'accepted', revision, nodes }, revision)
  answers.add(changeId, { at: clock.now, sequence, result: 'accepted', revision, fingerprint })
  onDelta(delta)
  return buildAcceptedOutcome(revision, nodes, false)
}

function refuseChange (tables: StateTables, command: SettingsChange, fingerprint: string, refusal: ChangeRefusal): CommandOutcome {
  const { tree, audit, answers, clock } = tables
  const { changeId, operator, changes } = command
  const { failure, current } = refusal
  const currentIfConflict = current === undefined ? {} : { current }
  const sequence = audit.add({ at: clock.now, operator, changeId, outcome: 'refused', nodes: describeRequestedNodes(changes), failure, ...currentIfConflict }, tree.getRevision())
  answers.add(changeId, { at: clock.now, sequence, result: 'refused', revision: 0, fingerprint })
  return { kind: 'settings.refused', failure, repeated: false, ...currentIfConflict }
}

/** Records a change that a host refused in the audit trail, once for each operator and change id. */
export function applyRefusedChange (tables: StateTables, command: RefusedChange): CommandOutcome {
  const { tree, audit, answers, clock } = tables
  const { changeId, operator, changes, failure } = command
  const answerId = `refused ${operator.name} ${changeId}`
  if (answers.get(answerId) !== undefined) return { kind: 'recorded' }
  const sequence = audit.add({ at: clock.now, operator, changeId, outcome: 'refused', nodes: describeRequestedNodes(changes), failure }, tree.getRevision())
  answers.add(answerId, { at: clock.now, sequence, result: 'refused', revision: 0, fingerprint: '' })
  return { kind: 'recorded' }
}

const RESOLVE_REFUSALS = {
  notFound: { code: ErrorCode.NOT_FOUND, message: 'there is no claim for the key', step: 'claim.resolve' },
  open: { code: ErrorCode.IN_PROGRESS, message: 'the attempt that holds the claim may still be running', step: 'claim.resolve', hint: 'wait for its outcome' },
  finished: { code: ErrorCode.CONFLICT, message: 'the claim has an outcome already', step: 'claim.resolve' }
} as const satisfies Record<string, Failure>

/** Sets the outcome of a claim in state `unknown` on behalf of an operator. */
export function applyResolveClaim (tables: StateTables, command: ResolveClaim, limits: Parameters<StateTables['claims']['resolve']>[0]['limits']): CommandOutcome {
  const { tree, audit, answers, claims, clock } = tables
  const { changeId, operator, claimKey, resolution, note } = command
  const fingerprint = computeFingerprint([claimKey, resolution, note])
  const known = answers.get(changeId)
  if (known !== undefined) return repeatAnswer(tables, changeId, known, fingerprint)
  const refusal = claims.resolve({ claimKey, resolution, note, by: operator.name, now: clock.now, limits })
  const failure = refusal === undefined ? undefined : RESOLVE_REFUSALS[refusal]
  const outcome = failure === undefined ? 'accepted' : 'refused'
  const claim = { claimKey, resolution, note }
  const sequence = audit.add({ at: clock.now, operator, changeId, outcome, nodes: [], claim, ...(failure === undefined ? {} : { failure }) }, tree.getRevision())
  answers.add(changeId, { at: clock.now, sequence, result: failure === undefined ? 'resolved' : 'refused', revision: 0, fingerprint })
  return failure === undefined ? { kind: 'claim.resolved' } : { kind: 'settings.refused', failure, repeated: false }
}
