/**
 * Connections of one driver to its endpoints, for its calls: shared pools with a short idle timeout, and dedicated
 * connections that can be reset. Created once with the driver.
 */
import type { Socket } from 'node:net'
import { buildConnector, Client, Pool } from 'undici'
import type { Dispatcher } from 'undici'

export interface ConnectionsOptions {
  /** Connections that were idle for longer than this are closed and not reused. */
  readonly idleMs?: number
  readonly connectTimeoutMs?: number
}

/** A dedicated connection for one call. */
export interface FreshConnection {
  readonly dispatcher: Dispatcher
  /** Discards data that the kernel has not sent yet and closes the connection with a TCP reset. */
  readonly reset: () => void
  /** Closes the connection once its call has ended. */
  readonly close: () => void
}

export interface Connections {
  readonly getShared: (origin: string) => Dispatcher
  readonly openFresh: (origin: string) => FreshConnection
  readonly close: () => Promise<void>
}

const DEFAULT_IDLE_MS = 2_000
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000
/** Limit on pools, one per origin; the least recently used one is closed first. */
const MAX_POOLS = 4_096

/** Code of a reset connection in place of `ECONNRESET`, which undici takes for the regular end of a response without a length or chunks. */
const RESET_CODE = 'ERR_CONNECTION_RESET'

function ignoreError (): void {}

/** Makes a reset fail the response in progress. Node.js reports one that arrives with the last bytes as an end, but the connection has no peer any more. */
function watchResets (socket: Socket): void {
  const emit = socket.emit.bind(socket) as (event: string | symbol, ...values: unknown[]) => boolean
  socket.prependListener('error', (error: NodeJS.ErrnoException) => { if (error.code === 'ECONNRESET') error.code = RESET_CODE })
  // Nothing else keeps the end from the listener of undici.
  socket.emit = (event: string | symbol, ...values: unknown[]) => {
    if (event !== 'end' || socket.remoteAddress !== undefined) return emit(event, ...values)
    socket.destroy(Object.assign(new Error('connection reset'), { code: RESET_CODE }))
    return true
  }
}

/** Creates the connections of one driver. Response timeouts are left to the calls. */
export function createConnections (opts: ConnectionsOptions = {}): Connections {
  const idleMs = opts.idleMs ?? DEFAULT_IDLE_MS
  const connector = buildConnector({ timeout: opts.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS, noDelay: true })
  const buildConnect = (onOpen: (socket: Socket) => void): buildConnector.connector => (options, callback) => {
    connector(options, (...result) => {
      if (result[0] === null) {
        watchResets(result[1])
        onOpen(result[1])
      }
      callback(...result)
    })
  }
  const common = { pipelining: 1, keepAliveTimeout: idleMs, keepAliveMaxTimeout: idleMs, bodyTimeout: 0, headersTimeout: 0 }
  const pools = new Map<string, Pool>()
  const dedicated = new Set<Client>()

  function closeLeastRecentlyUsed (): void {
    const [origin, pool] = pools.entries().next().value ?? []
    if (origin === undefined || pool === undefined) return
    pools.delete(origin)
    pool.close().catch(ignoreError)
  }

  return {
    getShared: origin => {
      const existing = pools.get(origin)
      if (existing !== undefined) {
        pools.delete(origin)
        pools.set(origin, existing)
        return existing
      }
      if (pools.size >= MAX_POOLS) closeLeastRecentlyUsed()
      const pool = new Pool(origin, { ...common, connect: buildConnect(() => undefined) })
      pools.set(origin, pool)
      return pool
    },
    openFresh: origin => {
      let socket: Socket | undefined
      const client = new Client(origin, { ...common, connect: buildConnect(opened => { socket = opened }) })
      dedicated.add(client)
      return {
        dispatcher: client,
        reset: () => {
          socket?.resetAndDestroy()
          dedicated.delete(client)
          client.destroy().catch(ignoreError)
        },
        close: () => {
          dedicated.delete(client)
          client.close().catch(ignoreError)
        }
      }
    },
    close: async () => {
      const all = [...pools.values(), ...dedicated]
      pools.clear()
      dedicated.clear()
      await Promise.all(all.map(async dispatcher => { await dispatcher.destroy() }))
    }
  }
}
