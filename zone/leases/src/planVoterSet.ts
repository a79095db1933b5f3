/** Plans the next change of a zone's lease voter set, for the lease holder, when a voter is gone. */
import type { DurationMs, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { VoterAnswer } from './leaseHolder.ts'
import type { LeaseVoterSet } from './leaseVoterSet.ts'

/** A voter that has been silent this long and is not listed by the platform counts as gone. */
const GONE_AFTER_MS: DurationMs = 60_000
const MIN_VOTERS = 3

export interface PlanVoterSetOptions {
  readonly current: LeaseVoterSet
  readonly getHeard: (voter: HostId) => VoterAnswer | undefined
  /** When this host became the holder. */
  readonly heldSince: MonotonicMs
  readonly now: MonotonicMs
  /** Live hosts of the zone. */
  readonly liveHosts: readonly HostId[]
  /** Tells whether the platform lists the host, and not as leaving. */
  readonly isListed: (host: HostId) => boolean
}

/** Tells whether a majority of the set has applied it, so that no earlier set can win a vote and the next change may follow. */
export function isVoterSetSettled (opts: Pick<PlanVoterSetOptions, 'current' | 'getHeard'>): boolean {
  const { current, getHeard } = opts
  const applied = current.hosts.filter(host => (getHeard(host)?.voterSet ?? -1) >= current.number)
  return applied.length * 2 > current.hosts.length
}

/** Lists the voters of a set that are gone. */
export function listGoneVoters (opts: PlanVoterSetOptions): readonly HostId[] {
  const { current, getHeard, heldSince, now, isListed } = opts
  return current.hosts.filter(host => !isListed(host) && now - (getHeard(host)?.at ?? heldSince) >= GONE_AFTER_MS)
}

/**
 * Plans the next single step: adds a live host that is no voter yet, if there is one, then removes the gone voter. Undefined
 * while the last step is not settled or when there is nothing to change.
 */
export function planVoterSet (opts: PlanVoterSetOptions): LeaseVoterSet | undefined {
  const { current, liveHosts } = opts
  if (!isVoterSetSettled(opts)) return undefined
  const gone = listGoneVoters(opts)
  const [first] = gone
  if (first === undefined) return undefined
  const spare = liveHosts.find(host => !current.hosts.includes(host))
  const number = current.number + 1
  const isOdd = current.hosts.length % 2 === 1
  if (spare !== undefined && isOdd) return { number, hosts: [...current.hosts, spare] }
  // Two voters tolerate no loss, just like three with one gone; but three tolerate one again when the gone host is back.
  if (current.hosts.length <= MIN_VOTERS) return undefined
  return { number, hosts: current.hosts.filter(host => host !== first) }
}
