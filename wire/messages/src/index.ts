/** Every message between hosts, as one tagged union. */
import type { CommandMessage } from './commands.ts'
import type { ConsensusMessage } from './consensus.ts'
import type { FleetMessage } from './fleet.ts'
import type { SettingsMessage } from './settings.ts'
import type { GrantMessage, LeaseMessage, LoadBudgetMessage, MembershipMessage, OwnershipMessage } from './zone.ts'

export * from './commands.ts'
export * from './compactForm.ts'
export * from './consensus.ts'
export * from './fleet.ts'
export * from './settings.ts'
export * from './stateMachine.ts'
export * from './zone.ts'

export type PeerMessage =
  | CommandMessage
  | ConsensusMessage
  | SettingsMessage
  | LeaseMessage
  | OwnershipMessage
  | MembershipMessage
  | GrantMessage
  | LoadBudgetMessage
  | FleetMessage
