/** Types and helpers shared by all commands: flags, context, usage errors, arguments and defaults. */
import type { OperatorReply } from '@catkinferry/core.types'
import type { ExitCode } from './exitCode.ts'
import type { OperatorClient } from './operatorClient.ts'

/** Flags of the command line; all optional. */
export interface CliFlags {
  readonly json?: boolean
  readonly effective?: boolean
  readonly explain?: boolean
  readonly fresh?: boolean
  readonly dryRun?: boolean
  readonly follow?: boolean
  readonly export?: boolean
  readonly once?: boolean
  readonly expect?: number
  readonly limit?: number
  readonly after?: string
  readonly changeId?: string
  readonly file?: string
  readonly path?: string
  readonly who?: string
  readonly state?: string
  readonly as?: string
  readonly note?: string
  readonly add?: string
  readonly remove?: string
  readonly weightsUri?: string
  readonly digest?: string
  readonly role?: string
  readonly against?: string
  readonly timeoutMs?: number
}

export interface CommandContext {
  readonly args: readonly string[]
  readonly flags: CliFlags
  readonly client: OperatorClient
  readonly createId: () => string
  /** Prints a line to standard output. */
  readonly print: (line: string) => void
  readonly wait: (ms: number) => Promise<void>
}

/** One command. `run` returns the reply to print; undefined or an exit code if it has printed its output itself. */
export interface Command {
  readonly usage: string
  readonly description: string
  readonly run: (context: CommandContext) => Promise<OperatorReply | { readonly exitCode: ExitCode } | undefined>
}

/** The command line, or a file given to it, is invalid. */
export class UsageError extends Error {}

const DEFAULT_DEADLINE_MS = 10_000
/** Default maximum number of listed rows. */
const DEFAULT_LIMIT = 100

/** Returns the argument at `index`; throws a `UsageError` if it is missing. */
export function getArgument (context: CommandContext, index: number, name: string): string {
  const value = context.args[index]
  if (value === undefined || value === '') throw new UsageError(`${name} is missing`)
  return value
}

export function getDeadlineMs (context: CommandContext): number {
  return context.flags.timeoutMs ?? DEFAULT_DEADLINE_MS
}

export function getLimit (context: CommandContext): number {
  return context.flags.limit ?? DEFAULT_LIMIT
}
