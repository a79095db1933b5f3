/** Topology of a simulated deployment: its zones, hosts, endpoints and voters. */
import type { HostLocation, PeerRow } from '@catkinferry/core.types'

export interface ZoneShape {
  readonly zone: string
  readonly region: string
  readonly hosts: number
  readonly engines: number
  readonly services: number
}

export interface DeploymentShape {
  readonly zones: readonly ZoneShape[]
  /** Indexes of the hosts that are voters, counted over all zones. */
  readonly voters: readonly number[]
  readonly slots: number
  readonly batchLimit: number
  readonly loadMs: number
  readonly checksFencing: boolean
  readonly adapters: number
}

export const ENGINE_POOL = 'drafts'
export const SERVICE_ROUTE = 'filings'
export const MODEL = 'base'

/** Three zones in two regions, with one voter per zone. */
export const SMALL_DEPLOYMENT: DeploymentShape = {
  zones: [
    { zone: 'zone-a', region: 'north', hosts: 3, engines: 2, services: 1 },
    { zone: 'zone-b', region: 'north', hosts: 2, engines: 2, services: 1 },
    { zone: 'zone-c', region: 'south', hosts: 2, engines: 1, services: 1 }
  ],
  voters: [0, 3, 5],
  slots: 3,
  batchLimit: 4,
  loadMs: 250,
  checksFencing: false,
  adapters: 8
}

/** Lists the hosts of a deployment as in the settings file of each host. */
export function buildPeers (shape: DeploymentShape): PeerRow[] {
  const locations: HostLocation[] = shape.zones.flatMap(zone => Array.from({ length: zone.hosts }, (_, index) => ({
    host: `${zone.zone}-h${index}`,
    zone: zone.zone,
    region: zone.region
  })))
  return locations.map((location, index) => ({
    ...location,
    address: `127.0.0.1:${10_000 + index}`,
    voter: shape.voters.includes(index),
    leaseVoter: true
  }))
}
