/** Which change of the lease voters a holder should propose. */
import type { DurationMs, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { HeardVoter } from './leaseHolder.ts'
import type { LeaseVoterSet } from './leaseVoterSet.ts'

/** A voter that is silent this long and not listed by the platform is taken as gone. */
const GONE_AFTER_MS: DurationMs = 60_000
const SMALLEST_SET = 3

export interface PlanVoterSetOptions {
  readonly current: LeaseVoterSet
  readonly getHeard: (voter: HostId) => HeardVoter | undefined
  /** When this host became the holder. */
  readonly heldSince: MonotonicMs
  readonly now: MonotonicMs
  /** Live hosts of the zone. */
  readonly liveHosts: readonly HostId[]
  /** Tells whether the platform lists the host as staying. */
  readonly isListed: (host: HostId) => boolean
}

/** True when a majority of the set has applied it, so that no earlier set can win and the next change may follow. */
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
 * Plans the next single step: a live host for a gone voter where the zone has one that does not vote, then the removal of
 * the gone one. Undefined while the last step is not settled or nothing is to be done.
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
  // A set of two stands no loss, as three with one gone, but gains nothing when the gone host is back.
  if (current.hosts.length <= SMALLEST_SET) return undefined
  return { number, hosts: current.hosts.filter(host => host !== first) }
}
