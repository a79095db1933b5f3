/**
 * Buffers callers' request bodies, up to a limit per body and a limit for all bodies together. The relay reads each body
 * completely before the first attempt, so that another attempt can send it again.
 */
import type { IncomingMessage } from 'node:http'
import { MAX_BUFFERED_BODY_BYTES } from './constants.ts'
import type { Exchange } from './exchange.ts'

export type BodyRead =
  | { readonly kind: 'read', readonly body: Buffer }
  | { readonly kind: 'tooLarge' }
  /** The bodies of all requests together exceed `MAX_BUFFERED_BODY_BYTES`. */
  | { readonly kind: 'noRoom' }
  /** The caller disconnected or the deadline passed first. */
  | { readonly kind: 'ended' }

export interface BodyReader {
  /** Begins to read a body before its request is taken. Unread bytes would keep the end of the connection from being noticed. */
  readonly readAhead: (req: IncomingMessage, maxBytes: number) => void
  readonly read: (exchange: Exchange, maxBytes: number) => Promise<BodyRead>
  /** Stops counting the body of a request that has ended or was not taken; what still arrives of it is discarded. */
  readonly release: (request: Pick<Exchange, 'req'>) => void
}

/** A body that is being read, or is read. */
interface Reading {
  readonly result: Promise<BodyRead>
  readonly stop: () => void
  bytes: number
}

export function createBodyReader (): BodyReader {
  const readings = new Map<IncomingMessage, Reading>()
  let totalBytes = 0

  function begin (req: IncomingMessage, maxBytes: number): Reading {
    const chunks: Buffer[] = []
    let resolve: (result: BodyRead) => void = () => undefined
    const result = new Promise<BodyRead>(_resolve => { resolve = _resolve })
    const reading: Reading = { result, stop: () => stop('ended'), bytes: 0 }
    /** Discards the rest of the body, which no longer counts. */
    const stop = (kind: 'tooLarge' | 'noRoom' | 'ended'): void => {
      req.off('data', collect)
      req.resume()
      resolve({ kind })
    }
    const collect = (chunk: Buffer): void => {
      chunks.push(chunk)
      reading.bytes += chunk.length
      totalBytes += chunk.length
      if (reading.bytes > maxBytes) stop('tooLarge')
      else if (totalBytes > MAX_BUFFERED_BODY_BYTES) stop('noRoom')
    }
    req.on('data', collect)
    req.on('end', () => resolve({ kind: 'read', body: Buffer.concat(chunks) }))
    req.on('error', () => stop('ended'))
    readings.set(req, reading)
    return reading
  }

  return {
    readAhead: begin,
    read: async (exchange, maxBytes) => {
      const { result, stop } = readings.get(exchange.req) ?? begin(exchange.req, maxBytes)
      exchange.interrupt = stop
      const read = await result
      exchange.interrupt = undefined
      return read
    },
    release: ({ req }) => {
      const reading = readings.get(req)
      if (reading === undefined) return
      readings.delete(req)
      totalBytes -= reading.bytes
      reading.stop()
    }
  }
}
