/** Load budget shared between zones. */
export * from './limits.ts'
export * from './lender.ts'
export * from './zoneBudget.ts'
