/** Faulty endpoint that writes without end. */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

export interface EndlessServer {
  readonly address: string
  readonly countOpen: () => number
  readonly close: () => void
}

/** Starts a server that writes `first` after the first bytes of each connection, and then `repeated` until the connection is closed. */
export async function startEndlessServer (first: string, repeated: string): Promise<EndlessServer> {
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.on('close', () => sockets.delete(socket))
    const write = (): void => {
      if (repeated === '') return
      while (!socket.destroyed && socket.write(repeated));
    }
    socket.once('data', () => {
      socket.on('drain', write)
      socket.write(first)
      write()
    })
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
