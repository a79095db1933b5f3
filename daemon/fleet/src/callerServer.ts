/** The callers' listener and the readiness page of an entry host. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { parseAddress } from '@catkinferry/core.types'
import type { CallerLimits } from '@catkinferry/core.types'

/** Bounds until a configuration says otherwise. */
const FIRST_LIMITS: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
/** The largest header that any configuration may allow. */
const MAX_HEADER_BYTES = 64 * 1024
/** A caller's body must have come whole by then. */
const BODY_TIMEOUT_MS = 60_000
const CHECK_INTERVAL_MS = 1_000
/** Connections that wait to be taken, at most. */
const BACKLOG = 1_024

export interface CallerServer {
  readonly setLimits: (limits: CallerLimits) => void
  readonly address: string
  /** Closes connections that carry no request, but for new ones whose first request is still to come. */
  readonly closeIdle: () => void
  /** Takes no new connections and no first requests; what is under way goes on. */
  readonly refuse: () => void
  /** Closes what is left. */
  readonly close: () => void
}

interface Connection {
  /** Answers that are not written out. */
  answers: number
  /** A request has come on it. */
  isUsed: boolean
}

/** Opens the listener at `ip:port`. */
export async function openCallerServer (address: string, handle: RequestListener): Promise<CallerServer> {
  const server: Server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    noDelay: true,
    headersTimeout: FIRST_LIMITS.headerTimeoutMs,
    keepAliveTimeout: FIRST_LIMITS.idleTimeoutMs,
    requestTimeout: BODY_TIMEOUT_MS,
    connectionsCheckingInterval: CHECK_INTERVAL_MS
  }, handle)
  const connections = new Map<Socket, Connection>()
  let refusing = false
  server.on('connection', socket => {
    connections.set(socket, { answers: 0, isUsed: false })
    socket.once('close', () => connections.delete(socket))
  })
  server.prependListener('request', ({ socket }, res) => {
    const connection = connections.get(socket)
    if (connection === undefined) return
    connection.isUsed = true
    connection.answers += 1
    res.once('close', () => { connection.answers -= 1 })
  })
  server.listen({ ...parseAddress(address), backlog: BACKLOG })
  await once(server, 'listening')
  const bound = server.address() as AddressInfo
  return {
    address: `${bound.address}:${bound.port}`,
    setLimits: ({ headerTimeoutMs, idleTimeoutMs }) => {
      server.headersTimeout = headerTimeoutMs
      server.keepAliveTimeout = idleTimeoutMs
    },
    closeIdle: () => {
      for (const [socket, { answers, isUsed }] of connections) if (answers === 0 && (isUsed || refusing)) socket.destroy()
    },
    // Not `server.close()` of HTTP: it destroys connections whose answer is not yet written out.
    refuse: () => {
      refusing = true
      if (server.listening) NetServer.prototype.close.call(server)
    },
    close: () => { for (const socket of connections.keys()) socket.destroySoon() }
  }
}
