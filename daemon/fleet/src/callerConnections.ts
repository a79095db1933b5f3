/** Connections of callers: what is in flight on each, when it is idle, and how it is closed without losing what is on its way. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'
import { answerClientError, INCOMPLETE_AT_END, REQUEST_TIMEOUT, TUNNEL_REQUESTED } from './clientErrors.ts'
import { createConnectionInput } from './connectionInput.ts'
import type { ConnectionInput } from './connectionInput.ts'

/** Idle connections stay open for so much longer than callers are told, as a request may be on its way at the limit. */
const IDLE_MARGIN_MS = 1_000
/** How long a connection is still read after its end was sent. Closing it with unread bytes would reset it, which can destroy the last response on its way. */
const LINGER_MS = 1_000
/** Requests of one connection that are read while an earlier one is answered. They are answered in their order, so more would only wait. */
const MAX_WAITING_REQUESTS = 8

/** Why this host closed a connection of a caller. */
export const CloseCause = {
  /** Idle for longer than the limit. */
  IDLE: 'idle',
  /** The request did not arrive whole in time. */
  REQUEST_TIMEOUT: 'requestTimeout',
  /** The caller sent bytes that are no request. */
  MALFORMED: 'malformed',
  /** The host stops, and no request was in flight on the connection. */
  DRAINING: 'draining',
  /** The host stops, and a response was not complete at the end of the grace time. */
  GRACE_END: 'graceEnd'
} as const
export type CloseCause = typeof CloseCause[keyof typeof CloseCause]

/** Why a connection ended: as above, or as follows. */
export const EndCause = {
  ...CloseCause,
  /** Its last response was sent. */
  RESPONSE: 'response',
  /** The caller ended it, or it broke. */
  CALLER: 'caller'
} as const
export type EndCause = typeof EndCause[keyof typeof EndCause]

/** The end of a connection, as a request finds it that arrives later. */
export interface ConnectionEnd {
  readonly cause: EndCause
  /** Time since this host sent the end of the connection. */
  readonly ageMs: DurationMs
}

/** Bytes of a caller to which nothing was answered, on a connection that has closed. */
export interface UnansweredBytes extends ConnectionEnd {
  /** Bytes that were read before its end, behind the latest whole request. */
  readonly before: number
  /** Bytes that were read after its end. */
  readonly after: number
}

export interface Connection {
  readonly socket: Socket
  readonly input: ConnectionInput
  /** Responses that are not completely sent. */
  readonly pending: Set<ServerResponse>
  /** A request behind those in flight has failed: the connection ends after their responses. */
  endsAfterPending?: boolean
  /** The latest request. */
  latest: IncomingMessage | undefined
  /** When the latest response was sent and its request had arrived whole, and how many bytes had arrived then. */
  idleSince: MonotonicMs
  idleBytes: number
  /** When the idle limit had passed although bytes had arrived since. */
  arrivingSince: MonotonicMs | undefined
  idleTimer: NodeJS.Timeout | undefined
  isClosing: boolean
  /** Why this host ended it; undefined for the end behind a response. */
  closeCause: CloseCause | undefined
  /** When its end was sent, and how many bytes had arrived then. */
  endedAt: MonotonicMs | undefined
  endBytes: number
  /** Requests that arrived after that. */
  lateCount: number
  readonly getNow: () => MonotonicMs
}

/** Whether bytes have arrived since the latest response was sent. */
export const hasArriving = ({ socket, idleBytes }: Connection): boolean => socket.bytesRead > idleBytes

function describeEnd ({ closeCause, endedAt, getNow }: Connection): ConnectionEnd {
  return { cause: closeCause ?? (endedAt === undefined ? EndCause.CALLER : EndCause.RESPONSE), ageMs: endedAt === undefined ? 0 : getNow() - endedAt }
}

/** Returns undefined if every byte belongs to a request that is answered, or that is logged as it ends. */
function findUnanswered (connection: Connection): UnansweredBytes | undefined {
  const { socket: { bytesRead }, pending, latest, idleBytes, endBytes, endedAt } = connection
  const after = endedAt === undefined ? 0 : bytesRead - endBytes
  // What arrives behind a response that is not complete, or of a body whose response was early, cannot be told apart from the rest of that request.
  const before = pending.size > 0 || latest?.complete === false ? 0 : bytesRead - after - idleBytes
  return before > 0 || after > 0 ? { ...describeEnd(connection), before: Math.max(0, before), after } : undefined
}

