/** Submits operators' commands to the replicated state, and replies when their outcome is known. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import type { OperatorCall, OperatorReply, OperatorRequest } from '@catkinferry/core.types'
import type { HostEvent, RunContext } from '@catkinferry/host.events'
import { planChange } from '@catkinferry/settings.tree'
import type { PlannedChange } from '@catkinferry/settings.tree'
import type { Command, CommandOutcome } from '@catkinferry/wire.messages'
import type { HostState } from './hostState.ts'

/** Sends the reply to the operator, in this or a later run. */
export type Reply = (reply: OperatorReply, context: RunContext) => void

interface CommandRequest<Kind extends OperatorCall['kind']> {
  readonly host: HostState
  readonly request: Extract<OperatorRequest, { kind: Kind }>
  readonly reply: Reply
  readonly context: RunContext
}

function createUnknownFailure (changeId: string, cause: Failure | undefined): Failure {
  return {
    code: ErrorCode.OUTCOME_UNKNOWN,
    step: 'change',
    message: `the answer was lost; the change ${changeId} may or may not have been accepted${cause === undefined ? '' : `; ${cause.message}`}`,
    hint: `resend it with change id ${changeId}: it is applied at most once, and a resend gets the original outcome`
  }
}

function createRefusedFailure (reason: string, cause: Failure | undefined): Failure {
  if (cause !== undefined) return { ...cause, message: `the change was not accepted: ${cause.message}` }
  return {
    code: ErrorCode.NO_QUORUM,
    step: 'change',
    message: `the change was not accepted: ${reason}`,
    hint: 'resend it when a majority of the voters can be reached'
  }
}

function formatOutcome (outcome: CommandOutcome): OperatorReply {
  if (outcome.kind === 'settings.refused') {
    return { ok: false, failure: outcome.failure, outcome: 'refused', body: { current: outcome.current, repeated: outcome.repeated } }
  }
  return { ok: true, body: outcome }
}

function formatPlan (planned: PlannedChange): OperatorReply {
  if (planned.ok) return { ok: true, body: { dryRun: true, nodes: planned.plan.nodes } }
  const { failure, problems, current } = planned.refusal
  return { ok: false, failure, outcome: 'refused', body: { problems, current } }
}

function submitCommand (opts: { host: HostState, command: Command, changeId: string, deadlineMs: number, reply: Reply, context: RunContext }): void {
  const { host, command, changeId, deadlineMs, reply, context } = opts
  host.systems.commands.submit({
    command,
    deadlineAt: context.now + deadlineMs,
    onOutcome: (result, replyContext) => {
      if (result.kind === 'outcome') reply(formatOutcome(result.outcome), replyContext)
      else if (result.kind === 'refused') reply({ ok: false, failure: createRefusedFailure(result.reason, result.failure), outcome: 'refused' }, replyContext)
      else reply({ ok: false, failure: createUnknownFailure(changeId, result.failure), outcome: 'unknown' }, replyContext)
    }
  }, context)
}

/** Submits a settings change; a dry run is only checked against this host's copy of the settings. */
export function submitChange ({ host, request, reply, context }: CommandRequest<'settings.change'>): void {
  const { changeId, operator, changes, dryRun, deadlineMs } = request
  if (dryRun) {
    const planned = planChange({ tree: host.systems.dissemination.getTree(), changes })
    reply(formatPlan(planned), context)
    return
  }
  submitCommand({ host, command: { kind: 'settings.change', changeId, operator, changes }, changeId, deadlineMs, reply, context })
}

/** Submits an operator's resolution of a claim whose outcome is unknown. */
export function submitResolution ({ host, request, reply, context }: CommandRequest<'claims.resolve'>): void {
  const { changeId, operator, claimKey, resolution, note, deadlineMs } = request
  submitCommand({ host, command: { kind: 'claim.resolve', changeId, operator, claimKey, resolution, note }, changeId, deadlineMs, reply, context })
}

/** Time limit for recording a refused change. */
const REFUSED_DEADLINE_MS = 10_000

/** Records a change in the audit trail that was refused because the operator lacks the role. */
export function submitRefusedChange (host: HostState, event: Extract<HostEvent, { kind: 'operator.refused' }>, context: RunContext): void {
  const { operator, changeId, changes, failure } = event
  host.systems.commands.submit({
    command: { kind: 'audit.refused', changeId, operator, changes, failure },
    deadlineAt: context.now + REFUSED_DEADLINE_MS,
    onOutcome: (result, replyContext) => {
      if (result.kind === 'outcome') return
      replyContext.emit({ kind: 'log', level: 'warn', message: 'a refused change could not be recorded in the audit trail', fields: { step: 'audit', peer: operator.name, changeId, failure } })
    }
  }, context)
}
