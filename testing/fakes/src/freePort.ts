/** Ports on loopback for hosts that have to know their address before they listen. */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

/** Finds a port of 127.0.0.1 on which nothing listens. */
export async function findFreePort (): Promise<number> {
  const server = createServer()
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return port
}
