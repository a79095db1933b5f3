/** Bounded record of decisions per request. */
export * from './decisionLog.ts'
