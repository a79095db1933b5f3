/** Combines lease, ownership, membership and grants of a zone into the one system that each host runs. */
export * from './createZoneCoordination.ts'
export type { ZoneDescription } from './describeZones.ts'
export type { LeaseVoterProposal } from './voterSets.ts'
