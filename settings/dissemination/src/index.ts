/** Distributes settings from the voters through zone relays to hosts, and provides the settings in force. */
export type { DisseminationOptions } from './sharedState.ts'
export * from './dissemination.ts'
export type { VoterState } from './inForce.ts'
