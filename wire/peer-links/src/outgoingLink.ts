/** The link over which this host sends messages to one peer. It is opened for the first message, reopened after a failure and closed when idle. */
import { connect as connectTcp } from 'node:net'
import type { Socket } from 'node:net'
import { connect as connectTls } from 'node:tls'
import type { TLSSocket } from 'node:tls'
import type { Logger } from '@catkinferry/core.logger'
import { parseAddress } from '@catkinferry/core.types'
import type { DurationMs, HostId } from '@catkinferry/core.types'
import { createFrameReader, encodeFrame } from '@catkinferry/wire.frames'
import { isCertifiedFor } from './certificates.ts'
import type { CertificateStore } from './certificates.ts'
import { LINK_IDLE_TIMEOUT_MS, MAX_HELLO_BYTES, MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS, OPEN_TIMEOUT_MS } from './constants.ts'
import { checkHello, createHello } from './hello.ts'
import type { LinkMessage } from './hello.ts'
import { createSendQueue } from './sendQueue.ts'
import type { SendQueue } from './sendQueue.ts'

export interface OutgoingLinkOptions {
  readonly self: HostId
  readonly group: string
  readonly peer: HostId
  /** `ip:port` */
  readonly address: string
  /** Source IP of the link. */
  readonly localIp?: string
  readonly certificates?: CertificateStore
  readonly pingIntervalMs: number
  readonly silenceTimeoutMs: number
  readonly getNow: () => number
  /** From 0 to 1, for the jitter of retries. */
  readonly nextFraction: () => number
  readonly onLink: (up: boolean) => void
  readonly logger: Logger
}

export interface OutgoingLink {
  readonly send: (frame: Uint8Array, isBulk: boolean) => boolean
  readonly getStatus: () => LinkStatus
  readonly close: () => void
}

export interface LinkStatus {
  readonly peer: HostId
  readonly up: boolean
  readonly dropped: number
  /** Number of times that the link was opened. */
  readonly opened: number
}

function encodeLinkMessage (message: LinkMessage): Uint8Array {
  const frame = encodeFrame(message)
  if (!frame.ok) throw new Error(frame.failure.message)
  return frame.value
}

const PING = encodeLinkMessage({ kind: 'link.ping' })

interface LinkState {
  readonly opts: OutgoingLinkOptions
  readonly queue: SendQueue
  socket: Socket | undefined
  up: boolean
  closed: boolean
  failures: number
  opened: number
  lastReceivedAt: number
  openedAt: number
  /** When the link was last checked. */
  checkedAt: number
  lastSendAt: number
  retryTimer: NodeJS.Timeout | undefined
  pingTimer: NodeJS.Timeout | undefined
}

function open (state: LinkState): void {
  const { opts } = state
  const { host, port } = parseAddress(opts.address)
  const from = opts.localIp === undefined ? {} : { localAddress: opts.localIp }
  const socket = opts.certificates === undefined
    ? connectTcp({ ...from, host, port, noDelay: true })
    : connectTls({ ...from, host, port, ...opts.certificates.get(), servername: '', checkServerIdentity: () => undefined, minVersion: 'TLSv1.3' })
  state.socket = socket
  state.openedAt = opts.getNow()
  state.lastReceivedAt = state.openedAt
  const reader = createFrameReader({ maxFrameBytes: MAX_HELLO_BYTES })
  socket.on(opts.certificates === undefined ? 'connect' : 'secureConnect', () => sendHello(state, socket))
  socket.on('data', chunk => {
    state.lastReceivedAt = opts.getNow()
    const read = reader.read(chunk)
    if (!read.ok) fail(state, socket, read.failure.message)
    else for (const value of read.value) receive(state, socket, value)
  })
  socket.on('drain', () => writeQueued(state))
  socket.on('error', error => fail(state, socket, error.message))
  socket.on('close', () => fail(state, socket, 'the peer closed the connection'))
  if (state.pingTimer !== undefined) return
  state.checkedAt = opts.getNow()
  state.pingTimer = setInterval(() => {
    recordPause(state, opts.pingIntervalMs)
    // Sockets are read first. Another step may take long after they were.
    setImmediate(() => {
      recordPause(state, 0)
      checkLink(state)
    })
  }, opts.pingIntervalMs)
}

function sendHello (state: LinkState, socket: Socket): void {
  const { opts } = state
  socket.setNoDelay(true)
  if (opts.certificates !== undefined && !isCertifiedFor(socket as TLSSocket, opts.peer)) fail(state, socket, 'the certificate of the peer does not name it')
  else socket.write(encodeLinkMessage(createHello(opts.self, opts.group)))
}

