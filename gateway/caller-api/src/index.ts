/** HTTP API for callers. */
export * from './callerApi.ts'
export * from './callerTokens.ts'
export * from './errorBody.ts'
export * from './serviceRoutes.ts'
