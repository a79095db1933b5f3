/** The limits on loads from the shared weight store, divided between zones. */
export * from './limits.ts'
export * from './lender.ts'
export * from './zoneBudget.ts'
