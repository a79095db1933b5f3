/** The link over which this host sends to one peer. It is opened when it is needed and opened anew when it fails. */
import { connect as connectTcp } from 'node:net'
import type { Socket } from 'node:net'
import { connect as connectTls } from 'node:tls'
import type { TLSSocket } from 'node:tls'
import type { Logger } from '@catkinferry/core.logger'
import { parseAddress } from '@catkinferry/core.types'
import type { HostId } from '@catkinferry/core.types'
import { createFrameReader, encodeFrame } from '@catkinferry/wire.frames'
import { isCertifiedFor } from './certificates.ts'
import type { CertificateStore } from './certificates.ts'
import { IDLE_LINK_MS, MAX_HELLO_BYTES, MAX_RETRY_MS, MIN_RETRY_MS, OPEN_TIMEOUT_MS } from './constants.ts'
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
  /** IP that the link is opened from. */
  readonly localIp?: string
  readonly certificates?: CertificateStore
  readonly pingIntervalMs: number
  readonly silenceMs: number
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
  /** How often the link was opened. */
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
  heardAt: number
  openedAt: number
  neededAt: number
  retry: NodeJS.Timeout | undefined
  probe: NodeJS.Timeout | undefined
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
  state.heardAt = state.openedAt
  const reader = createFrameReader({ maxFrameBytes: MAX_HELLO_BYTES })
  socket.on(opts.certificates === undefined ? 'connect' : 'secureConnect', () => beginTalk(state, socket))
  socket.on('data', chunk => {
    state.heardAt = opts.getNow()
    const read = reader.read(chunk)
    if (!read.ok) fail(state, socket, read.failure.message)
    else for (const value of read.value) receive(state, socket, value)
  })
  socket.on('drain', () => writeQueued(state))
  socket.on('error', error => fail(state, socket, error.message))
  socket.on('close', () => fail(state, socket, 'the peer closed it'))
  state.probe ??= setInterval(() => checkLink(state), opts.pingIntervalMs)
}

function beginTalk (state: LinkState, socket: Socket): void {
  const { opts } = state
  socket.setNoDelay(true)
  if (opts.certificates !== undefined && !isCertifiedFor(socket as TLSSocket, opts.peer)) fail(state, socket, 'its certificate does not name this host')
  else socket.write(encodeLinkMessage(createHello(opts.self, opts.group)))
}

/** The peer's hello; what follows are answers to probes, whose arrival is all that counts. */
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

function checkLink (state: LinkState): void {
  const { socket, up, opts } = state
  const now = opts.getNow()
  if (socket === undefined) return
  if (now - state.neededAt > IDLE_LINK_MS) drop(state, socket)
  else if (!up && now - state.openedAt > OPEN_TIMEOUT_MS) fail(state, socket, 'it did not open in time')
  else if (up && now - state.heardAt > opts.silenceMs) fail(state, socket, `it was silent for ${Math.round(now - state.heardAt)} ms`)
  else if (up && !socket.writableNeedDrain) socket.write(PING)
}

function drop (state: LinkState, socket: Socket): void {
  state.socket = undefined
  socket.destroy()
  const wasUp = state.up
  state.up = false
  if (wasUp) state.opts.onLink(false)
}

function fail (state: LinkState, socket: Socket, reason: string): void {
  if (state.socket !== socket) return
  drop(state, socket)
  if (state.closed) return
  const { logger, peer, nextFraction } = state.opts
  logger.log(state.failures === 0 ? 'warn' : 'debug', `The link failed: ${reason}`, { step: 'link', peer })
  const pauseMs = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** state.failures)
  state.failures += 1
  state.retry = setTimeout(() => openIfNeeded(state), pauseMs * (0.5 + nextFraction() / 2))
}

function openIfNeeded (state: LinkState): void {
  state.retry = undefined
  if (state.closed || state.socket !== undefined || state.opts.getNow() - state.neededAt > IDLE_LINK_MS) return
  open(state)
}

function send (state: LinkState, frame: Uint8Array, isBulk: boolean): boolean {
  if (state.closed) return false
  const now = state.opts.getNow()
  state.neededAt = now
  const taken = state.queue.add(frame, isBulk, now)
  if (!state.up) {
    if (state.retry === undefined) openIfNeeded(state)
  } else if (state.socket?.writableNeedDrain !== true) {
    writeQueued(state)
  }
  return taken
}

function close (state: LinkState): void {
  state.closed = true
  clearTimeout(state.retry)
  clearInterval(state.probe)
  const { socket } = state
  state.socket = undefined
  state.up = false
  socket?.destroySoon()
}

/** Creates the link; nothing is opened before the first message. */
export function createOutgoingLink (opts: OutgoingLinkOptions): OutgoingLink {
  const state: LinkState = {
    opts,
    queue: createSendQueue(),
    socket: undefined,
    up: false,
    closed: false,
    failures: 0,
    opened: 0,
    heardAt: 0,
    openedAt: 0,
    neededAt: Number.NEGATIVE_INFINITY,
    retry: undefined,
    probe: undefined
  }
  return {
    send: (frame, isBulk) => send(state, frame, isBulk),
    getStatus: () => ({ peer: opts.peer, up: state.up, dropped: state.queue.getDropped(), opened: state.opened }),
    close: () => close(state)
  }
}
