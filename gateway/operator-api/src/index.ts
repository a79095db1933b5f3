/** HTTP API for operators: authenticates and validates requests and submits them to the host core. */
export * from './operatorApi.ts'
export * from './operatorTokens.ts'
export * from './questionSchema.ts'
