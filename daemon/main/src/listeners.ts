/** HTTP listeners of a host. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { parseAddress } from '@catkinferry/core.types'

export interface Listener {
  /** `http://ip:port` as bound. */
  readonly url: string
  /** Stops listening; resolves when every answer under way has ended. */
  readonly close: () => Promise<void>
  /** Cuts what is left. */
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

/** Opens a listener; rejects when the address cannot be had. */
export async function openListener (address: string, handle: RequestListener): Promise<Listener> {
  const server = createServer({ headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, noDelay: true }, handle)
  const answering = new Map<Socket, number>()
  let closing = false
  server.on('connection', (socket: Socket) => {
    answering.set(socket, 0)
    socket.once('close', () => answering.delete(socket))
  })
  server.prependListener('request', ({ socket }, res) => {
    answering.set(socket, (answering.get(socket) ?? 0) + 1)
    res.once('close', () => {
      if (socket.destroyed) return
      const left = (answering.get(socket) ?? 1) - 1
      answering.set(socket, left)
      if (closing && left === 0) socket.end()
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
      // Not `server.close()` of HTTP: it destroys connections whose answer has ended but is not yet written out.
      NetServer.prototype.close.call(server)
      for (const [socket, answers] of answering) if (answers === 0) socket.destroy()
      await closed
    },
    cut: () => { server.closeAllConnections() }
  }
}
