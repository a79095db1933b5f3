/** Majority lease of an availability zone. */
export * from './leaseVoter.ts'
export * from './leaseHolder.ts'
export * from './leaseVoterSet.ts'
export * from './planVoterSet.ts'