/** Sends the end of the connection after what is buffered, and reads on until the caller ends it too. */
export function closeGracefully (connection: Connection): void {
  const { socket } = connection
  if (connection.isClosing || socket.destroyed) return
  connection.isClosing = true
  connection.endedAt = connection.getNow()
  connection.endBytes = socket.bytesRead
  socket.end()
  connection.input.update()
  const timer = setTimeout(() => socket.destroy(), LINGER_MS)
  timer.unref()
  socket.once('close', () => clearTimeout(timer))
}

/** Discards what arrives after the end of a connection once that is many requests: the HTTP server keeps each until the connection closes. */
function ignoreFlood (connection: Connection): void {
  connection.lateCount += 1
  if (connection.lateCount >= MAX_WAITING_REQUESTS) connection.input.ignore()
}

/** Ends a response that is not complete so that it does not look complete: without chunks, only a reset shows it. */
export function cutConnection (connection: Connection): void {
  const { socket, pending } = connection
  if ([...pending].some(({ headersSent, chunkedEncoding }) => headersSent && !chunkedEncoding)) socket.resetAndDestroy()
  else closeGracefully(connection)
}

/** Called when a request has failed before it had arrived whole. Callers take what is sent next for the answer to the first request in flight, so those are answered first. */
function endAfterPending (connection: Connection, code: string | undefined): void {
  const { socket, input, pending } = connection
  input.ignore()
  // The request that failed has no response in flight, unless that began before the request had arrived.
  const last = [...pending].filter(({ headersSent, req }) => headersSent || req.complete).at(-1)
  if (last === undefined) {
    answerClientError(socket, code)
    return
  }
  // As behind a whole request, a caller that ends its side is taken for gone.
  if (code === INCOMPLETE_AT_END) {
    closeGracefully(connection)
    return
  }
  connection.endsAfterPending = true
  if (!last.headersSent) last.shouldKeepAlive = false
  last.once('close', () => closeGracefully(connection))
}

export interface ConnectionsOptions {
  readonly getNow: () => MonotonicMs
  /** How long a connection that is idle since then may stay so. */
  readonly findIdleLimit: (idleSince: MonotonicMs) => DurationMs
  /** The time after which a request whose head has not arrived whole has been answered 408. */
  readonly findHeaderLimit: () => DurationMs
  /** Called for each connection that this host closes of its own accord. */
  readonly onClose: (cause: CloseCause) => void
  /** Called for each request that arrives after the end of its connection was sent. */
  readonly onLateRequest?: (req: IncomingMessage, end: ConnectionEnd) => void
  /** Called for each connection that has closed with bytes to which nothing was answered. */
  readonly onUnanswered?: (bytes: UnansweredBytes) => void
}

export interface Connections {
  readonly add: (socket: Socket) => void
  readonly list: () => readonly Connection[]
  /** Records why this host is about to end a connection. */
  readonly recordClose: (connection: Connection, cause: CloseCause) => void
  /** Records a request. Returns false if it crossed the end of its connection: neither answered nor passed on, it can safely be sent again. */
  readonly recordRequest: (req: IncomingMessage, res: ServerResponse) => boolean
  readonly handleError: (socket: Socket, code: string | undefined) => void
}

/** Runs checks one a turn of the event loop, each after the sockets that were readable were read. */
function createTurnQueue (): (check: () => void) => void {
  const queue: Array<() => void> = []
  const runNext = (): void => {
    queue[0]?.()
    queue.shift()
    if (queue.length > 0) setImmediate(runNext)
  }
  return check => {
    queue.push(check)
    if (queue.length === 1) setImmediate(runNext)
  }
}

/** Calls `onIdle` for each connection that stays idle for longer than it may. Returns a function that is called when a connection falls idle. */
function createIdleWatch ({ getNow, findIdleLimit, findHeaderLimit, onIdle }: Pick<ConnectionsOptions, 'getNow' | 'findIdleLimit' | 'findHeaderLimit'> & { readonly onIdle: (connection: Connection) => void }): (connection: Connection) => void {
  const checkInTurn = createTurnQueue()

  function computeLeftMs ({ idleSince, arrivingSince }: Connection): DurationMs {
    const endsAt = arrivingSince === undefined ? idleSince + findIdleLimit(idleSince) + IDLE_MARGIN_MS : arrivingSince + findHeaderLimit()
    return endsAt - getNow()
  }

  /** Bytes that begin no request, such as line breaks, restart no time limit of the HTTP server; the idle limit therefore has a timer of its own. */
  function watchIdle (connection: Connection): void {
    clearTimeout(connection.idleTimer)
    connection.idleTimer = setTimeout(() => checkInTurn(() => closeIfIdle(connection)), Math.ceil(computeLeftMs(connection))).unref()
  }

  function closeIfIdle (connection: Connection): void {
    const { socket, pending, latest, isClosing } = connection
    if (socket.destroyed || isClosing || pending.size > 0) return
    if (computeLeftMs(connection) > 0) {
      watchIdle(connection)
      return
    }
    if (hasArriving(connection) && connection.arrivingSince === undefined) {
      // The time limit of the whole request counts for the rest of a body, and the one of the headers for a request that has begun.
      if (latest?.complete === false) return
      connection.arrivingSince = getNow()
      watchIdle(connection)
      return
    }
    onIdle(connection)
  }

  return connection => {
    connection.idleSince = getNow()
    connection.idleBytes = connection.socket.bytesRead
    connection.arrivingSince = undefined
    watchIdle(connection)
  }
}

