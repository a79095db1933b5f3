/**
 * Tracks the lease voter sets of the zones, for this host's lease requests and votes. On the lease holder, checks its zone's
 * set periodically and proposes the next one when a voter is gone.
 */
import type { HostId, HostLocation, MonotonicMs, NodePath, PeerRow, SettingsView, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { ZoneSettings } from '@catkinferry/zone.grants'
import { isVoterSetSettled, listGoneVoters, listLeaseVoters, planVoterSet } from '@catkinferry/zone.leases'
import type { HeldLease, LeaseHolder, LeaseVoterSet, PlanVoterSetOptions } from '@catkinferry/zone.leases'

/** Interval of checks for gone voters. */
const CHECK_INTERVAL_MS = 10_000
const LEASE_VOTERS_KEY = 'zone.leaseVoters'

/** A proposed settings change: the new value of `key` at the zone's node in the fleet tree. */
export interface LeaseVoterProposal {
  readonly path: NodePath
  readonly key: string
  readonly value: LeaseVoterSet
}

export interface VoterSetDescription extends LeaseVoterSet {
  /** A majority has applied the set, so that the next change may follow. */
  readonly settled: boolean
  readonly gone: readonly HostId[]
}

export interface VoterSets {
  readonly getCurrent: () => LeaseVoterSet
  /** Number of the set that this host has applied for a zone; undefined while its settings are not ready. */
  readonly getNumber: (zone: ZoneId) => number | undefined
  readonly recordPlatformHosts: (hosts: readonly { readonly host: HostId, readonly leaving: boolean }[]) => void
  /** Called on the lease holder: checks the voters periodically and proposes the next set when one is gone. */
  readonly run: (held: HeldLease, liveHosts: readonly HostId[], context: RunContext) => void
  readonly getNextAt: () => MonotonicMs
  readonly describe: (held: HeldLease, liveHosts: readonly HostId[], now: MonotonicMs) => VoterSetDescription
}

export interface VoterSetsOptions {
  readonly self: HostLocation
  readonly peers: readonly PeerRow[]
  readonly settings: SettingsView
  readonly getSettings: () => ZoneSettings
  readonly getLastAnswer: LeaseHolder['getLastAnswer']
  readonly propose: ((proposal: LeaseVoterProposal, context: RunContext) => void) | undefined
}

/** Creates the tracker of voter sets; the set from the settings file has number 0. */
export function createVoterSets (opts: VoterSetsOptions): VoterSets {
  const { self, peers, settings } = opts
  const fromFile = listLeaseVoters({ zone: self.zone, peers })
  const regions = new Map(peers.map(({ zone, region }) => [zone, region]))
  let platformHosts: ReadonlySet<HostId> | undefined
  let nextAt = 0

  function getCurrent (): LeaseVoterSet {
    const { leaseVoters } = opts.getSettings()
    return leaseVoters.hosts.length > 0 ? leaseVoters : { number: leaseVoters.number, hosts: fromFile }
  }

  function getNumber (zone: ZoneId): number | undefined {
    if (!settings.isReady()) return undefined
    if (zone === self.zone) return getCurrent().number
    const set = settings.getValue<LeaseVoterSet | undefined>(`fleet/${regions.get(zone) ?? ''}/${zone}`, LEASE_VOTERS_KEY)
    return set?.number ?? 0
  }

  /** The platform list is applied to hosts of this zone only; hosts of other zones always count as listed. */
  function isListed (host: HostId): boolean {
    const isOwn = peers.some(peer => peer.host === host && peer.zone === self.zone)
    return !isOwn || platformHosts === undefined || platformHosts.has(host)
  }

  function buildPlanOptions (held: HeldLease, liveHosts: readonly HostId[], now: MonotonicMs): PlanVoterSetOptions {
    return { current: getCurrent(), getLastAnswer: opts.getLastAnswer, heldSince: held.since, now, liveHosts, isListed }
  }

  return {
    getCurrent,
    getNumber,
    recordPlatformHosts: hosts => {
      if (hosts.length > 0) platformHosts = new Set(hosts.filter(({ leaving }) => !leaving).map(({ host }) => host))
    },
    run: (held, liveHosts, context) => {
      if (nextAt > context.now) return
      nextAt = context.now + CHECK_INTERVAL_MS
      const value = planVoterSet(buildPlanOptions(held, liveHosts, context.now))
      if (value === undefined) return
      const fields = { step: 'leaseVoters', number: value.number, hosts: value.hosts }
      context.emit({ kind: 'log', level: 'warn', message: 'lease voter is gone; proposing the next voter set', fields })
      opts.propose?.({ path: `fleet/${self.region}/${self.zone}`, key: LEASE_VOTERS_KEY, value }, context)
    },
    getNextAt: () => nextAt,
    describe: (held, liveHosts, now) => {
      const plan = buildPlanOptions(held, liveHosts, now)
      return { ...plan.current, settled: isVoterSetSettled(plan), gone: listGoneVoters(plan) }
    }
  }
}
