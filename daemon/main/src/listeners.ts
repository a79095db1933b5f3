/** HTTP listeners of a host, for callers and operators. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { parseAddress } from '@catkinferry/core.types'

export interface Listener {
  /** `http://ip:port` as bound. */
  readonly url: string
  /** Stops listening and closes idle connections; resolves when all responses in flight have been sent. */
  readonly close: () => Promise<void>
  /** Closes all connections immediately. */
  readonly cut: () => void
}

const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 60_000
const KEEP_ALIVE_TIMEOUT_MS = 30_000
const MAX_CONNECTIONS = 16_384

function getUrl (server: Server): string {
  const { address, family, port } = server.address() as AddressInfo
  return family === 'IPv6' ? `http://[${address}]:${port}` : `http://${address}:${port}`
}

/** Opens a listener. Rejects if the address cannot be bound. */
export async function openListener (address: string, handle: RequestListener): Promise<Listener> {
  const server = createServer({ headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, noDelay: true }, handle)
  const pendingResponses = new Map<Socket, number>()
  let closing = false
  server.on('connection', (socket: Socket) => {
    pendingResponses.set(socket, 0)
    socket.once('close', () => pendingResponses.delete(socket))
  })
  server.prependListener('request', ({ socket }, res) => {
    pendingResponses.set(socket, (pendingResponses.get(socket) ?? 0) + 1)
    res.once('close', () => {
      if (socket.destroyed) return
      const remaining = (pendingResponses.get(socket) ?? 1) - 1
      pendingResponses.set(socket, remaining)
      if (closing && remaining === 0) socket.end()
    })
  })
  server.maxConnections = MAX_CONNECTIONS
  server.listen(parseAddress(address))
  await once(server, 'listening')
  const closed = once(server, 'close')
  return {
    url: getUrl(server),
    close: async () => {
      closing = true
      // `close()` of the HTTP server would destroy connections whose response has ended but is not completely sent.
      NetServer.prototype.close.call(server)
      for (const [socket, count] of pendingResponses) if (count === 0) socket.destroy()
      await closed
    },
    cut: () => { server.closeAllConnections() }
  }
}
