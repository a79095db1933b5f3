/** Dispatches each message from a peer to the system that handles its kind. */
import type { HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { PeerMessage } from '@catkinferry/wire.messages'
import type { Systems } from './systems.ts'

type MessageHandler = (systems: Systems, from: HostId, message: never, context: RunContext) => void

const forwardToVoter: MessageHandler = (systems, from, message, context) => { systems.voting?.voter.receive(from, message, context) }
const forwardToCommands: MessageHandler = (systems, from, message, context) => { systems.commands.receive(from, message, context) }
const forwardToDissemination: MessageHandler = (systems, from, message, context) => { systems.dissemination.receive(from, message, context) }
const forwardToZone: MessageHandler = (systems, from, message, context) => { systems.zone.receive(from, message, context) }
const forwardToRequests: MessageHandler = (systems, from, message, context) => { systems.requests.receive(from, message, context) }

/** Handlers of single kinds; they take precedence over those of a family. */
const handlersByKind: Readonly<Record<string, MessageHandler | undefined>> = {
  'command.submit': forwardToVoter,
  'query.ask': forwardToVoter,
  'command.outcome': forwardToCommands,
  'command.refused': forwardToCommands,
  'query.answer': forwardToCommands,
  'grant.given': forwardToRequests,
  'grant.refused': forwardToRequests,
  'grant.askActive': forwardToRequests
}

/** Handlers by family: the part of the kind before its first dot. */
const handlersByFamily: Readonly<Record<string, MessageHandler | undefined>> = {
  consensus: forwardToVoter,
  settings: forwardToDissemination,
  lease: forwardToZone,
  owner: forwardToZone,
  member: forwardToZone,
  grant: forwardToZone,
  budget: forwardToZone
}

function findHandler (kind: string): MessageHandler | undefined {
  return handlersByKind[kind] ?? handlersByFamily[kind.slice(0, kind.indexOf('.'))]
}

/** Dispatches a message. One of an unknown kind, sent by a newer version, is counted and dropped. */
export function handleMessage (systems: Systems, from: HostId, message: PeerMessage, context: RunContext): void {
  const handler = findHandler(message.kind)
  if (handler === undefined) {
    context.emit({ kind: 'metric', type: 'count', name: 'peer.unknown_message', value: 1 })
    return
  }
  handler(systems, from, message as never, context)
}
