/** Reads a caller's body whole, up to a limit. */
import type { Exchange } from './exchange.ts'

/** Resolves with the body; undefined where it is too large or the exchange has ended. */
export function readBody (exchange: Exchange, maxBytes: number): Promise<Buffer | undefined> {
  const { req } = exchange
  const parts: Buffer[] = []
  let bytes = 0
  return new Promise(resolve => {
    const finish = (body: Buffer | undefined): void => {
      exchange.interrupt = undefined
      resolve(body)
    }
    exchange.interrupt = () => finish(undefined)
    req.on('data', (chunk: Buffer) => {
      parts.push(chunk)
      bytes += chunk.length
      if (bytes <= maxBytes) return
      req.removeAllListeners('data')
      req.resume()
      finish(undefined)
    })
    req.on('end', () => finish(Buffer.concat(parts)))
    req.on('error', () => finish(undefined))
  })
}
