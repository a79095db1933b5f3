/**
 * Buffers callers' request bodies, up to a limit per body and a limit for all bodies together. The relay reads each body
 * completely before the first attempt, so that another attempt can send it again.
 */
import type { IncomingMessage } from 'node:http'
import { BufferLimit, createHeldBuffer, createMemoryBudget } from '@catkinferry/core.memory-budget'
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
}

/** All bodies share the limit; none gives way to another. */
const OWNER = 'callers'

/** The length that the caller states; undefined for a body in chunks. */
function readLength ({ headers = {} }: IncomingMessage): number | undefined {
  return headers['content-length'] === undefined ? undefined : Number(headers['content-length'])
}

export function createBodyReader (): BodyReader {
  const readings = new Map<IncomingMessage, Reading>()
  const budget = createMemoryBudget({ maxBytes: MAX_BUFFERED_BODY_BYTES, maxOwnerBytes: MAX_BUFFERED_BODY_BYTES })

  function begin (req: IncomingMessage, maxBytes: number): Reading {
    const length = readLength(req) ?? maxBytes
    const content = createHeldBuffer({ budget, owner: OWNER, maxBytes: Math.min(length, maxBytes), onEvicted: () => undefined })
    let resolve: (result: BodyRead) => void = () => undefined
    const result = new Promise<BodyRead>(_resolve => { resolve = _resolve })
    /** Drops what was read and discards the rest. */
    const stop = (kind: 'tooLarge' | 'noRoom' | 'ended'): void => {
      content.release()
      req.off('data', collect)
      req.resume()
      resolve({ kind })
    }
    const collect = (chunk: Buffer): void => {
      const limit = content.add(chunk)
      if (limit !== undefined) stop(limit === BufferLimit.MESSAGE ? 'tooLarge' : 'noRoom')
    }
    const reading: Reading = { result, stop: () => stop('ended') }
    readings.set(req, reading)
    req.on('error', () => stop('ended'))
    if (length > Math.max(0, maxBytes)) {
      stop('tooLarge')
      return reading
    }
    req.on('data', collect)
    req.on('end', () => resolve({ kind: 'read', body: content.getBytes() }))
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
      reading.stop()
    }
  }
}
