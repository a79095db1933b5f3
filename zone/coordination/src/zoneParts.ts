/** The parts of a zone's system at one host. */
import type { EndpointId, HostId, HostPlace, MonotonicMs } from '@catkinferry/core.types'
import type { Grants, HandBack, ZoneSettings } from '@catkinferry/zone.grants'
import type { HeldLease, LeaseHolder, LeaseVoter } from '@catkinferry/zone.leases'
import type { PlatformTable, ZoneDigests, ZoneTable } from '@catkinferry/zone.membership'
import type { SubLease } from '@catkinferry/zone.ownership'
import type { CrossZone } from './crossZone.ts'
import type { Holder } from './holder.ts'
import type { StatePublisher } from './statePublisher.ts'
import type { VoterSets } from './voterSets.ts'

/** The lease is asked for after this much silence of its holder. */
export const HOLDER_SILENCE_MS = 1_500

/** What this host knows of its zone's lease and of its own part in it. */
export interface ZoneKnowledge {
  holder: HostId | undefined
  /** When the holder last answered. */
  heardAt: MonotonicMs
  leaving: boolean
  /** This host released the lease and takes it no more. */
  released: boolean
  held: HeldLease | undefined
  subLeaseLive: boolean
  platformAt: MonotonicMs
  askedViewAt: MonotonicMs
}

export interface ZoneParts {
  readonly self: HostPlace
  readonly zoneHosts: readonly HostId[]
  readonly getSettings: () => ZoneSettings
  /** Time of the current run. */
  readonly clock: { now: MonotonicMs }
  readonly known: ZoneKnowledge
  readonly leaseHolder: LeaseHolder
  readonly getVoter: (now: MonotonicMs) => LeaseVoter
  readonly subLease: SubLease
  readonly table: ZoneTable
  readonly platform: PlatformTable
  readonly digests: ZoneDigests
  readonly holder: Holder
  readonly grants: Grants
  readonly publisher: StatePublisher
  readonly voterSets: VoterSets
  readonly crossZone: CrossZone
  /** Hand-backs that were sent, to be sent again when the holder has not heard. */
  readonly handedBack: Map<EndpointId, HandBack>
}
