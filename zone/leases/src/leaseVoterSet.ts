/**
 * Lease voter sets: which hosts vote on a zone's lease by default, computed at startup, and which sets may overlap in time,
 * checked by the voter on each lease request.
 */
import type { HostId, PeerRow, ZoneId } from '@catkinferry/core.types'

const MIN_FAULT_TOLERANT_VOTERS = 3

/**
 * A numbered set of lease voters. Each change increases the number by one and adds or removes one host, so that majorities of
 * consecutive sets share a host. The next change may follow only when a majority of the set has applied it.
 */
export interface LeaseVoterSet {
  readonly number: number
  readonly hosts: readonly HostId[]
}

/** Returns whether a voter that has applied set `own` may vote for a candidate that counts votes by set `requested`. */
export function isVoterSetCurrent (own: number, requested: number): boolean {
  return requested === own || requested === own + 1
}

function compareByDistance (zone: PeerRow | undefined): (a: PeerRow, b: PeerRow) => number {
  return (a, b) => {
    const near = Number(b.region === zone?.region) - Number(a.region === zone?.region)
    return near !== 0 ? near : `${a.zone}/${a.host}`.localeCompare(`${b.zone}/${b.host}`)
  }
}

/**
 * Lists the lease voters of a zone by the settings file, in the same way on every host: the lease voters named for the zone, or
 * all its hosts when none is named. When these are two, a lease voter of the nearest zone is added as a third.
 */
export function listLeaseVoters (opts: { readonly zone: ZoneId, readonly peers: readonly PeerRow[] }): readonly HostId[] {
  const inZone = opts.peers.filter(({ zone }) => zone === opts.zone)
  const named = inZone.filter(({ leaseVoter }) => leaseVoter)
  const own = (named.length > 0 ? named : inZone).map(({ host }) => host).sort()
  if (own.length !== MIN_FAULT_TOLERANT_VOTERS - 1) return own
  const others = opts.peers.filter(({ zone, leaseVoter }) => zone !== opts.zone && leaseVoter)
  const nearest = others.sort(compareByDistance(inZone[0]))[0]
  return nearest === undefined ? own : [...own, nearest.host]
}
