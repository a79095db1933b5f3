/** Describes the zones as this host sees them, each time that the operator API asks for them. */
import type { DurationMs, HostId, ZoneId } from '@catkinferry/core.types'
import type { VoterSetDescription } from './voterSets.ts'
import type { ZoneParts } from './zoneParts.ts'

export interface ZoneDescription {
  readonly zone: ZoneId
  /** True for the zone of the answering host. */
  readonly own: boolean
  readonly leaseHolder: HostId | undefined
  /** Time since the lease holder was last heard from. */
  readonly holderSilentMs: DurationMs | undefined
  /** Whether the answering host has a live sub-lease; undefined for other zones. */
  readonly serving: boolean | undefined
  readonly hosts: readonly HostId[]
  readonly endpoints: readonly { readonly endpoint: string, readonly owner: HostId | undefined, readonly fencing: number, readonly leaving: boolean }[]
  /** Load budget; known to the lease holder only. */
  readonly budget: { readonly ratePerSecond: number, readonly inFlight: number, readonly inFlightLimit: number, readonly waiting: number } | undefined
  /** Known to the lease holder only. */
  readonly leaseVoters: VoterSetDescription | undefined
  readonly pools: readonly { readonly pool: string, readonly freeCapacity: number, readonly queueMs: DurationMs }[]
}

/** Describes this zone in full, and the others as far as their digests tell. */
export function describeZones (parts: ZoneParts): readonly ZoneDescription[] {
  const { clock, known, table, subLease, self, holderDuties, digests } = parts
  const own: ZoneDescription = {
    zone: self.zone,
    own: true,
    leaseHolder: known.holder,
    holderSilentMs: known.heardAt === -Infinity ? undefined : clock.now - known.heardAt,
    serving: subLease.isLive(clock.now),
    hosts: table.listHosts(),
    endpoints: table.listOwned().map(({ row, owner, fencing }) => ({ endpoint: row.endpoint, owner, fencing, leaving: row.leaving })),
    budget: known.held === undefined ? undefined : holderDuties.budget.describe(clock.now),
    leaseVoters: known.held === undefined ? undefined : parts.voterSets.describe(known.held, holderDuties.assigner.listHosts(clock.now), clock.now),
    pools: []
  }
  const others = digests.list().map((digest): ZoneDescription => ({
    zone: digest.zone,
    own: false,
    leaseHolder: digest.contact,
    holderSilentMs: undefined,
    serving: undefined,
    hosts: [],
    endpoints: [],
    budget: undefined,
    leaseVoters: undefined,
    pools: digest.pools
  }))
  return [own, ...others]
}
