/** The replicated state machine: settings, adapter and route versions, audit trail, change ids, claims, endpoint facts. */
export type { AuditEntry, AuditPage, AuditedNode } from './auditTrail.ts'
export * from './replicatedState.ts'
export type { QuarantinedPart } from './quarantinedParts.ts'
export type { StoredRoutes } from './routeVersions.ts'
export { RECORDED_VERSION_RETENTION_MS } from './serviceVersions.ts'
export type { ServiceVersion, ServiceVersions } from './serviceVersions.ts'
export { SNAPSHOT_FORMAT } from './stateSnapshot.ts'
export { packCommand } from './packedRoutes.ts'
