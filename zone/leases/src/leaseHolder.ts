/**
 * The candidate's and holder's side of a zone lease: requests the lease from the lease voters, renews it and releases it.
 * Every host runs one; it sends requests only while the host wants the lease.
 */
import { MAX_CLOCK_DRIFT_FRACTION, MAX_ZONE_LEASE_MS } from '@catkinferry/core.constants'
import type { Random } from '@catkinferry/core.random'
import type { DurationMs, HostId, MonotonicMs, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { LeaseMessage } from '@catkinferry/wire.messages'
import type { LeaseVoterSet } from './leaseVoterSet.ts'

type LeaseAnswer = Extract<LeaseMessage, { kind: 'lease.answer' }>

/** Renewals within the duration of one lease. */
const RENEWALS_PER_LEASE = 4
/** Maximum number of pending requests; answers to older ones are ignored. */
const MAX_PENDING_REQUESTS = 8
/** Bounds of the random delay before a candidate requests the lease again. */
const MIN_RETRY_MS = 60
const MAX_RETRY_MS = 240
/** Longest backoff after a refusal, before jitter; shorter than a lease, as the voter may have granted a rival that wins no majority either. */
const MAX_BACKOFF_MS = 400

interface PendingRequest {
  readonly askId: number
  readonly ballot: number
  readonly requestedAt: MonotonicMs
  readonly durationMs: DurationMs
  readonly voters: LeaseVoterSet
  readonly grantedBy: Set<HostId>
  subLeasesMayRun: boolean
}

/** A lease that this host holds. */
export interface HeldLease {
  readonly ballot: number
  /** End on the holder's clock, counted from when it sent the request and shortened by the drift bound. */
  readonly until: MonotonicMs
  /** When a majority first granted this ballot. */
  readonly since: MonotonicMs
  /** The previous ballot ended early, so that sub-leases under it may still run. */
  readonly subLeasesMayRun: boolean
}

/** When a voter last answered, and the number of the voter set that it had applied then. */
export interface VoterAnswer {
  readonly at: MonotonicMs
  readonly voterSet: number
}

export interface LeaseHolder {
  readonly getHeld: (now: MonotonicMs) => HeldLease | undefined
  readonly receiveAnswer: (from: HostId, answer: LeaseAnswer, context: RunContext) => void
  /** Requests or renews the lease when due; does nothing when `wanted` is false. */
  readonly run: (context: RunContext, wanted: boolean) => void
  readonly getNextAt: (wanted: boolean) => MonotonicMs | undefined
  readonly getLastAnswer: (voter: HostId) => VoterAnswer | undefined
  /** Drops the lease and all pending requests without notifying the voters. */
  readonly drop: (now: MonotonicMs) => void
  /** Releases the lease and notifies the voters. */
  readonly release: (context: RunContext) => void
  /** Brings the next request forward, for instance when the holder has released the lease. */
  readonly scheduleRequest: (at: MonotonicMs) => void
}

export interface LeaseHolderOptions {
  readonly zone: ZoneId
  readonly getVoters: () => LeaseVoterSet
  readonly getLeaseMs: () => DurationMs
  readonly random: Random
}

/** Creates the holder side, without a lease. */
export function createLeaseHolder (opts: LeaseHolderOptions): LeaseHolder {
  const pending: PendingRequest[] = []
  const lastAnswers = new Map<HostId, VoterAnswer>()
  let held: HeldLease | undefined
  let highestBallot = 0
  let nextAskId = 1
  let nextRequestAt = 0
  let validFrom = -Infinity

  function getHeld (now: MonotonicMs): HeldLease | undefined {
    if (held !== undefined && held.until <= now) held = undefined
    return held
  }

  function requestLease (context: RunContext): void {
    const { now } = context
    const current = getHeld(now)
    const durationMs = Math.min(opts.getLeaseMs(), MAX_ZONE_LEASE_MS)
    const ballot = current?.ballot ?? Math.max(highestBallot + 1, Math.floor(context.wallNow / 1000))
    highestBallot = Math.max(highestBallot, ballot)
    const voters = opts.getVoters()
    const askId = nextAskId++
    pending.push({ askId, ballot, requestedAt: now, durationMs, voters, grantedBy: new Set(), subLeasesMayRun: false })
    if (pending.length > MAX_PENDING_REQUESTS) pending.shift()
    nextRequestAt = now + (current === undefined ? opts.random.nextInt(MIN_RETRY_MS, MAX_RETRY_MS) : durationMs / RENEWALS_PER_LEASE)
    for (const voter of voters.hosts) context.send(voter, { kind: 'lease.ask', zone: opts.zone, ballot, askId, durationMs, voterSet: voters.number, renewal: current !== undefined })
  }

  function applyMajority (granted: PendingRequest, now: MonotonicMs): void {
    const until = granted.requestedAt + granted.durationMs * (1 - MAX_CLOCK_DRIFT_FRACTION)
    if (until <= now) return
    const current = getHeld(now)
    if (current !== undefined && current.ballot > granted.ballot) return
    if (current === undefined || current.ballot < granted.ballot) {
      held = { ballot: granted.ballot, until, since: now, subLeasesMayRun: granted.subLeasesMayRun }
      nextRequestAt = granted.requestedAt + granted.durationMs / RENEWALS_PER_LEASE
      return
    }
    held = { ...current, until: Math.max(current.until, until), subLeasesMayRun: current.subLeasesMayRun || granted.subLeasesMayRun }
  }

  /** Cancels a refused request and releases the voters that granted it, so that rival candidates do not block each other for a whole lease. */
  function cancelRequest (request: PendingRequest, remainingMs: DurationMs, context: RunContext): void {
    pending.splice(pending.indexOf(request), 1)
    const backoffMs = Math.min(remainingMs, MAX_BACKOFF_MS) + opts.random.nextInt(MIN_RETRY_MS, MAX_RETRY_MS)
    nextRequestAt = Math.max(nextRequestAt, context.now + backoffMs)
    for (const voter of request.voters.hosts) context.send(voter, { kind: 'lease.release', zone: opts.zone, ballot: request.ballot, unused: true })
  }

  function receiveAnswer (from: HostId, answer: LeaseAnswer, context: RunContext): void {
    highestBallot = Math.max(highestBallot, answer.highestBallot)
    const request = pending.find(({ askId }) => askId === answer.askId)
    if (request === undefined || request.ballot !== answer.ballot || request.requestedAt < validFrom) return
    if (!request.voters.hosts.includes(from)) return
    lastAnswers.set(from, { at: context.now, voterSet: answer.voterSet })
    if (!answer.granted) {
      if (getHeld(context.now) === undefined) cancelRequest(request, answer.remainingMs, context)
      return
    }
    request.grantedBy.add(from)
    request.subLeasesMayRun ||= answer.subLeasesMayRun
    if (request.grantedBy.size * 2 > request.voters.hosts.length) applyMajority(request, context.now)
  }

  function drop (now: MonotonicMs): void {
    held = undefined
    pending.length = 0
    validFrom = now
  }

  return {
    getHeld,
    getLastAnswer: voter => lastAnswers.get(voter),
    receiveAnswer,
    drop,
    run: (context, wanted) => {
      if (wanted && nextRequestAt <= context.now) requestLease(context)
    },
    getNextAt: wanted => wanted ? nextRequestAt : held?.until,
    release: context => {
      const current = getHeld(context.now)
      drop(context.now)
      if (current === undefined) return
      for (const voter of opts.getVoters().hosts) context.send(voter, { kind: 'lease.release', zone: opts.zone, ballot: current.ballot, unused: false })
    },
    scheduleRequest: at => { nextRequestAt = Math.min(nextRequestAt, at) }
  }
}
