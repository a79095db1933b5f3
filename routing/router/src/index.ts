/** Chooses an endpoint, or another zone, for a request by cost in milliseconds. */
export * from './types.ts'
export * from './router.ts'
export * from './prefixIndex.ts'
export * from './recentGrantRequests.ts'
