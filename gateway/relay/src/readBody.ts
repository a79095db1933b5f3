/** Buffers callers' request bodies, up to a limit per body and a limit for all bodies together. */
import { MAX_BODY_BYTES_IN_FLIGHT } from './constants.ts'
import type { Exchange } from './exchange.ts'

export type BodyRead =
  | { readonly kind: 'read', readonly body: Buffer }
  | { readonly kind: 'tooLarge' }
  /** The bodies of all requests together exceed `MAX_BODY_BYTES_IN_FLIGHT`. */
  | { readonly kind: 'noRoom' }
  | { readonly kind: 'ended' }

export interface BodyReader {
  readonly read: (exchange: Exchange, maxBytes: number) => Promise<BodyRead>
  /** Stops counting the body of a request that has ended. */
  readonly release: (exchange: Exchange) => void
}

export function createBodyReader (): BodyReader {
  const held = new Map<Exchange, number>()
  let total = 0

  function read (exchange: Exchange, maxBytes: number): Promise<BodyRead> {
    const { req } = exchange
    const parts: Buffer[] = []
    let bytes = 0
    return new Promise(resolve => {
      const finish = (result: BodyRead): void => {
        exchange.interrupt = undefined
        resolve(result)
      }
      const refuse = (kind: 'tooLarge' | 'noRoom'): void => {
        req.removeAllListeners('data')
        req.resume()
        finish({ kind })
      }
      exchange.interrupt = () => finish({ kind: 'ended' })
      req.on('data', (chunk: Buffer) => {
        parts.push(chunk)
        bytes += chunk.length
        total += chunk.length
        held.set(exchange, bytes)
        if (bytes > maxBytes) refuse('tooLarge')
        else if (total > MAX_BODY_BYTES_IN_FLIGHT) refuse('noRoom')
      })
      req.on('end', () => finish({ kind: 'read', body: Buffer.concat(parts) }))
      req.on('error', () => finish({ kind: 'ended' }))
    })
  }

  return {
    read,
    release: exchange => {
      total -= held.get(exchange) ?? 0
      held.delete(exchange)
    }
  }
}
