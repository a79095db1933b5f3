/**
 * Passes what arrives on a connection to the parser of the HTTP server, which keeps some kilobytes for each request that it has
 * read. What may not be parsed yet is held as it came, so that the end of the connection is seen behind it, until there is too
 * much of it: then the socket is not read, and the caller's writes stop being accepted.
 */
import type { Socket } from 'node:net'
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** What is parsed at once. The shortest requests have about 25 bytes, so this bounds how far one step exceeds the limit on requests. */
const PART_BYTES = 2 * 1024
/** Above this, the socket is not read: the largest piece that one read of a socket returns. */
const MAX_HELD_BYTES = 64 * 1024

export interface ConnectionInput {
  /** Until when bytes were held, which is now if some are, and for how long. */
  readonly getHeld: () => { readonly until: MonotonicMs, readonly ms: DurationMs }
  /** Parses what is held, as far as it may be parsed by now. */
  readonly update: () => void
  /** Discards what is held and what still arrives. */
  readonly ignore: () => void
}

export interface ConnectionInputOptions {
  /** A connection that the HTTP server has taken over. */
  readonly socket: Socket
  readonly mayParse: () => boolean
  readonly getNow: () => MonotonicMs
}

export function createConnectionInput ({ socket, mayParse, getNow }: ConnectionInputOptions): ConnectionInput {
  const parsers = socket.listeners('data') as Array<(part: Buffer) => void>
  const held: Buffer[] = []
  let heldBytes = 0
  let heldSince: MonotonicMs | undefined
  let lastHeld = { until: Number.NEGATIVE_INFINITY, ms: 0 }
  let isParsing = false
  /** Whether the socket is paused by this module, and not by the HTTP server for a caller that does not read or a body that is not read. */
  let isStopped = false

  function hold (chunk: Buffer): void {
    const last = held.at(-1)
    // Many small pieces would take more memory than their bytes.
    if (last !== undefined && last.length + chunk.length <= PART_BYTES) held[held.length - 1] = Buffer.concat([last, chunk])
    else held.push(chunk)
    heldBytes += chunk.length
  }

  function takePart (): Buffer | undefined {
    const [first] = held
    if (first === undefined) return undefined
    const part = first.subarray(0, PART_BYTES)
    if (part.length === first.length) held.shift()
    else held[0] = first.subarray(PART_BYTES)
    heldBytes -= part.length
    return part
  }

  const getHeld = (): typeof lastHeld => heldSince === undefined ? lastHeld : { until: getNow(), ms: getNow() - heldSince }

  function process (): void {
    if (isParsing) return
    isParsing = true
    // The HTTP server gives its parser to another connection once this one is destroyed.
    while (!socket.destroyed && !socket.isPaused() && mayParse()) {
      const part = takePart()
      if (part === undefined) break
      for (const parse of parsers) parse(part)
    }
    isParsing = false
    if (heldBytes > 0) heldSince ??= getNow()
    else if (heldSince !== undefined) {
      lastHeld = getHeld()
      heldSince = undefined
    }
    if (heldBytes <= MAX_HELD_BYTES || socket.isPaused()) return
    isStopped = true
    socket.pause()
  }

  const receive = (chunk: Buffer): void => {
    // Fast path: most connections have one request at a time.
    if (chunk.length <= PART_BYTES && heldBytes === 0 && !isParsing && mayParse()) {
      for (const parse of parsers) parse(chunk)
      return
    }
    hold(chunk)
    process()
  }
  // From here on the HTTP server does not read the socket past its stream.
  socket.on('data', receive)
  for (const parse of parsers) socket.off('data', parse)
  // The HTTP server resumes the socket too, to read a body or once a caller has read its responses.
  socket.on('resume', process)

  return {
    getHeld,
    update: () => {
      if (!isStopped) process()
      else if (mayParse()) {
        isStopped = false
        socket.resume()
      }
    },
    ignore: () => {
      socket.off('resume', process)
      socket.off('data', receive)
      held.length = 0
      heldBytes = 0
      socket.on('data', () => undefined)
      socket.resume()
    }
  }
}
