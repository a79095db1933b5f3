/** HTTP API for operators. */
export * from './operatorApi.ts'
export * from './operatorTokens.ts'
export * from './questionSchema.ts'
