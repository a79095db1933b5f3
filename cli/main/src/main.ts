/** Entry point of `catkinferry`: parses the command line, runs one command and exits with its code. */
import meow from 'meow'
import { UsageError } from './commandContext.ts'
import type { CliFlags } from './commandContext.ts'
import { commands } from './commands/index.ts'
import { runDev } from './dev.ts'
import { ExitCode } from './exitCode.ts'
import { CLI_FLAGS } from './flags.ts'
import { readToken, runCli } from './runCli.ts'

const DEFAULT_URL = 'http://127.0.0.1:8081'

const cli = meow(`
  Usage: catkinferry COMMAND [--url URL] [--token-file FILE] [--json]

  Commands:
${Object.values(commands).map(({ usage, description }) => `    ${usage}\n        ${description}`).join('\n')}
    dev [--once]
        runs one host with two fake engines in this process, sends a request and keeps serving; with --once, stops after the answer

  The operator token comes from --token-file or CATKINFERRY_TOKEN, the URL from --url or CATKINFERRY_URL.

  Exit codes: ${Object.entries(ExitCode).map(([name, code]) => `${code} ${name}`).join(', ')}
`, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: CLI_FLAGS
})

function printError (line: string): void {
  process.stderr.write(line + '\n')
}

async function runMain (): Promise<ExitCode> {
  const { url, tokenFile, ...flags } = cli.flags
  if (cli.input.length === 0) {
    printError(cli.help)
    return ExitCode.BAD_ARGUMENT
  }
  if (cli.input[0] === 'dev') return await runDev({ once: flags.once === true, print: line => process.stdout.write(line + '\n') })
  try {
    const token = readToken({ tokenFile, environment: process.env.CATKINFERRY_TOKEN })
    return await runCli({
      words: cli.input,
      flags: flags satisfies CliFlags,
      url: url ?? process.env.CATKINFERRY_URL ?? DEFAULT_URL,
      token,
      print: line => process.stdout.write(line + '\n'),
      printError
    })
  } catch (error) {
    if (!(error instanceof UsageError)) throw error
    printError(error.message)
    return ExitCode.BAD_ARGUMENT
  }
}

process.exit(await runMain())
