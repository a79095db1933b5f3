/** HTTP API for callers: parses requests, submits them to the host core and writes the responses. */
export * from './callerApi.ts'
export * from './callerTokens.ts'
export * from './errorBody.ts'
export * from './serviceRoutes.ts'
