/** HTTP server for the readiness page, the metrics page and the operator API. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import type { Socket } from 'node:net'
import { parseAddress } from '@catkinferry/core.types'
import { createConnections } from './callerConnections.ts'

/** Idle connections are closed after this. */
const IDLE_MS = 10_000
const HEADERS_TIMEOUT_MS = 60_000
const CHECK_INTERVAL_MS = 30_000
/** The HTTP server finds an expired request at its next check; one interval more lets it answer first. */
const MAX_HEADERS_MS = HEADERS_TIMEOUT_MS + 2 * CHECK_INTERVAL_MS

/** Opens a server at `ip:port`. Rejects if the address cannot be bound. */
export async function openHttpServer (address: string, handle: RequestListener): Promise<Server> {
  const connections = createConnections({ getNow: () => performance.now(), findIdleLimit: () => IDLE_MS, findHeaderLimit: () => MAX_HEADERS_MS, onClose: () => undefined })
  const server = createServer({ keepAliveTimeout: IDLE_MS, headersTimeout: HEADERS_TIMEOUT_MS, connectionsCheckingInterval: CHECK_INTERVAL_MS, noDelay: true }, (req, res) => {
    if (connections.recordRequest(req, res)) handle(req, res)
    else req.resume()
  })
  server.on('connection', connections.add)
  // Without a listener, the HTTP server would destroy connections at its own idle timeout.
  server.on('timeout', () => undefined)
  server.on('clientError', ({ code }: NodeJS.ErrnoException, socket) => connections.handleError(socket as Socket, code))
  server.listen(parseAddress(address))
  await once(server, 'listening')
  return server
}
