/** Connections to endpoints: shared ones with a short idle age, and fresh ones that can be reset. */
import type { Socket } from 'node:net'
import { buildConnector, Client, Pool } from 'undici'
import type { Dispatcher } from 'undici'

export interface ConnectionsOptions {
  /** Idle connections older than this are closed and not reused. */
  readonly idleMs?: number
  readonly connectTimeoutMs?: number
}

/** A connection for one call alone. */
export interface FreshConnection {
  readonly dispatcher: Dispatcher
  /** Drops what the kernel still holds and resets the connection. */
  readonly reset: () => void
  /** Closes when the call has ended. */
  readonly close: () => void
}

export interface Connections {
  readonly getShared: (origin: string) => Dispatcher
  readonly openFresh: (origin: string) => FreshConnection
  readonly close: () => Promise<void>
}

const DEFAULT_IDLE_MS = 2_000
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000
/** Pools beyond this many origins are dropped, longest unused first. */
const MAX_POOLS = 4_096

function ignoreError (): void {}

/** Creates the connections of one driver. Timeouts of answers are the calls' own. */
export function createConnections (opts: ConnectionsOptions = {}): Connections {
  const idleMs = opts.idleMs ?? DEFAULT_IDLE_MS
  const connect = { timeout: opts.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS, noDelay: true }
  const common = { pipelining: 1, keepAliveTimeout: idleMs, keepAliveMaxTimeout: idleMs, bodyTimeout: 0, headersTimeout: 0 }
  const pools = new Map<string, Pool>()
  const fresh = new Set<Client>()

  function dropLongestUnused (): void {
    const [origin, pool] = pools.entries().next().value ?? []
    if (origin === undefined || pool === undefined) return
    pools.delete(origin)
    pool.close().catch(ignoreError)
  }

  return {
    getShared: origin => {
      const known = pools.get(origin)
      if (known !== undefined) {
        pools.delete(origin)
        pools.set(origin, known)
        return known
      }
      if (pools.size >= MAX_POOLS) dropLongestUnused()
      const pool = new Pool(origin, { ...common, connect })
      pools.set(origin, pool)
      return pool
    },
    openFresh: origin => {
      let socket: Socket | undefined
      const connector = buildConnector(connect)
      const client = new Client(origin, {
        ...common,
        connect: (options, callback) => {
          connector(options, (...answer) => {
            if (answer[0] === null) socket = answer[1]
            callback(...answer)
          })
        }
      })
      fresh.add(client)
      return {
        dispatcher: client,
        reset: () => {
          socket?.resetAndDestroy()
          fresh.delete(client)
          client.destroy().catch(ignoreError)
        },
        close: () => {
          fresh.delete(client)
          client.close().catch(ignoreError)
        }
      }
    },
    close: async () => {
      const all = [...pools.values(), ...fresh]
      pools.clear()
      fresh.clear()
      await Promise.all(all.map(async dispatcher => { await dispatcher.destroy() }))
    }
  }
}
