/** A small HTTP server for pages that other programs read. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import { parseAddress } from '@catkinferry/core.types'

const IDLE_MS = 10_000

/** Opens a server at `ip:port`. Rejects when the address cannot be had. */
export async function openTextServer (address: string, handle: RequestListener): Promise<Server> {
  const server = createServer({ keepAliveTimeout: IDLE_MS, noDelay: true }, handle)
  server.listen(parseAddress(address))
  await once(server, 'listening')
  return server
}
