/** Keeps the voter set of the replicated log at its target size without an operator. */
export { planVoterStep, VOTER_LOST_AFTER_MS } from './planVoterStep.ts'
export type { MemberStatus, VoterPlanInput } from './planVoterStep.ts'
export { createVoterKeeper } from './voterKeeper.ts'
export type { VoterKeeper } from './voterKeeper.ts'
