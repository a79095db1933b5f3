/** Circuit breakers per endpoint. */
export * from './breaker.ts'
