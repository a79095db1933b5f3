/** Calls to endpoints with send limits, progress timeouts and back-pressure. */
export * from './attemptTable.ts'
export * from './connections.ts'
export * from './failures.ts'
export * from './httpCall.ts'
export * from './readJson.ts'
