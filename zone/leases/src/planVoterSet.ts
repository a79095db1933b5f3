/** Plans the next change of a zone's lease voter set when a voter is gone, for the lease holder, which checks periodically. */
import type { DurationMs, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { VoterAnswer } from './leaseHolder.ts'
import type { LeaseVoterSet } from './leaseVoterSet.ts'

/** A voter that has been silent this long and is not listed by the platform counts as gone. */
const GONE_AFTER_MS: DurationMs = 60_000
/** A voter set is not shrunk below this number. */
const MIN_VOTERS = 3

export interface PlanVoterSetOptions {
  readonly current: LeaseVoterSet
  readonly getLastAnswer: (voter: HostId) => VoterAnswer | undefined
  /** When this host became the holder. */
  readonly heldSince: MonotonicMs
  readonly now: MonotonicMs
  /** Live hosts of the zone. */
  readonly liveHosts: readonly HostId[]
  /** Returns whether the platform lists the host, and not as leaving. */
  readonly isListed: (host: HostId) => boolean
}

/** Returns whether a majority of the set has applied it, so that no earlier set can win a vote and the next change may follow. */
export function isVoterSetSettled (opts: Pick<PlanVoterSetOptions, 'current' | 'getLastAnswer'>): boolean {
  const { current, getLastAnswer } = opts
  const applied = current.hosts.filter(host => (getLastAnswer(host)?.voterSet ?? -1) >= current.number)
  return applied.length * 2 > current.hosts.length
}

/** Lists the voters of a set that are gone. */
export function listGoneVoters (opts: PlanVoterSetOptions): readonly HostId[] {
  const { current, getLastAnswer, heldSince, now, isListed } = opts
  return current.hosts.filter(host => !isListed(host) && now - (getLastAnswer(host)?.at ?? heldSince) >= GONE_AFTER_MS)
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
  // Keeps three voters when one is gone: two would tolerate no further loss either, and three tolerate one again once the host returns.
  if (current.hosts.length <= MIN_VOTERS) return undefined
  return { number, hosts: current.hosts.filter(host => host !== first) }
}
