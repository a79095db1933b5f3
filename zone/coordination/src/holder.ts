/**
 * Duties of the lease holder: assigns owners, sends the zone view to the hosts, manages the load budget and sends digests.
 * Active on the runs of the zone system from when this host gets the lease until it loses it.
 */
import { createZoneBudget } from '@catkinferry/adapters.load-budget'
import type { ZoneBudget } from '@catkinferry/adapters.load-budget'
import type { EndpointId, EndpointRow, HostLocation, MonotonicMs, PeerRow, RegionId, ZoneId } from '@catkinferry/core.types'
import { EndpointKind } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { ZoneSettings } from '@catkinferry/zone.grants'
import type { HeldLease } from '@catkinferry/zone.leases'
import type { PlatformTable, ZoneDigests, ZoneTable } from '@catkinferry/zone.membership'
import { createAssigner } from '@catkinferry/zone.ownership'
import type { Assigner } from '@catkinferry/zone.ownership'
import { createDigestSender } from './digestSender.ts'
import { createViewSender } from './viewSender.ts'
import type { ViewSender } from './viewSender.ts'

export interface HolderDuties {
  readonly assigner: Assigner
  readonly budget: ZoneBudget
  readonly views: ViewSender
  readonly begin: (held: HeldLease, context: RunContext) => void
  readonly stop: () => void
  readonly putEndpoint: (row: EndpointRow, context: RunContext) => void
  readonly removeEndpoint: (endpoint: EndpointId) => void
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
}

export interface HolderDutiesOptions {
  readonly self: HostLocation
  readonly peers: readonly PeerRow[]
  readonly getSettings: () => ZoneSettings
  readonly getHeld: (now: MonotonicMs) => HeldLease | undefined
  readonly platform: PlatformTable
  readonly table: ZoneTable
  readonly digests: ZoneDigests
  readonly getNow: () => MonotonicMs
}

/**
 * Lists the zones of the region with the most zones first. The order decides which zone lends load budget, so that most
 * zones can still reach the lender when regions are partitioned.
 */
function listZonesByRegionSize (peers: readonly PeerRow[]): readonly ZoneId[] {
  const regionOf = new Map(peers.map(({ zone, region }) => [zone, region]))
  const sizes = new Map<RegionId, number>()
  for (const region of regionOf.values()) sizes.set(region, (sizes.get(region) ?? 0) + 1)
  const getSize = (zone: ZoneId): number => sizes.get(regionOf.get(zone) ?? '') ?? 0
  return [...regionOf.keys()].sort((a, b) => getSize(b) - getSize(a) || (a < b ? -1 : 1))
}

/** Creates the holder's duties; they are inactive until `begin`. */
export function createHolderDuties (opts: HolderDutiesOptions): HolderDuties {
  const { self, peers, platform, table, digests } = opts
  const counter = { sequence: 0 }
  const assigner = createAssigner({
    zone: self.zone,
    getSubLeaseMs: () => opts.getSettings().subLeaseMs,
    getLeaseUntil: now => opts.getHeld(now)?.until ?? -Infinity,
    getViewSequence: () => counter.sequence
  })
  const budget = createZoneBudget({
    zone: self.zone,
    zones: listZonesByRegionSize(peers),
    getLimits: () => opts.getSettings().loads,
    getContact: zone => digests.getContact(zone, opts.getNow())
  })
  const views = createViewSender({ zone: self.zone, assigner, platform, digests, counter })
  const digestSender = createDigestSender({ self, peers, table, digests })
  let active = false

  return {
    assigner,
    budget,
    views,
    begin: (held, context) => {
      active = true
      views.begin(held.ballot)
      digestSender.begin()
      platform.addKnown(table.listOwned().map(({ row }) => row))
      for (const row of platform.rows()) if (row.kind === EndpointKind.ENGINE) assigner.putEndpoint(row, context)
      assigner.begin({ ballot: held.ballot, subLeasesMayRun: held.subLeasesMayRun }, context)
      budget.begin(context)
    },
    stop: () => {
      active = false
      assigner.stop()
      budget.stop()
    },
    putEndpoint: (row, context) => {
      if (row.kind === EndpointKind.ENGINE) assigner.putEndpoint(row, context)
      views.markEndpoint(row.endpoint)
    },
    removeEndpoint: endpoint => {
      assigner.removeEndpoint(endpoint)
      views.markEndpoint(endpoint)
    },
    run: context => {
      if (!active) return
      assigner.run(context)
      views.sendChanges(context)
      budget.run(context)
      digestSender.run(context)
    },
    getNextAt: () => {
      if (!active) return undefined
      const times = [assigner.getNextAt(), budget.getNextAt(), views.getNextAt(), digestSender.getNextAt()]
      const planned = times.filter(at => at !== undefined)
      return planned.length === 0 ? undefined : Math.min(...planned)
    }
  }
}
