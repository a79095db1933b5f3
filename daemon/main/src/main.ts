/** Entry point of `catkinferryd`: parses the command line and runs the host until it stops. */
import meow from 'meow'
import { CatkinferryError } from '@catkinferry/core.errors'
import { createLineWriter } from '@catkinferry/core.logger'
import { formatProblems, loadConfig } from '@catkinferry/daemon.config'
import type { Config } from '@catkinferry/daemon.config'
import type { Daemon } from './daemon.ts'
import { startHost } from './startHost.ts'

const ExitCode = { OK: 0, FAILED: 1, BAD_SETTINGS: 2 } as const

const DEFAULT_FILE = '/etc/catkinferry/host.yaml'

const STDOUT = 1
/** Bytes of log lines that wait to be written; further lines are dropped. */
const MAX_LOG_BYTES = 1024 * 1024
/** How long lines are collected for one write. */
const LOG_FLUSH_MS = 100

const cli = meow(`
  Usage: catkinferryd [--config FILE]
         catkinferryd --check FILE

  --config FILE  runs the host that the settings file describes; by default ${DEFAULT_FILE}
  --check FILE   checks the settings file, prints every error and exits

  SIGTERM and SIGINT stop gracefully; a second signal aborts running requests.

  Exit codes: 0 stopped or the file is valid, 1 failed, 2 the settings file is invalid
`, { importMeta: import.meta, allowUnknownFlags: false, flags: { config: { type: 'string', default: DEFAULT_FILE }, check: { type: 'string' } } })

function printError (line: string): void {
  process.stderr.write(line + '\n')
}

function stopOnSignals (daemon: Daemon): void {
  let stopRequested = false
  const onSignal = (): void => {
    if (stopRequested) daemon.cut()
    else daemon.stop()
    stopRequested = true
  }
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
}

async function serve (config: Config): Promise<number> {
  const log = createLineWriter({ descriptor: STDOUT, maxBytes: MAX_LOG_BYTES, flushIntervalMs: LOG_FLUSH_MS })
  try {
    const daemon = await startHost({ config, writeLog: log.write })
    stopOnSignals(daemon)
    await daemon.stopped
    return ExitCode.OK
  } catch (error) {
    if (error instanceof CatkinferryError) {
      const { code, message, step, hint } = error.failure
      printError(`${code}: ${message} (step ${step})${hint === undefined ? '' : `\nhint: ${hint}`}`)
    } else {
      printError(error instanceof Error ? error.stack ?? error.message : String(error))
    }
    return ExitCode.FAILED
  } finally {
    await log.close()
  }
}

async function runMain (): Promise<number> {
  const checked = cli.flags.check
  const result = loadConfig(checked ?? cli.flags.config)
  if (!result.ok) {
    printError(formatProblems(result.problems))
    return ExitCode.BAD_SETTINGS
  }
  if (checked === undefined) return await serve(result.config)
  process.stdout.write(`${checked}: good\n`)
  return ExitCode.OK
}

process.exit(await runMain())
