/** Accepts the links over which peers send messages to this host. */
import { createServer as createTcpServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { createServer as createTlsServer } from 'node:tls'
import type { Server as TlsServer, TLSSocket } from 'node:tls'
import { startTurningLimit } from '@catkinferry/core.clock'
import type { Logger } from '@catkinferry/core.logger'
import { parseAddress } from '@catkinferry/core.types'
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import { createFrameReader, encodeFrame } from '@catkinferry/wire.frames'
import type { FrameReader } from '@catkinferry/wire.frames'
import { decodeCompact } from '@catkinferry/wire.messages'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { isCertifiedFor } from './certificates.ts'
import type { CertificateStore } from './certificates.ts'
import { MAX_HELLO_BYTES, MAX_INCOMING_LINKS, OPEN_TIMEOUT_MS } from './constants.ts'
import { checkHello, createHello } from './hello.ts'
import type { LinkMessage } from './hello.ts'

export interface IncomingLinksOptions {
  readonly self: HostId
  readonly group: string
  /** `ip:port` */
  readonly listen: string
  readonly certificates?: CertificateStore
  readonly pingIntervalMs: number
  readonly silenceTimeoutMs: number
  readonly getNow: () => MonotonicMs
  readonly isPeer: (host: HostId) => boolean
  readonly onMessage: (from: HostId, message: PeerMessage) => void
  readonly logger: Logger
}

export interface IncomingLinks {
  /** Resolves with the port once listening. */
  readonly open: () => Promise<number>
  /** Applies changed certificates to new links. */
  readonly updateCertificates: () => void
  readonly close: () => Promise<void>
}

/** Intervals that a peer has for a ping after its time of silence. */
const PINGS_BEFORE_CLOSE = 4

interface Incoming {
  readonly socket: Socket
  reader: FrameReader
  host: HostId | undefined
  lastPongAt: MonotonicMs
}

function encodeLinkMessage (message: LinkMessage): Uint8Array {
  const frame = encodeFrame(message)
  if (!frame.ok) throw new Error(frame.failure.message)
  return frame.value
}

const PONG = encodeLinkMessage({ kind: 'link.pong' })

function hasKind (value: unknown): value is { kind: string } {
  return typeof value === 'object' && value !== null && typeof (value as { kind?: unknown }).kind === 'string'
}

/** Sends a pong for any received bytes, at most once per interval: during a long transfer the sender's pings wait behind it. */
function sendPongIfDue (incoming: Incoming, { getNow, pingIntervalMs }: IncomingLinksOptions): void {
  const now = getNow()
  if (incoming.host === undefined || now - incoming.lastPongAt < pingIntervalMs) return
  incoming.lastPongAt = now
  incoming.socket.write(PONG)
}

/** Waits for further pings first: after a pause of this host, what the peer has sent is still unread, and a pause of both left nothing to read. */
function destroyIfSilent (socket: Socket, pingIntervalMs: number): void {
  const { bytesRead } = socket
  const limit = startTurningLimit(pingIntervalMs * PINGS_BEFORE_CLOSE, () => { if (socket.bytesRead === bytesRead) socket.destroy() })
  socket.once('close', limit.cancel)
}

/** Creates the listener without opening it. */
export function createIncomingLinks (opts: IncomingLinksOptions): IncomingLinks {
  const sockets = new Set<Socket>()
  const server = createServer()
  server.on('error', error => opts.logger.error(`the listener for peer links failed: ${error.message}`, { step: 'listen' }))

  function createServer (): Server | TlsServer {
    if (opts.certificates === undefined) return createTcpServer({ noDelay: true }, accept)
    const tlsServer = createTlsServer({ ...opts.certificates.get(), requestCert: true, rejectUnauthorized: true, minVersion: 'TLSv1.3', noDelay: true }, accept)
    tlsServer.on('tlsClientError', error => opts.logger.warn(`the TLS handshake of a peer failed: ${error.message}`, { step: 'link' }))
    return tlsServer
  }

  function accept (socket: Socket): void {
    if (sockets.size >= MAX_INCOMING_LINKS) {
      socket.destroy()
      return
    }
    sockets.add(socket)
    const incoming: Incoming = { socket, reader: createFrameReader({ maxFrameBytes: MAX_HELLO_BYTES }), host: undefined, lastPongAt: 0 }
    socket.setTimeout(OPEN_TIMEOUT_MS)
    socket.on('timeout', () => destroyIfSilent(socket, opts.pingIntervalMs))
    socket.on('error', () => socket.destroy())
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', chunk => receiveChunk(incoming, chunk))
  }

  function receiveChunk (incoming: Incoming, chunk: Uint8Array): void {
    sendPongIfDue(incoming, opts)
    const read = incoming.reader.read(chunk)
    if (!read.ok) {
      refuse(incoming, read.failure.message)
      return
    }
    for (const value of read.value) {
      if (incoming.socket.destroyed) return
      receiveValue(incoming, decodeCompact(value))
    }
  }

  function receiveValue (incoming: Incoming, value: unknown): void {
    if (incoming.host === undefined) receiveHello(incoming, value)
    else if (!hasKind(value)) refuse(incoming, 'a frame does not contain a message')
    else if (value.kind !== 'link.ping') opts.onMessage(incoming.host, value as PeerMessage)
  }

  function receiveHello (incoming: Incoming, value: unknown): void {
    const checked = checkHello(value, opts.group)
    if ('refused' in checked) refuse(incoming, checked.refused)
    else if (!opts.isPeer(checked.host)) refuse(incoming, `host '${checked.host}' is not in the settings`)
    else if (opts.certificates !== undefined && !isCertifiedFor(incoming.socket as TLSSocket, checked.host)) refuse(incoming, `the certificate does not name host '${checked.host}'`)
    else acceptHost(incoming, checked.host)
  }

  /** The reader can be replaced here, because the peer sends nothing more before it has read the hello in return. */
  function acceptHost (incoming: Incoming, host: HostId): void {
    incoming.host = host
    incoming.reader = createFrameReader()
    incoming.socket.setTimeout(opts.silenceTimeoutMs)
    incoming.socket.write(encodeLinkMessage(createHello(opts.self, opts.group)))
  }

  function refuse ({ socket, host }: Incoming, reason: string): void {
    opts.logger.warn(`a link was refused: ${reason}`, { step: 'link', peer: host ?? socket.remoteAddress })
    socket.destroy()
  }

  return {
    open: () => new Promise((resolve, reject) => {
      const { host, port } = parseAddress(opts.listen)
      server.once('error', reject)
      server.listen({ host, port }, () => {
        server.off('error', reject)
        const address = server.address()
        resolve(typeof address === 'object' && address !== null ? address.port : port)
      })
    }),
    updateCertificates: () => {
      if (opts.certificates !== undefined) (server as TlsServer).setSecureContext(opts.certificates.get())
    },
    close: () => new Promise(resolve => {
      for (const socket of sockets) socket.destroySoon()
      server.close(() => resolve())
    })
  }
}
