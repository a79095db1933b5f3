/** The parts of the zone system of one host, created at startup and shared by the modules of this package. */
import type { EndpointId, HostId, HostLocation, MonotonicMs } from '@catkinferry/core.types'
import type { Grants, HandBack, ZoneSettings } from '@catkinferry/zone.grants'
import type { HeldLease, LeaseHolder, LeaseVoter } from '@catkinferry/zone.leases'
import type { PlatformTable, ZoneDigests, ZoneTable } from '@catkinferry/zone.membership'
import type { SubLease } from '@catkinferry/zone.ownership'
import type { CrossZone } from './crossZone.ts'
import type { HolderDuties } from './holder.ts'
import type { StatePublisher } from './statePublisher.ts'
import type { VoterSets } from './voterSets.ts'

/** Other hosts request the lease when the holder has not been heard from for this long. */
export const HOLDER_TIMEOUT_MS = 1_500

/** What this host knows about the lease of its zone and its own role in it. */
export interface ZoneLeaseState {
  holder: HostId | undefined
  /** When the holder was last heard from. */
  heardAt: MonotonicMs
  leaving: boolean
  /** This host has released the lease and does not request it again. */
  released: boolean
  held: HeldLease | undefined
  subLeaseLive: boolean
  /** When the platform is polled next. */
  nextPlatformPollAt: MonotonicMs
  viewRequestedAt: MonotonicMs
}

export interface ZoneParts {
  readonly self: HostLocation
  readonly zoneHosts: readonly HostId[]
  readonly getSettings: () => ZoneSettings
  /** Time of the current run. */
  readonly clock: { now: MonotonicMs }
  readonly known: ZoneLeaseState
  readonly leaseHolder: LeaseHolder
  readonly getVoter: (now: MonotonicMs) => LeaseVoter
  readonly subLease: SubLease
  readonly table: ZoneTable
  readonly platform: PlatformTable
  readonly digests: ZoneDigests
  readonly holderDuties: HolderDuties
  readonly grants: Grants
  readonly publisher: StatePublisher
  readonly voterSets: VoterSets
  readonly crossZone: CrossZone
  /** Hand-backs that were sent, kept in case the message was lost and the holder recalls the endpoint again. */
  readonly handedBack: Map<EndpointId, HandBack>
}
