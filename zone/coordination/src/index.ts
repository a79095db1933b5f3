/** Leases, ownership, membership and grants of a zone as one system. */
export * from './createZoneCoordination.ts'
export type { ZoneDescription } from './describeZones.ts'
export type { LeaseVoterProposal } from './voterSets.ts'
