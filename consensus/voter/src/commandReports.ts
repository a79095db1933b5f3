/** Reports on the way of commands through a voter: those that a follower passes on, and how long they waited on the leader. */
import type { DurationMs, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { Command, CommandMessage } from '@catkinferry/wire.messages'
import type { Batch } from './intake.ts'

/** Commands that operators send. They are few; a host may pass on thousands a second of the other kinds. */
const OPERATOR_COMMANDS: ReadonlySet<Command['kind']> = new Set(['settings.change', 'claim.resolve', 'routes.replace', 'routes.replacePacked', 'adapter.announce'])

/** A command that took longer gets a line: half of the second after which operators try another host. */
const SLOW_COMMAND_MS: DurationMs = 500

/** Least time between two lines on slow commands; entries between them are counted in the next. */
const LOG_INTERVAL_MS: DurationMs = 1_000

export interface CommandReports {
  readonly reportForward: (opts: { readonly message: Extract<CommandMessage, { kind: 'command.submit' }>, readonly leader: HostId, readonly term: number }, context: RunContext) => void
  /** Called for each entry of this leader that was committed and applied. */
  readonly reportApplied: (index: number, batch: Batch, context: RunContext) => void
}

/** Creates the reports of a voter. */
export function createCommandReports (): CommandReports {
  let loggedAt: MonotonicMs = Number.NEGATIVE_INFINITY
  let unlogged = 0
  return {
    reportForward: ({ message, leader, term }, { emit }) => {
      const { command, commandId, origin, hops } = message
      if (!OPERATOR_COMMANDS.has(command.kind)) return
      emit({ kind: 'log', level: 'info', message: 'passed a command on to the leader', fields: { step: 'command', peer: leader, term, command: command.kind, commandId, origin, hops } })
    },
    reportApplied: (index, { term, submissions, appendedAt, entriesBefore }, { now, emit }) => {
      const first = submissions[0]
      if (first === undefined) return
      // Commands are appended in the order of their arrival, so that the first one has waited longest.
      const queuedMs = appendedAt - first.receivedAt
      const commitMs = now - appendedAt
      emit({ kind: 'metric', type: 'timing', name: 'voter.command_queued_ms', value: queuedMs })
      emit({ kind: 'metric', type: 'timing', name: 'voter.command_commit_ms', value: commitMs })
      emit({ kind: 'metric', type: 'gauge', name: 'voter.entries_before', value: entriesBefore })
      if (queuedMs + commitMs < SLOW_COMMAND_MS) return
      if (now - loggedAt < LOG_INTERVAL_MS) {
        unlogged += 1
        return
      }
      emit({ kind: 'log', level: 'warn', message: 'commands took long on the leader', fields: { step: 'command', term, index, command: first.command.kind, commandId: first.commandId, commands: submissions.length, queuedMs: Math.round(queuedMs), commitMs: Math.round(commitMs), entriesBefore, unlogged } })
      loggedAt = now
      unlogged = 0
    }
  }
}
