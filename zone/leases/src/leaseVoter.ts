/**
 * The voter's side of zone leases: on each lease request, promises the lease of a zone to one host at a time.
 * Promises are kept in memory only; after a start the voter therefore stays silent until earlier promises have expired.
 */
import { MAX_CLOCK_DRIFT_FRACTION, MAX_ZONE_LEASE_MS } from '@catkinferry/core.constants'
import type { DurationMs, HostId, MonotonicMs, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { LeaseMessage } from '@catkinferry/wire.messages'
import { isVoterSetCurrent } from './leaseVoterSet.ts'

type LeaseRequest = Extract<LeaseMessage, { kind: 'lease.ask' }>
type LeaseRelease = Extract<LeaseMessage, { kind: 'lease.release' }>

/** The voter's latest promise for one zone. */
interface LeasePromise {
  readonly holder: HostId
  readonly ballot: number
  /** Highest ballot ever promised. */
  readonly highestBallot: number
  readonly until: MonotonicMs
  /** Ended early by a release. */
  readonly released: boolean
  /** At the time of the promise, sub-leases of the previous ballot could still run. */
  readonly subLeasesMayRun: boolean
}

export interface LeaseVoterOptions {
  /** Requests are ignored until then. */
  readonly silentUntil: MonotonicMs
  /** Number of the lease voter set of a zone that this host has applied; undefined while its settings are not ready. */
  readonly getVoterSet: (zone: ZoneId) => number | undefined
}

export interface LeaseVoter {
  readonly receiveRequest: (from: HostId, request: LeaseRequest, context: RunContext) => void
  readonly receiveRelease: (from: HostId, release: LeaseRelease, context: RunContext) => void
  /** True while a promise from before a restart of this host may still be in force. */
  readonly isSilent: (now: MonotonicMs) => boolean
}

/** Computes how long a voter keeps a promise: the holder's lease duration plus the clock drift bound. */
export function computeVoterLeaseMs (durationMs: DurationMs): DurationMs {
  return Math.min(durationMs, MAX_ZONE_LEASE_MS) * (1 + MAX_CLOCK_DRIFT_FRACTION)
}

function isPromisedToOther (promise: LeasePromise | undefined, from: HostId, now: MonotonicMs): boolean {
  return promise !== undefined && promise.holder !== from && promise.until > now
}

/**
 * Returns whether a ballot is too low. A new ballot must be above all that the voter has promised. A renewal need not be: its
 * holder has a majority without this voter, and must not lose this vote for good to a rival's higher ballot that won none.
 */
function isStale (promise: LeasePromise | undefined, from: HostId, request: LeaseRequest): boolean {
  if (promise === undefined || request.renewal) return false
  const isSame = promise.holder === from && promise.ballot === request.ballot
  return !isSame && request.ballot <= promise.highestBallot
}

/**
 * Returns whether sub-leases of the previous ballot may still run. They end within their lease, unless the lease was released or
 * taken under a new ballot before its end.
 */
function maySubLeasesRun (before: LeasePromise | undefined, ballot: number, now: MonotonicMs): boolean {
  if (before === undefined) return false
  if (before.ballot === ballot) return before.subLeasesMayRun
  return before.released || before.until > now
}

/**
 * Creates a voter that answers for every zone that names it. `silentUntil` must be at least the longest lease after the start,
 * so that all promises from before a restart have expired.
 */
export function createLeaseVoter (opts: LeaseVoterOptions): LeaseVoter {
  const promises = new Map<ZoneId, LeasePromise>()
  const isSilent = (now: MonotonicMs): boolean => now < opts.silentUntil

  function receiveLeaseRequest (from: HostId, request: LeaseRequest, context: RunContext): void {
    const { now } = context
    const voterSet = opts.getVoterSet(request.zone)
    if (isSilent(now) || voterSet === undefined) return
    const promise = promises.get(request.zone)
    const refused = !isVoterSetCurrent(voterSet, request.voterSet) || isPromisedToOther(promise, from, now) || isStale(promise, from, request)
    const answer = { kind: 'lease.answer', zone: request.zone, ballot: request.ballot, askId: request.askId, voterSet } as const
    if (refused) {
      const remainingMs = Math.max(0, (promise?.until ?? now) - now)
      context.send(from, { ...answer, granted: false, highestBallot: promise?.highestBallot ?? 0, remainingMs, subLeasesMayRun: false, holder: remainingMs > 0 ? promise?.holder : undefined })
      return
    }
    const until = now + computeVoterLeaseMs(request.durationMs)
    const subLeasesMayRun = maySubLeasesRun(promise, request.ballot, now)
    const highestBallot = Math.max(request.ballot, promise?.highestBallot ?? 0)
    promises.set(request.zone, { holder: from, ballot: request.ballot, highestBallot, until, released: false, subLeasesMayRun })
    context.send(from, { ...answer, granted: true, highestBallot, remainingMs: request.durationMs, subLeasesMayRun })
  }

  function receiveRelease (from: HostId, release: LeaseRelease, context: RunContext): void {
    const promise = promises.get(release.zone)
    if (promise === undefined || promise.holder !== from || promise.ballot !== release.ballot) return
    promises.set(release.zone, { ...promise, until: context.now, released: !release.unused || promise.subLeasesMayRun })
  }

  return { receiveRequest: receiveLeaseRequest, receiveRelease, isSilent }
}
