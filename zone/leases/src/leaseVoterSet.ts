/** Who votes on a zone's lease. */
import type { HostId, PeerRow, ZoneId } from '@catkinferry/core.types'

const SMALLEST_MAJORITY_SET = 3

/**
 * A numbered set of lease voters. Each change raises the number by one and adds or removes one host, so that majorities of
 * neighbouring sets share a host. A change may follow only when a majority of the set has applied it.
 */
export interface LeaseVoterSet {
  readonly number: number
  readonly hosts: readonly HostId[]
}

/** Tells whether a voter that has applied set `own` may vote for a candidate that counts set `asked`. */
export function isVoterSetCurrent (own: number, asked: number): boolean {
  return asked === own || asked === own + 1
}

function compareByDistance (zone: PeerRow | undefined): (a: PeerRow, b: PeerRow) => number {
  return (a, b) => {
    const near = Number(b.region === zone?.region) - Number(a.region === zone?.region)
    return near !== 0 ? near : `${a.zone}/${a.host}`.localeCompare(`${b.zone}/${b.host}`)
  }
}

/**
 * Lists the lease voters of a zone, the same on every host with the same settings file: the zone's named lease voters,
 * all its hosts when none is named, and a third from the nearest zone when there are only two.
 */
export function listLeaseVoters (opts: { readonly zone: ZoneId, readonly peers: readonly PeerRow[] }): readonly HostId[] {
  const inZone = opts.peers.filter(({ zone }) => zone === opts.zone)
  const named = inZone.filter(({ leaseVoter }) => leaseVoter)
  const own = (named.length > 0 ? named : inZone).map(({ host }) => host).sort()
  if (own.length !== SMALLEST_MAJORITY_SET - 1) return own
  const others = opts.peers.filter(({ zone, leaseVoter }) => zone !== opts.zone && leaseVoter)
  const nearest = others.sort(compareByDistance(inZone[0]))[0]
  return nearest === undefined ? own : [...own, nearest.host]
}
