/** JSON-line logs. */
export * from './logger.ts'
export * from './lineWriter.ts'
