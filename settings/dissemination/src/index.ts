/** Settings deltas from the voters over zone relays to hosts, and the settings in force. */
export type { DisseminationOptions } from './core.ts'
export * from './dissemination.ts'
export type { VoterState } from './inForce.ts'
