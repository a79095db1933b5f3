/** The callers' listener and the readiness page of an entry host. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { Socket } from 'node:net'
import type { CallerLimits } from '@catkinferry/core.types'

/** Bounds until a configuration says otherwise. */
const FIRST_LIMITS: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
/** The largest header that any configuration may allow. */
const MAX_HEADER_BYTES = 64 * 1024
/** A caller's body must have come whole by then. */
const BODY_TIMEOUT_MS = 60_000
const CHECK_INTERVAL_MS = 1_000

export interface CallerServer {
  readonly setLimits: (limits: CallerLimits) => void
  /** Closes connections that carry no request; the others close with their answers. */
  readonly closeIdle: () => void
  /** Takes no new connections; those that are open go on. */
  readonly refuse: () => void
  /** Closes what is left. */
  readonly close: () => void
}

/** Opens the listener at `ip:port`. */
export async function openCallerServer (address: string, handle: RequestListener): Promise<CallerServer> {
  const colon = address.lastIndexOf(':')
  const server: Server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    noDelay: true,
    headersTimeout: FIRST_LIMITS.headerTimeoutMs,
    keepAliveTimeout: FIRST_LIMITS.idleTimeoutMs,
    requestTimeout: BODY_TIMEOUT_MS,
    connectionsCheckingInterval: CHECK_INTERVAL_MS
  }, handle)
  const sockets = new Set<Socket>()
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  server.listen({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), backlog: 1024 })
  await once(server, 'listening')
  return {
    setLimits: ({ headerTimeoutMs, idleTimeoutMs }) => {
      server.headersTimeout = headerTimeoutMs
      server.keepAliveTimeout = idleTimeoutMs
    },
    closeIdle: () => server.closeIdleConnections(),
    // Not `server.close()` of HTTP: it destroys connections whose answer is not yet written out.
    refuse: () => { if (server.listening) NetServer.prototype.close.call(server) },
    close: () => { for (const socket of sockets) socket.destroySoon() }
  }
}
