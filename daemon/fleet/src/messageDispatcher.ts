/** Gives the messages that a core host receives to its systems. */
import type { Quotas } from '@catkinferry/accounts.quotas'
import type { Voter, VoterMessage } from '@catkinferry/consensus.voter'
import type { HostId } from '@catkinferry/core.types'
import type { Placement } from '@catkinferry/fleet.placement'
import type { Quarantine, QuarantineMessage } from '@catkinferry/fleet.quarantine'
import type { StreamOrigins, StreamOriginsMessage } from '@catkinferry/fleet.stream-origins'
import type { RunContext } from '@catkinferry/host.events'
import type { CommandClient, CommandClientMessage } from '@catkinferry/settings.command-client'
import type { FleetMessage, PeerMessage } from '@catkinferry/wire.messages'
import type { NodeSystems } from './fleetNode.ts'

type MessageFamily = 'consensus' | 'voter' | 'client' | 'membership' | 'placement' | 'use' | 'quarantine' | 'origins'

const FAMILY_BY_KIND: Readonly<Record<string, MessageFamily>> = {
  'command.submit': 'voter',
  'query.ask': 'voter',
  'command.outcome': 'client',
  'command.refused': 'client',
  'query.answer': 'client',
  'fleet.hello': 'membership',
  'fleet.welcome': 'membership',
  'load.ask': 'placement',
  'fleet.slots': 'placement',
  'fleet.use': 'use',
  'fleet.slotUse': 'placement',
  'fleet.crashes': 'quarantine',
  'fleet.soundParts': 'quarantine',
  'fleet.streamOrigins': 'origins',
  'fleet.originAsk': 'origins'
}

export interface MessageReceivers {
  readonly voter: Voter
  readonly commands: CommandClient
  readonly placement: Placement
  readonly quotas: Quotas
  readonly quarantine: Quarantine
  readonly origins: StreamOrigins
  readonly receiveMembership: (from: HostId, message: Extract<FleetMessage, { kind: 'fleet.hello' | 'fleet.welcome' }>, context: RunContext) => void
}

/** Dispatches each peer message to the system that handles its kind. */
export function createDispatcher ({ voter, commands, placement, quotas, quarantine, origins, receiveMembership }: MessageReceivers): NodeSystems['receive'] {
  const byFamily: Readonly<Record<MessageFamily, (from: HostId, message: never, context: RunContext) => void>> = {
    consensus: (from, message: VoterMessage, context) => voter.receive(from, message, context),
    voter: (from, message: VoterMessage, context) => voter.receive(from, message, context),
    client: (from, message: CommandClientMessage, context) => commands.receive(from, message, context),
    membership: receiveMembership,
    placement: (from, message: Extract<FleetMessage, { kind: 'load.ask' | 'fleet.slots' | 'fleet.slotUse' }>, context) => placement.receive(from, message, context),
    use: (from, message: Extract<FleetMessage, { kind: 'fleet.use' }>, context) => {
      placement.receive(from, message, context)
      quotas.receive(from, message, context)
    },
    quarantine: (from, message: QuarantineMessage, context) => quarantine.receive(from, message, context),
    origins: (from, message: StreamOriginsMessage, context) => origins.receive(from, message, context)
  }
  return (from, message: PeerMessage, context) => {
    const family = message.kind.startsWith('consensus.') ? 'consensus' : FAMILY_BY_KIND[message.kind]
    if (family === undefined) context.emit({ kind: 'log', level: 'warn', message: 'dropped a message of an unknown kind', fields: { step: 'receive', peer: from, kind: message.kind } })
    else byFamily[family](from, message as never, context)
  }
}
