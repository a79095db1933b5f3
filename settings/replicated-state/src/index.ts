/** The replicated state machine: settings, adapters, audit trail, change ids, ledger. */
export type { AuditEntry, AuditPage, AuditedNode } from './auditTrail.ts'
export * from './replicatedState.ts'
export type { HeldRoutes } from './routeVersions.ts'
export { SNAPSHOT_FORMAT } from './stateSnapshot.ts'
