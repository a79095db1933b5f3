/** Requests the replacement of a voter from the leader, which performs it step by step. */
import type { Result } from '@catkinferry/core.errors'
import type { OperatorRequest } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { HostState } from './hostState.ts'
import type { Reply } from './operatorCommands.ts'

/** Requests the leader to begin the replacement, or to report its progress if it has begun. */
export function submitReplacement (opts: {
  readonly host: HostState
  readonly request: Extract<OperatorRequest, { kind: 'voters.replace' }>
  readonly reply: Reply
  readonly context: RunContext
}): void {
  const { host, request, reply, context } = opts
  const { remove, add, deadlineMs } = request
  host.systems.commands.submitQuery({
    query: { kind: 'replaceVoter', ...(remove === undefined ? {} : { remove }), ...(add === undefined ? {} : { add }) },
    fresh: true,
    deadlineAt: context.now + deadlineMs,
    onAnswer: (answer, replyContext) => {
      if (!answer.ok) {
        reply({ ok: false, failure: answer.failure, outcome: 'unknown' }, replyContext)
        return
      }
      const result = answer.value as Result<unknown>
      reply(result.ok ? { ok: true, body: result.value } : { ok: false, failure: result.failure, outcome: 'refused' }, replyContext)
    }
  }, context)
}