/** Handles the peer's hello. All later frames are pongs, of which only the time of arrival is used. */
function receive (state: LinkState, socket: Socket, value: unknown): void {
  const { opts } = state
  if (state.up || state.socket !== socket) return
  const checked = checkHello(value, opts.group)
  if ('refused' in checked) {
    fail(state, socket, checked.refused)
    return
  }
  if (checked.host !== opts.peer) {
    fail(state, socket, `host '${checked.host}' answers at its address`)
    return
  }
  state.up = true
  state.failures = 0
  state.opened += 1
  opts.onLink(true)
  writeQueued(state)
}

function writeQueued (state: LinkState): void {
  const { socket, queue, opts } = state
  if (!state.up || socket === undefined) return
  for (let frame = queue.take(opts.getNow()); frame !== undefined; frame = queue.take(opts.getNow())) {
    if (!socket.write(frame)) return
  }
}

/** Time in which this host read no sockets, such as a long step of its event loop, does not count as silence of the peer. */
function recordPause (state: LinkState, expectedMs: DurationMs): void {
  const now = state.opts.getNow()
  const lateMs = Math.max(0, now - state.checkedAt - expectedMs)
  state.checkedAt = now
  state.lastReceivedAt = Math.min(now, state.lastReceivedAt + lateMs)
  state.openedAt = Math.min(now, state.openedAt + lateMs)
}

function checkLink (state: LinkState): void {
  const { socket, up, opts } = state
  const now = opts.getNow()
  if (socket === undefined) return
  if (now - state.lastSendAt > LINK_IDLE_TIMEOUT_MS) disconnect(state, socket)
  else if (!up && now - state.openedAt > OPEN_TIMEOUT_MS) fail(state, socket, 'it was not ready within the time limit')
  else if (up && now - state.lastReceivedAt > opts.silenceTimeoutMs) fail(state, socket, `nothing was received for ${Math.round(now - state.lastReceivedAt)} ms`)
  else if (up && !socket.writableNeedDrain) socket.write(PING)
}

function disconnect (state: LinkState, socket: Socket): void {
  state.socket = undefined
  socket.destroy()
  const wasUp = state.up
  state.up = false
  if (wasUp) state.opts.onLink(false)
}

function fail (state: LinkState, socket: Socket, reason: string): void {
  if (state.socket !== socket) return
  disconnect(state, socket)
  if (state.closed) return
  const { logger, peer, nextFraction } = state.opts
  logger.log(state.failures === 0 ? 'warn' : 'debug', `the link failed: ${reason}`, { step: 'link', peer })
  const delayMs = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** state.failures)
  state.failures += 1
  state.retryTimer = setTimeout(() => openIfNeeded(state), delayMs * (0.5 + nextFraction() / 2))
}

function openIfNeeded (state: LinkState): void {
  state.retryTimer = undefined
  if (state.closed || state.socket !== undefined || state.opts.getNow() - state.lastSendAt > LINK_IDLE_TIMEOUT_MS) return
  open(state)
}

function send (state: LinkState, frame: Uint8Array, isBulk: boolean): boolean {
  if (state.closed) return false
  const now = state.opts.getNow()
  state.lastSendAt = now
  const queued = state.queue.add(frame, isBulk, now)
  if (!state.up) {
    if (state.retryTimer === undefined) openIfNeeded(state)
  } else if (state.socket?.writableNeedDrain !== true) {
    writeQueued(state)
  }
  return queued
}

function close (state: LinkState): void {
  state.closed = true
  clearTimeout(state.retryTimer)
  clearInterval(state.pingTimer)
  const { socket } = state
  state.socket = undefined
  state.up = false
  socket?.destroySoon()
}

/** Creates the link; the connection is opened when the first message is sent. */
export function createOutgoingLink (opts: OutgoingLinkOptions): OutgoingLink {
  const state: LinkState = {
    opts,
    queue: createSendQueue(),
    socket: undefined,
    up: false,
    closed: false,
    failures: 0,
    opened: 0,
    lastReceivedAt: 0,
    openedAt: 0,
    checkedAt: 0,
    lastSendAt: Number.NEGATIVE_INFINITY,
    retryTimer: undefined,
    pingTimer: undefined
  }
  return {
    send: (frame, isBulk) => send(state, frame, isBulk),
    getStatus: () => ({ peer: opts.peer, up: state.up, dropped: state.queue.getDropped(), opened: state.opened }),
    close: () => close(state)
  }
}
