/** Retry budget and delays. */
export * from './retryBudget.ts'
