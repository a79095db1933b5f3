/** Runs one command of the operator command line, prints its reply and returns the exit code. */
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { ErrorCode } from '@catkinferry/core.errors'
import type { OperatorReply } from '@catkinferry/core.types'
import { checkArguments } from './checkArguments.ts'
import { UsageError } from './commandContext.ts'
import type { CliFlags, CommandContext } from './commandContext.ts'
import { findCommand } from './commands/index.ts'
import { ExitCode } from './exitCode.ts'
import { createOperatorClient } from './operatorClient.ts'
import { renderBody } from './renderTable.ts'

export interface CliOptions {
  readonly words: readonly string[]
  readonly flags: CliFlags
  readonly url: string
  readonly token: string | undefined
  readonly print: (line: string) => void
  readonly printError: (line: string) => void
}

type FailedReply = Extract<OperatorReply, { ok: false }>

function findExitCode (reply: OperatorReply): ExitCode {
  if (reply.ok) return ExitCode.OK
  if (reply.outcome === 'unknown') return ExitCode.OUTCOME_UNKNOWN
  if (reply.failure.code === ErrorCode.CONFLICT) return ExitCode.CONFLICT
  return reply.failure.code === ErrorCode.LINK_FAILED ? ExitCode.UNREACHABLE : ExitCode.REFUSED
}

function renderFailure (reply: FailedReply): string {
  const { failure, body } = reply
  const lines = [`${failure.code}: ${failure.message}`, `step: ${failure.step}`]
  if (failure.hint !== undefined) lines.push(`hint: ${failure.hint}`)
  if (reply.outcome === 'unknown') {
    const { changeId, expectedRevision } = (body ?? {}) as { changeId?: string, expectedRevision?: number }
    const expect = expectedRevision === undefined ? '' : ` --expect ${expectedRevision}`
    lines.push(`The change may or may not have been accepted. Run the same command with: --change-id ${changeId ?? '(the one you gave)'}${expect}`)
  } else if (body !== undefined) {
    lines.push(renderBody(body))
  }
  return lines.join('\n')
}

function printReply (opts: CliOptions, reply: OperatorReply): void {
  if (opts.flags.json === true) opts.print(JSON.stringify(reply.ok ? reply.body : reply))
  else if (reply.ok) opts.print(renderBody(reply.body))
  if (!reply.ok) opts.printError(renderFailure(reply))
}

/** Returns the token from a file or the environment, never from an argument, which other users could see. */
export function readToken (opts: { readonly tokenFile: string | undefined, readonly environment: string | undefined }): string | undefined {
  if (opts.tokenFile === undefined) return opts.environment
  try {
    return readFileSync(opts.tokenFile, 'utf8').trim()
  } catch (error) {
    throw new UsageError(`${opts.tokenFile}: ${(error as Error).message}`)
  }
}

/** Runs the command named by `words`. */
export async function runCli (opts: CliOptions): Promise<ExitCode> {
  const found = findCommand(opts.words)
  if (found === undefined) {
    opts.printError(`unknown command: ${opts.words.join(' ')}; see catkinferry --help`)
    return ExitCode.BAD_ARGUMENT
  }
  const context: CommandContext = {
    args: found.args,
    flags: opts.flags,
    client: createOperatorClient({ url: opts.url, token: opts.token }),
    createId: randomUUID,
    print: opts.print,
    wait: async ms => { await sleep(ms) }
  }
  try {
    checkArguments(found.command.usage, found.args)
    const reply = await found.command.run(context)
    if (reply === undefined) return ExitCode.OK
    if ('exitCode' in reply) return reply.exitCode
    printReply(opts, reply)
    return findExitCode(reply)
  } catch (error) {
    if (!(error instanceof UsageError)) throw error
    opts.printError(`${error.message}\nusage: catkinferry ${found.command.usage}`)
    return ExitCode.BAD_ARGUMENT
  }
}
