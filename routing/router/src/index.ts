/** Choice of endpoint by cost in milliseconds. */
export * from './types.ts'
export * from './router.ts'
export * from './prefixIndex.ts'
export * from './ownAsks.ts'
