/** Fleet membership discovered from seeds: live hosts, core hosts and the leader. */
export * from './constants.ts'
export { createFleetMembership } from './fleetMembership.ts'
export type { FleetMembership, FleetMembershipOptions, FleetPeer, LeaderStatus } from './fleetMembership.ts'
