/** Assignment of endpoints to owner hosts, under sub-leases of the zone lease and with fencing tokens. */
export * from './rendezvous.ts'
export * from './assigner.ts'
export type { AssignerOptions } from './assignerState.ts'
export * from './subLease.ts'
