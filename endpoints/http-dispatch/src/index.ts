/** HTTP calls to endpoints with send deadlines, progress timeouts and back-pressure, shared by the endpoint drivers. */
export * from './attemptTable.ts'
export * from './connections.ts'
export * from './failures.ts'
export * from './httpCall.ts'
export * from './readJson.ts'
export * from './responseBudget.ts'
