/** Claims for non-idempotent requests. */
export * from './ledgerClient.ts'
