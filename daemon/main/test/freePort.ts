/** Finds free ports on loopback for the hosts of tests. */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

export async function findFreePort (): Promise<number> {
  const server = createServer()
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return port
}
