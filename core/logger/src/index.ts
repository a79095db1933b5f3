/** Logs as JSON lines, and a writer that never blocks the process. */
export * from './logger.ts'
export * from './lineWriter.ts'
