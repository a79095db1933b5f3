/** Claims for non-idempotent requests: the replicated table and the interface that the request path uses. */
export * from './claimRow.ts'
export { createClaimsTable, MAX_KEY_SKEW_MS } from './claimsTable.ts'
export type { ClaimsTable, ResolveRefusal } from './claimsTable.ts'
export * from './ledgerClient.ts'
