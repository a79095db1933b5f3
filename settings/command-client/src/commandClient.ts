/** Submits commands and queries of a host to the voters: follows leader hints, resends to other voters, and reports `refused` only if nothing was committed. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure, Result } from '@catkinferry/core.errors'
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext, System } from '@catkinferry/host.events'
import type { Command, CommandMessage, CommandOutcome, CommandResult, Query } from '@catkinferry/wire.messages'
import { createResender } from './resender.ts'
import type { ResenderOptions, SendReport } from './resender.ts'

/** Most commands in flight at once, and most queries; more are refused. */
export const MAX_IN_FLIGHT = 10_000

export type CommandClientMessage = Extract<CommandMessage, { kind: 'command.outcome' | 'command.refused' | 'query.answer' }>

export interface SubmitOptions {
  readonly command: Command
  /** Infinity: the command is resent until it is answered. */
  readonly deadlineAt: MonotonicMs
  /** Fields of the log lines that tell where the command is sent and what becomes of each send. Without them there are none. */
  readonly logFields?: Readonly<Record<string, unknown>>
  /** Called once. `settled` is false if another send of the command may still be committed. */
  readonly onOutcome: (result: CommandResult, context: RunContext, settled: boolean) => void
}

export interface QueryOptions {
  readonly query: Query
  /** True: the answer must include everything committed before the query was submitted. */
  readonly fresh: boolean
  readonly deadlineAt: MonotonicMs
  /** Called once. */
  readonly onAnswer: (answer: Result<unknown>, context: RunContext) => void
}

export interface CommandClient extends System<CommandClientMessage> {
  readonly submit: (opts: SubmitOptions, context: RunContext) => void
  readonly submitQuery: (opts: QueryOptions, context: RunContext) => void
  readonly getInFlightCount: () => number
}

const NO_QUORUM: Failure = {
  code: ErrorCode.NO_QUORUM,
  message: 'no voter answered in time',
  step: 'query.ask',
  hint: 'the host may be cut off from the majority; see status'
}

const REPORT_TEXTS: Readonly<Record<SendReport['kind'], string>> = {
  sent: 'sent a command to a voter',
  refused: 'a voter refused a command',
  unanswered: 'a voter did not answer a command in time'
}

function logReport (fields: SubmitOptions['logFields'], { kind, ...report }: SendReport, { emit }: RunContext): void {
  emit({ kind: 'log', level: 'info', message: REPORT_TEXTS[kind], fields: { step: 'command', ...fields, ...report } })
}

/** Creates a client. `voters` lists the voters known to this host; `random` also makes the ids of sends unique. */
export function createCommandClient (opts: ResenderOptions): CommandClient {
  const { host } = opts
  const commands = createResender<CommandOutcome>(opts)
  const queries = createResender<unknown>(opts)

  function submit (submitOpts: SubmitOptions, context: RunContext): void {
    const { command, deadlineAt, logFields, onOutcome } = submitOpts
    // A command without a deadline carries an outcome that must be recorded; the ledger client limits how many there are.
    if (commands.getSize() >= MAX_IN_FLIGHT && deadlineAt !== Infinity) {
      onOutcome({ kind: 'refused', reason: 'too many commands in flight on this host' }, context, true)
      return
    }
    commands.begin({
      deadlineAt,
      onReport: logFields === undefined ? undefined : (report, ctx) => logReport(logFields, report, ctx),
      send: (commandId, to, ctx) => { ctx.send(to, { kind: 'command.submit', commandId, origin: host, command, hops: 0 }) },
      onDeadline: (everySendRefused, { reason, failure }, ctx) => {
        const cause = failure === undefined ? {} : { failure }
        onOutcome(everySendRefused ? { kind: 'refused', reason, ...cause } : { kind: 'unknown', ...cause }, ctx, everySendRefused)
      },
      onAnswer: (outcome, settled, ctx) => { onOutcome({ kind: 'outcome', outcome }, ctx, settled) }
    }, context)
  }

  function runQuery (queryOpts: QueryOptions, context: RunContext): void {
    const { query, fresh, deadlineAt, onAnswer } = queryOpts
    if (queries.getSize() >= MAX_IN_FLIGHT) {
      onAnswer({ ok: false, failure: { ...NO_QUORUM, code: ErrorCode.OVER_LIMIT, message: 'too many queries in flight on this host' } }, context)
      return
    }
    queries.begin({
      deadlineAt,
      send: (queryId, to, ctx) => { ctx.send(to, { kind: 'query.ask', queryId, origin: host, query, fresh, hops: 0 }) },
      onDeadline: (_everySendRefused, { reason, failure }, ctx) => { onAnswer({ ok: false, failure: failure ?? { ...NO_QUORUM, message: `${NO_QUORUM.message}: ${reason}` } }, ctx) },
      onAnswer: (value, _settled, ctx) => { onAnswer({ ok: true, value }, ctx) }
    }, context)
  }

  const handlers: { readonly [Kind in CommandClientMessage['kind']]: (from: HostId, message: Extract<CommandClientMessage, { kind: Kind }>, context: RunContext) => void } = {
    'command.outcome': (from, { commandId, outcome }, context) => { commands.receiveAnswer(from, commandId, outcome, context) },
    'command.refused': (_from, { commandId, reason, failure, leader }, context) => { commands.receiveRefusal(commandId, { leader, reason, failure }, context) },
    'query.answer': (from, { queryId, answer, failure, leader }, context) => {
      if (failure === undefined) queries.receiveAnswer(from, queryId, answer, context)
      else queries.receiveRefusal(queryId, { leader, reason: failure.message, failure: failure.code === ErrorCode.NO_QUORUM ? undefined : failure }, context)
    }
  }

  return {
    submit,
    submitQuery: runQuery,
    receive: (from, message, context) => { handlers[message.kind](from, message as never, context) },
    run: context => {
      commands.run(context)
      queries.run(context)
    },
    getNextAt: () => {
      const times = [commands.getNextAt(), queries.getNextAt()].filter(time => time !== undefined)
      return times.length === 0 ? undefined : Math.min(...times)
    },
    getInFlightCount: () => commands.getSize() + queries.getSize()
  }
}
