/** Lookup table from message kinds to the system that takes them. */
import type { HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { PeerMessage } from '@catkinferry/wire.messages'
import type { Systems } from './systems.ts'

type MessageHandler = (systems: Systems, from: HostId, message: never, context: RunContext) => void

const toVoter: MessageHandler = (systems, from, message, context) => { systems.voting?.voter.receive(from, message, context) }
const toCommands: MessageHandler = (systems, from, message, context) => { systems.commands.receive(from, message, context) }
const toDissemination: MessageHandler = (systems, from, message, context) => { systems.dissemination.receive(from, message, context) }
const toZone: MessageHandler = (systems, from, message, context) => { systems.zone.receive(from, message, context) }
const toRequests: MessageHandler = (systems, from, message, context) => { systems.requests.receive(from, message, context) }

/** Handlers of single kinds; they go before those of a whole family. */
const byKind: Readonly<Record<string, MessageHandler | undefined>> = {
  'command.submit': toVoter,
  'query.ask': toVoter,
  'command.outcome': toCommands,
  'command.refused': toCommands,
  'query.answer': toCommands,
  'grant.given': toRequests,
  'grant.refused': toRequests,
  'grant.askActive': toRequests
}

/** Handlers by the part of the kind before its first dot. */
const byFamily: Readonly<Record<string, MessageHandler | undefined>> = {
  consensus: toVoter,
  settings: toDissemination,
  lease: toZone,
  owner: toZone,
  member: toZone,
  grant: toZone,
  budget: toZone
}

function findHandler (kind: string): MessageHandler | undefined {
  return byKind[kind] ?? byFamily[kind.slice(0, kind.indexOf('.'))]
}

/** Hands a message to its system. An unknown kind, from a newer version, is counted and dropped. */
export function handleMessage (systems: Systems, from: HostId, message: PeerMessage, context: RunContext): void {
  const handler = findHandler(message.kind)
  if (handler === undefined) {
    context.emit({ kind: 'metric', type: 'count', name: 'peer.unknown_message', value: 1 })
    return
  }
  handler(systems, from, message as never, context)
}
