/** The replicated log (Raft) as a pure state machine. */
export { createLogMachine } from './machine.ts'
export type { LogMachine, ReadyToApply } from './machine.ts'
export type { MembershipStep } from './membershipChanges.ts'
export { countQuorum, createInitialMembership, findLearner, findMember, findVoter, isUnbound, UNBOUND } from './membership.ts'
export { Role } from './state.ts'
export type { LogMachineOptions, MachineContext, MachineState, Progress } from './state.ts'
export { estimateBytes } from './estimateBytes.ts'
export * from './constants.ts'
