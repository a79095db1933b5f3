/** Assignment of endpoints to owners with sub-leases and fencing numbers. */
export * from './rendezvous.ts'
export * from './assigner.ts'
export type { AssignerOptions } from './assignerState.ts'
export * from './subLease.ts'
