/**
 * What each connection to an endpoint has carried. An endpoint may write a response twice, so a response without an id is matched
 * only to the first request of a connection, and a refusal only to the first request of that id.
 */
import type { Agent } from 'node:http'
import type { Socket } from 'node:net'
import type { RequestId } from '@catkinferry/core.types'

/** A connection that has refused more requests is closed, so that their ids take no more memory. */
const MAX_REFUSED = 256

export interface ConnectionUses {
  /** Returns whether the request is the first one on its connection. */
  readonly recordSent: (socket: Socket) => boolean
  readonly recordRefused: (socket: Socket, requestId: RequestId) => void
  readonly hasRefused: (socket: Socket, requestId: RequestId) => boolean
  /** Closes the idle connections on which this request was refused before: a copy of that refusal would look like a new one. */
  readonly closeRefused: (agent: Agent, requestId: RequestId) => void
}

/** Creates an empty record of the connections to one endpoint. */
export function createConnectionUses (): ConnectionUses {
  const used = new WeakSet<Socket>()
  const refused = new WeakMap<Socket, Set<RequestId>>()
  const hasRefused = (socket: Socket, requestId: RequestId): boolean => refused.get(socket)?.has(requestId) === true
  return {
    recordSent: socket => {
      const isFirst = !used.has(socket)
      used.add(socket)
      return isFirst
    },
    recordRefused: (socket, requestId) => {
      const ids = refused.get(socket) ?? new Set()
      refused.set(socket, ids.add(requestId))
      if (ids.size > MAX_REFUSED) socket.destroy()
    },
    hasRefused,
    closeRefused: (agent, requestId) => {
      for (const sockets of Object.values(agent.freeSockets)) {
        const closing = sockets?.filter(socket => hasRefused(socket, requestId)) ?? []
        for (const socket of closing) socket.destroy()
        // The agent drops destroyed sockets only from the front before it takes one from the end.
        if (closing.length > 0) sockets?.sort((one, other) => Number(other.destroyed) - Number(one.destroyed))
      }
    }
  }
}
