/** Bounded log of the decisions made for each request. */
export * from './decisionLog.ts'
