/** HTTP listeners of a host. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import type { AddressInfo } from 'node:net'

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
const IDLE_SWEEP_INTERVAL_MS = 20
const MAX_CONNECTIONS = 16_384

/** Splits `ip:port`, with brackets around an IP of version 6. */
export function parseAddress (address: string): { readonly host: string, readonly port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

function getUrl (server: Server): string {
  const { address, family, port } = server.address() as AddressInfo
  return family === 'IPv6' ? `http://[${address}]:${port}` : `http://${address}:${port}`
}

/** Opens a listener; rejects when the address cannot be had. */
export async function openListener (address: string, handle: RequestListener): Promise<Listener> {
  const server = createServer({ headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, noDelay: true }, handle)
  server.maxConnections = MAX_CONNECTIONS
  server.listen(parseAddress(address))
  await once(server, 'listening')
  const closed = once(server, 'close')
  return {
    url: getUrl(server),
    close: async () => {
      server.close()
      // Answers that end only now leave connections that the caller would keep alive.
      const sweep = setInterval(() => server.closeIdleConnections(), IDLE_SWEEP_INTERVAL_MS)
      server.closeIdleConnections()
      await closed
      clearInterval(sweep)
    },
    cut: () => { server.closeAllConnections() }
  }
}
