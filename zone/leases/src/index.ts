/** Lease of an availability zone, granted by a majority of its lease voters. */
export * from './leaseVoter.ts'
export * from './leaseHolder.ts'
export * from './leaseVoterSet.ts'
export * from './planVoterSet.ts'
