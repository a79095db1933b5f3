/** HTTP server on loopback and JSON helpers shared by the fakes. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'

export interface FakeServer {
  /** `http://127.0.0.1:port` */
  readonly url: string
  /** Closes all open connections. */
  readonly cutAll: () => void
  readonly close: () => Promise<void>
}

export type FakeHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>

/** Listens on a loopback port; port 0 selects a free one. */
export async function openFakeServer (port: number, handle: FakeHandler): Promise<FakeServer> {
  const server = createServer((req, res) => {
    handle(req, res).catch(() => { res.destroy() })
  })
  server.listen(port, '127.0.0.1')
  await once(server, 'listening')
  const address = server.address() as AddressInfo
  return {
    url: `http://127.0.0.1:${address.port}`,
    cutAll: () => { server.closeAllConnections() },
    close: async () => {
      const closed = once(server, 'close')
      server.close()
      server.closeAllConnections()
      await closed
    }
  }
}

/** Reads the complete body as UTF-8 text. */
export async function readBody (req: IncomingMessage): Promise<string> {
  const parts: Buffer[] = []
  for await (const part of req) parts.push(part as Buffer)
  return Buffer.concat(parts).toString('utf8')
}

/** Ends the response with JSON. */
export function sendJson (res: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
  res.writeHead(status, { 'content-type': 'application/json', ...headers })
  res.end(JSON.stringify(body))
}
