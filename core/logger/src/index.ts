/** JSON-line logs. */
export * from './logger.ts'
