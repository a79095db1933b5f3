/** Server on loopback that gives its connections to the test, byte for byte. */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

export interface RawServer {
  /** `127.0.0.1:port` */
  readonly address: string
  /** Number of open connections. */
  readonly countOpen: () => number
  /** Destroys all connections and takes no further ones. */
  readonly close: () => void
}

/** Starts a server that calls `onConnection` with each connection. Errors of connections are dropped. */
export async function startRawServer (onConnection: (socket: Socket) => void): Promise<RawServer> {
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.on('close', () => sockets.delete(socket))
    onConnection(socket)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    countOpen: () => sockets.size,
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}
