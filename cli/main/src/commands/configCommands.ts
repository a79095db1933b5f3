/** Checks a configuration document before it is sent. Only `--against HOST` needs a host. */
import { readFileSync, statSync } from 'node:fs'
import { ErrorCode } from '@catkinferry/core.errors'
import type { OperatorReply, RouteTable } from '@catkinferry/core.types'
import { checkRouteDocument, MAX_DOCUMENT_BYTES } from '@catkinferry/platform'
import { request } from 'undici'
import { getArgument, UsageError } from '../commandContext.ts'
import type { Command, CommandContext } from '../commandContext.ts'
import { buildConfigReport, buildTooLargeReport, Verdict } from '../configReport.ts'
import type { ConfigReport } from '../configReport.ts'
import { ExitCode } from '../exitCode.ts'
import { renderConfigReport } from '../renderConfigReport.ts'

const READ_TIMEOUT_MS = 5_000
const STDIN_DESCRIPTOR = 0
const SUCCESS_STATUS = 200
/** `ip:port` or a URL of the operator API. */
const HOST = /^(?:https?:\/\/[^/]+\/?|[\w.-]+:\d+|\[[\da-f:]+\]:\d+)$/i

const EXIT_CODES: Readonly<Record<Verdict, ExitCode>> = { [Verdict.CLEAN]: ExitCode.OK, [Verdict.WARNINGS]: ExitCode.REFUSED, [Verdict.ERRORS]: ExitCode.BAD_ARGUMENT }

/** Returns the size in bytes of a file that is too large to be sent. */
function readDocument (file: string): string | number {
  try {
    if (file !== '-') {
      const { size } = statSync(file)
      if (size > MAX_DOCUMENT_BYTES) return size
    }
    return readFileSync(file === '-' ? STDIN_DESCRIPTOR : file, 'utf8')
  } catch (error) {
    throw new UsageError(`${file}: ${(error as Error).message}`)
  }
}

function isFile (name: string): boolean {
  return statSync(name, { throwIfNoEntry: false })?.isFile() === true
}

function buildFailedReply (host: string, message: string): OperatorReply {
  return { ok: false, outcome: 'refused', failure: { code: ErrorCode.LINK_FAILED, message: `${host}: ${message}`, step: 'config.read', hint: 'name the control address of a core host, or a file with the version in force' } }
}

/** Reads the version in force. A failed answer is not shown, since it may be anything. */
async function readFromHost (host: string): Promise<string | OperatorReply> {
  const base = host.includes('://') ? host.replace(/\/$/, '') : `http://${host}`
  try {
    const answer = await request(`${base}/config/read`, { headersTimeout: READ_TIMEOUT_MS, bodyTimeout: READ_TIMEOUT_MS })
    const text = await answer.body.text()
    return answer.statusCode === SUCCESS_STATUS ? text : buildFailedReply(host, `GET /config/read was answered with status ${answer.statusCode}`)
  } catch (error) {
    const { code, message } = error as Error & { code?: string }
    return buildFailedReply(host, code ?? message)
  }
}

async function readAgainst (name: string): Promise<{ readonly table: RouteTable, readonly document: unknown } | OperatorReply> {
  if (!isFile(name) && !HOST.test(name)) throw new UsageError(`--against ${name}: neither a file nor a host with a port`)
  const text = isFile(name) ? readDocument(name) : await readFromHost(name)
  if (typeof text === 'object') return text
  if (typeof text === 'number') throw new UsageError(`--against ${name}: ${text} bytes are too many for a configuration`)
  const { decoded, value } = checkRouteDocument(text)
  if (!decoded.ok) throw new UsageError(`--against ${name}: the configuration is invalid, so it cannot be in force: ${decoded.problems[0]}`)
  return { table: decoded.table, document: value }
}

function printReport ({ flags, print }: CommandContext, report: ConfigReport): { readonly exitCode: ExitCode } {
  print(flags.json === true ? JSON.stringify(report) : renderConfigReport(report))
  return { exitCode: EXIT_CODES[report.verdict] }
}

async function checkConfig (context: CommandContext): Promise<OperatorReply | { readonly exitCode: ExitCode }> {
  const file = getArgument(context, 0, 'FILE')
  const { against } = context.flags
  const text = readDocument(file)
  if (typeof text === 'number') return printReport(context, buildTooLargeReport(file, text))
  if (against === undefined) return printReport(context, buildConfigReport({ file, text }))
  const read = await readAgainst(against)
  if (!('table' in read)) return read
  return printReport(context, buildConfigReport({ file, text, against: { name: against, ...read } }))
}

export const configCommands: Readonly<Record<string, Command>> = {
  'config check': {
    usage: 'config check FILE [--against FILE|HOST:PORT] [--json]',
    description: 'checks a configuration document as hosts do, and compares it with the version in force; exits with 0 if nothing was found, 1 with warnings, 2 with errors',
    run: checkConfig
  }
}
