/** Commands that inspect and repair the running system: status, audit trail, claims, voters, requests. */
import { readFileSync } from 'node:fs'
import type { OperatorReply } from '@catkinferry/core.types'
import { getArgument, getDeadlineMs, getLimit, UsageError } from '../commandContext.ts'
import type { Command, CommandContext } from '../commandContext.ts'
import { findRequestHistory, parseLogLines, renderRequestHistory } from '../explainLogs.ts'

const FOLLOW_INTERVAL_MS = 1_000
const STDIN_DESCRIPTOR = 0

interface AuditBody {
  readonly entries: readonly Record<string, unknown>[]
  readonly nextAfter: number
  readonly lastSequence: number
}

async function readAudit (context: CommandContext, afterSequence: number): Promise<OperatorReply> {
  const { path, who } = context.flags
  return await context.client.request({ kind: 'audit.list', afterSequence, limit: getLimit(context), path, who })
}

/** Prints the entries as JSON lines. With --follow, keeps printing new ones until the process ends. */
async function printAudit (context: CommandContext): Promise<OperatorReply | undefined> {
  let after = Number(context.flags.after ?? 0)
  for (;;) {
    const reply = await readAudit(context, after)
    if (!reply.ok) return reply
    const body = reply.body as AuditBody
    for (const entry of body.entries) context.print(JSON.stringify(entry))
    const atEnd = body.nextAfter <= after || body.nextAfter >= body.lastSequence
    after = Math.max(after, body.nextAfter)
    if (!atEnd) continue
    if (context.flags.follow !== true) return undefined
    await context.wait(FOLLOW_INTERVAL_MS)
  }
}

async function submitWithId (context: CommandContext, send: (changeId: string) => Promise<OperatorReply>): Promise<OperatorReply> {
  const changeId = context.flags.changeId ?? context.createId()
  const reply = await send(changeId)
  return !reply.ok && reply.outcome === 'unknown' ? { ...reply, body: { changeId } } : reply
}

async function resolveClaim (context: CommandContext): Promise<OperatorReply> {
  const { as: resolution, note } = context.flags
  if (resolution !== 'done' && resolution !== 'notRun') throw new UsageError('--as must be done or notRun')
  if (note === undefined || note === '') throw new UsageError('--note is missing: state how the outcome is known')
  const claimKey = getArgument(context, 0, 'KEY')
  return await submitWithId(context, async changeId => await context.client.request({ kind: 'claims.resolve', changeId, claimKey, resolution, note, deadlineMs: getDeadlineMs(context) }))
}

function readLogs (file: string): string {
  try {
    return readFileSync(file === '-' ? STDIN_DESCRIPTOR : file, 'utf8')
  } catch (error) {
    throw new UsageError(`${file}: ${(error as Error).message}`)
  }
}

async function explainRequest (context: CommandContext): Promise<OperatorReply | undefined> {
  const requestId = getArgument(context, 0, 'REQUEST-ID')
  const { file, json } = context.flags
  if (file === undefined) return await context.client.request({ kind: 'explain', requestId })
  const history = findRequestHistory(parseLogLines(readLogs(file)), requestId)
  if (history === undefined) throw new UsageError(`no line of ${file} names request ${requestId}`)
  context.print(json === true ? JSON.stringify(history) : renderRequestHistory(history))
  return undefined
}

export const fleetCommands: Readonly<Record<string, Command>> = {
  status: {
    usage: 'status',
    description: 'health, settings revision, links and running requests of the queried host',
    run: async context => await context.client.request({ kind: 'status' })
  },
  endpoints: {
    usage: 'endpoints',
    description: 'the endpoints of the zone with owner, load and resident adapters',
    run: async context => await context.client.request({ kind: 'endpoints.list' })
  },
  zones: {
    usage: 'zones',
    description: 'the zones as known to the queried host',
    run: async context => await context.client.request({ kind: 'zones.list' })
  },
  audit: {
    usage: 'audit [--follow] [--export] [--path PATH] [--who NAME] [--after SEQUENCE] [--limit N]',
    description: 'who changed what; --export prints all entries as JSON lines, --follow also prints new ones',
    run: async context => {
      const { follow, export: exported } = context.flags
      if (follow === true || exported === true) return await printAudit(context)
      return await readAudit(context, Number(context.flags.after ?? 0))
    }
  },
  'claims list': {
    usage: 'claims list [--state STATE] [--limit N]',
    description: 'claims of non-idempotent work; --state unknown lists those to resolve',
    run: async context => await context.client.request({ kind: 'claims.list', state: context.flags.state, limit: getLimit(context) })
  },
  'claims get': {
    usage: 'claims get KEY',
    description: 'one claim',
    run: async context => await context.client.request({ kind: 'claims.get', claimKey: getArgument(context, 0, 'KEY') })
  },
  'claims resolve': {
    usage: 'claims resolve KEY --as done|notRun --note TEXT [--change-id ID]',
    description: 'records how a call with an unknown outcome ended',
    run: resolveClaim
  },
  'voters status': {
    usage: 'voters status',
    description: 'the voters, their leader and the progress of each',
    run: async context => await context.client.request({ kind: 'voters.status' })
  },
  'voters replace': {
    usage: 'voters replace [--remove HOST] [--add HOST] [--change-id ID]',
    description: 'replaces a lost voter; the new one votes once it has caught up',
    run: async context => {
      const { remove, add } = context.flags
      if (remove === undefined && add === undefined) throw new UsageError('--remove or --add is required')
      return await submitWithId(context, async changeId => await context.client.request({ kind: 'voters.replace', changeId, remove, add, deadlineMs: getDeadlineMs(context) }))
    }
  },
  explain: {
    usage: 'explain REQUEST-ID [--file FILE]',
    description: 'the decisions made for a request and their reasons; queries the host at --url, which must be the one named in the id, or reads log lines of any hosts from FILE (- for standard input)',
    run: explainRequest
  }
}
