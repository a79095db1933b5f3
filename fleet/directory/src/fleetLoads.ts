/** Requests of other entry hosts at each endpoint, from the totals that the leader sends at intervals. The relay uses them to choose endpoints. */
import type { EndpointId, MonotonicMs, RegionId } from '@catkinferry/core.types'
import type { FleetMessage } from '@catkinferry/wire.messages'

/** Requests of other entry hosts at an endpoint. */
export interface OthersLoad {
  readonly running: number
  readonly at: MonotonicMs
}

export interface FleetLoads {
  /** `getOwn`: this host's requests that are included in the leader's totals. */
  readonly receive: (message: Extract<FleetMessage, { kind: 'fleet.load' }>, now: MonotonicMs, getOwn: (endpoint: EndpointId) => number) => void
  /** Undefined if the leader has sent no total for the endpoint. */
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