/** Calls `onExpired` for each connection whose latest request does not arrive whole. Returns a function that is called when its time limit has passed, before its socket is read. */
function createExpiry ({ getNow, findHeaderLimit, onExpired }: Pick<ConnectionsOptions, 'getNow' | 'findHeaderLimit'> & { readonly onExpired: (connection: Connection) => void }): (connection: Connection) => void {
  return connection => {
    const { socket, input, latest } = connection
    const wasComplete = latest?.complete !== false
    const check = (): void => {
      const hasArrived = connection.latest !== latest || (!wasComplete && connection.latest?.complete === true)
      if (hasArrived || socket.destroyed || connection.isClosing) return
      // While bytes are held, the rest of the request is not read. What was on its way then has the limit of a head, or as long as they were held.
      const held = input.getHeld()
      const leftMs = held.until + Math.max(held.ms, findHeaderLimit()) - getNow()
      if (leftMs > 0) setTimeout(() => setImmediate(check), Math.ceil(leftMs)).unref()
      else onExpired(connection)
    }
    setImmediate(check)
  }
}

export function createConnections ({ getNow, findIdleLimit, findHeaderLimit, onClose, onLateRequest, onUnanswered }: ConnectionsOptions): Connections {
  const connections = new Map<Socket, Connection>()
  const startIdle = createIdleWatch({
    getNow,
    findIdleLimit,
    findHeaderLimit,
    onIdle: connection => {
      recordClose(connection, CloseCause.IDLE)
      closeGracefully(connection)
    }
  })

  const expireRequest = createExpiry({
    getNow,
    findHeaderLimit,
    onExpired: connection => {
      recordClose(connection, CloseCause.REQUEST_TIMEOUT)
      endAfterPending(connection, REQUEST_TIMEOUT)
    }
  })

  function recordClose (connection: Connection, cause: CloseCause): void {
    connection.closeCause ??= cause
    onClose(cause)
  }

  return {
    add: socket => {
      const input = createConnectionInput({ socket, mayParse: () => connection.isClosing || connection.pending.size <= MAX_WAITING_REQUESTS, getNow })
      const connection: Connection = { socket, input, pending: new Set(), latest: undefined, idleSince: getNow(), idleBytes: 0, arrivingSince: undefined, idleTimer: undefined, isClosing: false, closeCause: undefined, endedAt: undefined, endBytes: 0, lateCount: 0, getNow }
      connections.set(socket, connection)
      socket.once('close', () => {
        connections.delete(socket)
        clearTimeout(connection.idleTimer)
        const unanswered = findUnanswered(connection)
        if (unanswered !== undefined) onUnanswered?.(unanswered)
      })
      // The HTTP server calls this after the last response on the connection.
      socket.destroySoon = () => closeGracefully(connection)
    },
    list: () => [...connections.values()],
    recordClose,
    recordRequest: (req, res) => {
      const connection = connections.get(req.socket)
      if (connection === undefined || connection.isClosing) {
        onLateRequest?.(req, connection === undefined ? { cause: EndCause.CALLER, ageMs: 0 } : describeEnd(connection))
        if (connection !== undefined) ignoreFlood(connection)
        return false
      }
      connection.latest = req
      connection.pending.add(res)
      res.once('close', () => {
        connection.pending.delete(res)
        connection.input.update()
        if (!connection.socket.destroyed) startIdle(connection)
      })
      req.once('close', () => {
        if (connection.pending.size === 0 && connection.latest === req && !connection.socket.destroyed) startIdle(connection)
      })
      return true
    },
    handleError: (socket, code) => {
      const connection = connections.get(socket)
      if (connection === undefined) return
      if (connection.isClosing) {
        // The HTTP server has taken its parser away.
        if (code === TUNNEL_REQUESTED) connection.input.ignore()
        return
      }
      if (code === REQUEST_TIMEOUT) {
        expireRequest(connection)
        return
      }
      if (connection.endsAfterPending !== true && code?.startsWith('HPE_') === true) recordClose(connection, CloseCause.MALFORMED)
      endAfterPending(connection, code)
    }
  }
}
