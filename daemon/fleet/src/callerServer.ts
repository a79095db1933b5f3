/**
 * The HTTP listener of an entry host for callers. It closes connections only after it has read what had arrived on them, and so
 * that responses on their way are not lost. It can stop accepting connections while running requests complete.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setImmediate as waitTurn } from 'node:timers/promises'
import { MAX_TIMER_MS } from '@catkinferry/core.clock'
import { parseAddress } from '@catkinferry/core.types'
import type { CallerLimits, DurationMs, MonotonicMs } from '@catkinferry/core.types'
import { CloseCause, closeGracefully, createConnections, cutConnection, hasArriving } from './callerConnections.ts'
import type { Connection, ConnectionsOptions } from './callerConnections.ts'
import { TUNNEL_REQUESTED } from './clientErrors.ts'
import { createLimitHistory, LIMIT_OVERLAP_MS } from './idleLimits.ts'

/** Limits until the first configuration arrives. */
const DEFAULT_LIMITS: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
/** Upper bound of the header size that a configuration may allow. */
const MAX_HEADER_BYTES = 64 * 1024
/** Longest time limit of a connection. Node.js adds a second to the one for idle connections. */
const MAX_LIMIT_MS = MAX_TIMER_MS - 2_000
/** Time limit for receiving a complete request. */
const REQUEST_TIMEOUT_MS = 60_000
const CHECK_INTERVAL_MS = 1_000
/** Maximum number of connections that wait to be accepted. */
const BACKLOG = 1_024
/** Longest time in which the connections that wait are accepted before the listener closes: callers may open new ones all the while. */
const MAX_ACCEPT_MS = 1_000
export interface CallerServer {
  readonly setLimits: (limits: CallerLimits) => void
  readonly address: string
  /** Closes connections on which no request is in flight or arriving, after reading what has arrived; new ones that have carried none only after `stopAccepting`. */
  readonly closeIdle: () => Promise<void>
  /** Accepts the connections that the kernel has accepted, and no more; requests in flight continue. */
  readonly stopAccepting: (maxMs?: DurationMs) => Promise<void>
  /** Closes the remaining connections. Resolves when their buffered data is sent and callers have closed them, or after `maxMs`. */
  readonly close: (maxMs: number) => Promise<void>
}

export interface CallerServerOptions extends Pick<ConnectionsOptions, 'onLateRequest' | 'onUnanswered'> {
  /** `ip:port` */
  readonly address: string
  readonly handle: RequestListener
  readonly getNow: () => MonotonicMs
  /** Called for each connection that this host closes of its own accord. */
  readonly onClose?: (cause: CloseCause) => void
}

/** Opens the listener. Rejects if the address cannot be bound. */
export async function openCallerServer ({ address, handle, getNow, onClose = () => undefined, onLateRequest, onUnanswered }: CallerServerOptions): Promise<CallerServer> {
  const idleLimits = createLimitHistory({ getNow, initialMs: DEFAULT_LIMITS.idleTimeoutMs })
  const headerLimits = createLimitHistory({ getNow, initialMs: DEFAULT_LIMITS.headerTimeoutMs })
  // The HTTP server finds an expired request at its next check; one interval more lets it answer first.
  const findHeaderLimit = (): DurationMs => headerLimits.find(getNow()) + 2 * CHECK_INTERVAL_MS
  const connections = createConnections({ getNow, findIdleLimit: idleLimits.find, findHeaderLimit, onClose, onLateRequest, onUnanswered })
  let acceptedCount = 0
  let stoppedAccepting = false

  const server: Server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    noDelay: true,
    headersTimeout: DEFAULT_LIMITS.headerTimeoutMs,
    keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: CHECK_INTERVAL_MS
  }, (req, res) => {
    if (connections.recordRequest(req, res)) handle(req, res)
    else req.resume()
  })

  server.on('connection', socket => {
    acceptedCount += 1
    connections.add(socket)
  })
  // Without a listener, the HTTP server would destroy connections at its own idle timeout.
  server.on('timeout', () => undefined)
  server.on('connect', (_req, socket) => {
    // The HTTP server has taken its listeners away, and a reset of the connection would end the process.
    socket.on('error', () => socket.destroy())
    connections.handleError(socket as Socket, TUNNEL_REQUESTED)
  })
  server.on('clientError', ({ code }: NodeJS.ErrnoException, socket) => connections.handleError(socket as Socket, code))

  const isClosable = (connection: Connection): boolean => {
    const { pending, isClosing, latest, socket } = connection
    return pending.size === 0 && !isClosing && !socket.destroyed && !hasArriving(connection) && (latest !== undefined || stoppedAccepting)
  }

  const updateHeaderTimeout = (): void => { server.headersTimeout = headerLimits.find(getNow()) }

  server.listen({ ...parseAddress(address), backlog: BACKLOG })
  await once(server, 'listening')
  const bound = server.address() as AddressInfo
  return {
    address: `${bound.address}:${bound.port}`,
    setLimits: ({ headerTimeoutMs, idleTimeoutMs }) => {
      // Configurations may have limits below 0, with which the HTTP server throws as it sets the timeout of a socket.
      const idleMs = Math.max(0, Math.min(idleTimeoutMs, MAX_LIMIT_MS))
      idleLimits.set(idleMs)
      headerLimits.set(Math.min(headerTimeoutMs, MAX_LIMIT_MS))
      server.keepAliveTimeout = idleMs
      updateHeaderTimeout()
      setTimeout(updateHeaderTimeout, LIMIT_OVERLAP_MS).unref()
    },
    closeIdle: async () => {
      for (const connection of connections.list()) {
        if (!isClosable(connection)) continue
        // Closing many takes a while, in which a request may arrive on any of the others.
        await waitTurn()
        if (!isClosable(connection)) continue
        connections.recordClose(connection, CloseCause.DRAINING)
        closeGracefully(connection)
      }
    },
    stopAccepting: async (maxMs = MAX_ACCEPT_MS) => {
      stoppedAccepting = true
      if (!server.listening) return
      // Each turn accepts one connection; the kernel resets those that were not accepted when the listener closes.
      const until = getNow() + maxMs
      for (let before = -1; before !== acceptedCount && getNow() < until;) {
        before = acceptedCount
        await waitTurn()
        await waitTurn()
      }
      // `close()` of the HTTP server would destroy connections whose response is not completely sent.
      NetServer.prototype.close.call(server)
    },
    close: async maxMs => {
      const closed = connections.list().map(async connection => {
        const { pending, socket, isClosing } = connection
        if (socket.destroyed) return
        if (!isClosing) connections.recordClose(connection, pending.size > 0 ? CloseCause.GRACE_END : CloseCause.DRAINING)
        const ended = once(socket, 'close')
        cutConnection(connection)
        await ended
      })
      await Promise.race([Promise.allSettled(closed), new Promise(resolve => setTimeout(resolve, maxMs))])
    }
  }
}
