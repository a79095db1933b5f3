/** HTTP server for the readiness page, the metrics page and the operator API. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import { parseAddress } from '@catkinferry/core.types'

/** Idle connections are closed after this. */
const IDLE_MS = 10_000

/** Opens a server at `ip:port`. Rejects if the address cannot be bound. */
export async function openHttpServer (address: string, handle: RequestListener): Promise<Server> {
  const server = createServer({ keepAliveTimeout: IDLE_MS, noDelay: true }, handle)
  server.listen(parseAddress(address))
  await once(server, 'listening')
  return server
}
