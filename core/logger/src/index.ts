/** Logs as JSON lines, a limit of their rate, and a writer that never blocks the process. */
export * from './logger.ts'
export * from './lineLimit.ts'
export * from './lineWriter.ts'
