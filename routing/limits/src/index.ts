/** Adaptive concurrency limits. */
export * from './adaptiveLimit.ts'
