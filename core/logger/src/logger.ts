/** A logger that writes each entry as one line of JSON. */
import { Logger as TsLogger } from 'tslog'

export const LogLevel = { DEBUG: 'debug', INFO: 'info', WARN: 'warn', ERROR: 'error' } as const
export type LogLevel = typeof LogLevel[keyof typeof LogLevel]

/** Numbers of the levels in tslog. */
const LEVEL_NUMBERS: Readonly<Record<LogLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 }

/** Fields of a log line. `step`, `peer` and `requestId` have the same meaning on every line. */
export interface LogFields {
  readonly step?: string
  readonly peer?: string
  readonly requestId?: string
  readonly [key: string]: unknown
}

export interface Logger {
  readonly log: (level: LogLevel, message: string, fields?: LogFields) => void
  readonly debug: (message: string, fields?: LogFields) => void
  readonly info: (message: string, fields?: LogFields) => void
  readonly warn: (message: string, fields?: LogFields) => void
  readonly error: (message: string, fields?: LogFields) => void
  /** Sets the lowest level that is written. */
  readonly setLevel: (level: LogLevel) => void
}

export interface LoggerOptions {
  readonly level: LogLevel
  /** Fields added to every line, such as the host. */
  readonly fields?: LogFields
  /** Called with each line, newline included. */
  readonly write: (line: string) => void
}

/** Converts values that `JSON.stringify` loses (errors) or refuses (bigints). */
function formatValue (_key: string, value: unknown): unknown {
  if (value instanceof Error) return { name: value.name, message: value.message, stack: value.stack }
  if (typeof value === 'bigint') return value.toString()
  return value
}

/** Creates a logger that writes lines of `{ time, level, message, ...fields }`. */
export function createLogger (opts: LoggerOptions): Logger {
  const inner = new TsLogger<unknown>({
    type: 'hidden',
    minLevel: LEVEL_NUMBERS[opts.level],
    hideLogPositionForProduction: true,
    overwrite: { mask: args => args, toLogObj: args => ({ args }) }
  })
  inner.attachTransport(entry => {
    const { args } = entry as unknown as { args: [LogLevel, string, LogFields | undefined] }
    const [level, message, fields] = args
    const line = { time: new Date().toISOString(), level, message, ...opts.fields, ...fields }
    opts.write(JSON.stringify(line, formatValue) + '\n')
  })
  const log = (level: LogLevel, message: string, fields?: LogFields): void => {
    inner.log(LEVEL_NUMBERS[level], level, level, message, fields)
  }
  return {
    log,
    debug: (message, fields) => log(LogLevel.DEBUG, message, fields),
    info: (message, fields) => log(LogLevel.INFO, message, fields),
    warn: (message, fields) => log(LogLevel.WARN, message, fields),
    error: (message, fields) => log(LogLevel.ERROR, message, fields),
    setLevel: level => { inner.settings.minLevel = LEVEL_NUMBERS[level] }
  }
}
