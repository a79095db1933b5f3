/** Requests that other hosts run at each endpoint, as the leader last told. */
import type { EndpointId, MonotonicMs, RegionId } from '@catkinferry/core.types'
import type { FleetMessage } from '@catkinferry/wire.messages'

/** Requests of other entry hosts at an endpoint. */
export interface OthersLoad {
  readonly running: number
  readonly at: MonotonicMs
}

export interface FleetLoads {
  /** `getOwn`: requests of this host that the leader counts in. */
  readonly receive: (message: Extract<FleetMessage, { kind: 'fleet.load' }>, now: MonotonicMs, getOwn: (endpoint: EndpointId) => number) => void
  /** Undefined where the leader has told nothing. */
  readonly get: (endpoint: EndpointId) => OthersLoad | undefined
}

/** Creates an empty table. */
export function createFleetLoads (): FleetLoads {
  const loads = new Map<EndpointId, OthersLoad & { readonly region: RegionId }>()
  return {
    receive: ({ region, whole, running }, now, getOwn) => {
      if (whole) for (const [endpoint, load] of loads) if (load.region === region) loads.delete(endpoint)
      for (const [endpoint, count] of running) loads.set(endpoint, { region, running: Math.max(0, count - getOwn(endpoint)), at: now })
    },
    get: endpoint => loads.get(endpoint)
  }
}
