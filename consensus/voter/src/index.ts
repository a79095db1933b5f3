/** A voter: replicated log, state machine and command intake. */
export { createVoter } from './voter.ts'
export type { Voter, VoterMessage, VoterOptions } from './voter.ts'
export type { PeerStatus, VoterStatus } from './status.ts'
export type { ReplacementProgress, ReplacementRequest } from './replacement.ts'
export * from './constants.ts'
