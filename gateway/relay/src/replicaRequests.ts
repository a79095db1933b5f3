/** Requests another replica of an adapter where its engines are busy or far. Used by the target finder for each request that an engine with the adapter serves. */
import type { MonotonicMs } from '@catkinferry/core.types'
import type { DirectoryEndpoint } from '@catkinferry/fleet.directory'
import { REMOTE_REQUESTS_FOR_REPLICA, REPLICA_LOAD_FRACTION, REPLICA_REQUEST_INTERVAL_MS } from './constants.ts'
import type { ChosenEndpoint } from './chooseEndpoint.ts'
import type { Exchange, RequestedAdapter } from './exchange.ts'
import type { RelayOptions } from './relayOptions.ts'

/** Size limit of the tables for replica requests. */
const MAX_TRACKED_ADAPTERS = 2_000

/** Removes the oldest row of a table that exceeds its size limit. */
function dropOldest (rows: Map<string, unknown>): void {
  const [oldest] = rows.size > MAX_TRACKED_ADAPTERS ? rows.keys() : []
  if (oldest !== undefined) rows.delete(oldest)
}

export interface UsedReplica extends Pick<ChosenEndpoint, 'endpoint' | 'load'> {
  readonly slots: number
  /** All engines that have the adapter. */
  readonly engines: readonly DirectoryEndpoint[]
}

export interface ReplicaRequests {
  readonly requestIfNeeded: (exchange: Exchange, requested: RequestedAdapter, used: UsedReplica) => void
}

export function createReplicaRequests ({ location, clock, directory }: Pick<RelayOptions, 'location' | 'clock' | 'directory'>): ReplicaRequests {
  /** When a replica was last requested, by pool and adapter. */
  const requestedAt = new Map<string, MonotonicMs>()
  /** Requests sent to other regions, by pool and adapter; starts over at `REMOTE_REQUESTS_FOR_REPLICA`. */
  const remoteRequests = new Map<string, number>()

  /** Whether to request another replica: even the cheapest engine is busy, or it is in another region and used often. */
  function needsReplica (key: string, { endpoint, load, slots }: UsedReplica): boolean {
    if (load >= REPLICA_LOAD_FRACTION * slots) return true
    if (endpoint.region === location.region) return false
    const count = (remoteRequests.get(key) ?? 0) + 1
    remoteRequests.set(key, count % REMOTE_REQUESTS_FOR_REPLICA)
    return count >= REMOTE_REQUESTS_FOR_REPLICA
  }

  return {
    requestIfNeeded: ({ pool, route }, requested, used) => {
      const key = `${pool.name}|${requested.model}/${requested.adapter}`
      const isNeeded = needsReplica(key, used)
      dropOldest(remoteRequests)
      if (!isNeeded) return
      const now = clock.getMonotonicMs()
      if (now - (requestedAt.get(key) ?? Number.NEGATIVE_INFINITY) < REPLICA_REQUEST_INTERVAL_MS) return
      requestedAt.delete(key)
      requestedAt.set(key, now)
      dropOldest(requestedAt)
      directory.requestReplica({ pool: pool.name, ...requested, priority: route.priority, existingReplicas: used.engines.map(({ endpoint }) => endpoint) })
    }
  }
}
