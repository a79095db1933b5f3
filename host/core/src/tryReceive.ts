/** Keeps a message that cannot be handled from ending the process. Used by both kinds of hosts for each message of a peer. */
import type { HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'

/** Handles a message of a peer. One on which the handler throws, such as a malformed one, is dropped and logged. */
export function tryReceive<Message extends { readonly kind: string }> (handle: (from: HostId, message: Message, context: RunContext) => void, from: HostId, message: Message, context: RunContext): void {
  try {
    handle(from, message, context)
  } catch (error) {
    context.emit({ kind: 'log', level: 'error', message: 'dropped a message that cannot be handled', fields: { step: 'receive', peer: from, kind: message.kind, cause: String(error) } })
    context.emit({ kind: 'metric', type: 'count', name: 'peer.failed_message', value: 1 })
  }
}
