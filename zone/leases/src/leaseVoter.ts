/** A lease voter: promises a zone's lease to one host at a time, in memory only. */
import { MAX_CLOCK_DRIFT_FRACTION, MAX_ZONE_LEASE_MS } from '@catkinferry/core.constants'
import type { DurationMs, HostId, MonotonicMs, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { LeaseMessage } from '@catkinferry/wire.messages'
import { isVoterSetCurrent } from './leaseVoterSet.ts'

type LeaseAsk = Extract<LeaseMessage, { kind: 'lease.ask' }>
type LeaseRelease = Extract<LeaseMessage, { kind: 'lease.release' }>

/** What the voter promised for one zone. */
interface LeasePromise {
  readonly holder: HostId
  readonly ballot: number
  /** The highest ballot that was ever promised. */
  readonly highestBallot: number
  readonly until: MonotonicMs
  /** Ended before `until` was over. */
  readonly released: boolean
  /** When it was promised, sub-leases of the ballot before could still run. */
  readonly subLeasesMayRun: boolean
}

export interface LeaseVoterOptions {
  readonly silentUntil: MonotonicMs
  /** Number of the set of lease voters of a zone that this host has applied; undefined while its settings are not ready. */
  readonly getVoterSet: (zone: ZoneId) => number | undefined
}

export interface LeaseVoter {
  readonly receiveAsk: (from: HostId, ask: LeaseAsk, context: RunContext) => void
  readonly receiveRelease: (from: HostId, release: LeaseRelease, context: RunContext) => void
  /** True while the voter may have forgotten a promise of an earlier life. */
  readonly isSilent: (now: MonotonicMs) => boolean
}

/** How long a voter counts a lease: the holder's duration plus the clock drift bound. */
export function computeVoterLeaseMs (durationMs: DurationMs): DurationMs {
  return Math.min(durationMs, MAX_ZONE_LEASE_MS) * (1 + MAX_CLOCK_DRIFT_FRACTION)
}

function isPromisedToOther (promise: LeasePromise | undefined, from: HostId, now: MonotonicMs): boolean {
  return promise !== undefined && promise.holder !== from && promise.until > now
}

/**
 * A new ballot must be above all that the voter promised. A renewal need not: its holder has a majority without this voter,
 * and a rival's higher ballot that won none must not cost it this vote for good.
 */
function isStale (promise: LeasePromise | undefined, from: HostId, ask: LeaseAsk): boolean {
  if (promise === undefined || ask.renewal) return false
  const isSame = promise.holder === from && promise.ballot === ask.ballot
  return !isSame && ask.ballot <= promise.highestBallot
}

/** Sub-leases end inside the lease that they came from, but not when it was released or taken anew before its end. */
function maySubLeasesRun (before: LeasePromise | undefined, ballot: number, now: MonotonicMs): boolean {
  if (before === undefined) return false
  if (before.ballot === ballot) return before.subLeasesMayRun
  return before.released || before.until > now
}

/**
 * Creates a voter that answers for every zone that names it. It stays silent until `silentUntil`, one longest lease
 * after its start, so that a promise of an earlier life has ended.
 */
export function createLeaseVoter (opts: LeaseVoterOptions): LeaseVoter {
  const promises = new Map<ZoneId, LeasePromise>()
  const isSilent = (now: MonotonicMs): boolean => now < opts.silentUntil

  function receiveAsk (from: HostId, ask: LeaseAsk, context: RunContext): void {
    const { now } = context
    const voterSet = opts.getVoterSet(ask.zone)
    if (isSilent(now) || voterSet === undefined) return
    const promise = promises.get(ask.zone)
    const refused = !isVoterSetCurrent(voterSet, ask.voterSet) || isPromisedToOther(promise, from, now) || isStale(promise, from, ask)
    const answer = { kind: 'lease.answer', zone: ask.zone, ballot: ask.ballot, askId: ask.askId, voterSet } as const
    if (refused) {
      const remainingMs = Math.max(0, (promise?.until ?? now) - now)
      context.send(from, { ...answer, granted: false, highestBallot: promise?.highestBallot ?? 0, remainingMs, subLeasesMayRun: false, holder: remainingMs > 0 ? promise?.holder : undefined })
      return
    }
    const until = now + computeVoterLeaseMs(ask.durationMs)
    const subLeasesMayRun = maySubLeasesRun(promise, ask.ballot, now)
    const highestBallot = Math.max(ask.ballot, promise?.highestBallot ?? 0)
    promises.set(ask.zone, { holder: from, ballot: ask.ballot, highestBallot, until, released: false, subLeasesMayRun })
    context.send(from, { ...answer, granted: true, highestBallot, remainingMs: ask.durationMs, subLeasesMayRun })
  }

  function receiveRelease (from: HostId, release: LeaseRelease, context: RunContext): void {
    const promise = promises.get(release.zone)
    if (promise === undefined || promise.holder !== from || promise.ballot !== release.ballot) return
    promises.set(release.zone, { ...promise, until: context.now, released: !release.unused || promise.subLeasesMayRun })
  }

  return { receiveAsk, receiveRelease, isSilent }
}
