/** The candidate's and holder's side of a zone's majority lease. */
import { MAX_CLOCK_DRIFT_FRACTION, MAX_ZONE_LEASE_MS } from '@catkinferry/core.constants'
import type { Random } from '@catkinferry/core.random'
import type { DurationMs, HostId, MonotonicMs, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { LeaseMessage } from '@catkinferry/wire.messages'
import type { LeaseVoterSet } from './leaseVoterSet.ts'

type LeaseAnswer = Extract<LeaseMessage, { kind: 'lease.answer' }>

/** Renewals in the time of one lease. */
const RENEWALS_PER_LEASE = 4
/** Asks whose answers may still count. */
const MAX_OPEN_ASKS = 8
const MIN_RETRY_MS = 60
const MAX_RETRY_MS = 240
/** A refusal may come from a rival that wins no majority either. */
const LONGEST_PAUSE_MS = 400

interface OpenAsk {
  readonly askId: number
  readonly ballot: number
  readonly askedAt: MonotonicMs
  readonly durationMs: DurationMs
  readonly voters: LeaseVoterSet
  readonly grantedBy: Set<HostId>
  subLeasesMayRun: boolean
}

/** A lease that this host holds. */
export interface HeldLease {
  readonly ballot: number
  /** End on the holder's own clock: counted from when it asked, minus the drift bound. */
  readonly until: MonotonicMs
  /** When this ballot was first granted by a majority. */
  readonly since: MonotonicMs
  /** The ballot before ended early: sub-leases that came from it may still run. */
  readonly subLeasesMayRun: boolean
}

/** When a voter last answered, and the set that it had applied. */
export interface HeardVoter {
  readonly at: MonotonicMs
  readonly voterSet: number
}

export interface LeaseHolder {
  readonly getHeld: (now: MonotonicMs) => HeldLease | undefined
  readonly receiveAnswer: (from: HostId, answer: LeaseAnswer, context: RunContext) => void
  /** Asks or renews when due. `wanted` false: neither asks nor renews. */
  readonly run: (context: RunContext, wanted: boolean) => void
  readonly getNextAt: (wanted: boolean) => MonotonicMs | undefined
  readonly getHeard: (voter: HostId) => HeardVoter | undefined
  /** Gives up the lease and every open ask, without telling the voters. */
  readonly drop: (now: MonotonicMs) => void
  /** Gives up the lease and tells the voters. */
  readonly release: (context: RunContext) => void
  /** Brings the next ask forward, for instance when the holder has released the lease. */
  readonly askAt: (at: MonotonicMs) => void
}

export interface LeaseHolderOptions {
  readonly zone: ZoneId
  readonly getVoters: () => LeaseVoterSet
  readonly getLeaseMs: () => DurationMs
  readonly random: Random
}

/** Creates the holder side; it asks only when `run` is told that the lease is wanted. */
export function createLeaseHolder (opts: LeaseHolderOptions): LeaseHolder {
  const open: OpenAsk[] = []
  const heard = new Map<HostId, HeardVoter>()
  let held: HeldLease | undefined
  let highestBallot = 0
  let nextAskId = 1
  let nextAskAt = 0
  let validFrom = -Infinity

  function getHeld (now: MonotonicMs): HeldLease | undefined {
    if (held !== undefined && held.until <= now) held = undefined
    return held
  }

  function ask (context: RunContext): void {
    const { now } = context
    const current = getHeld(now)
    const durationMs = Math.min(opts.getLeaseMs(), MAX_ZONE_LEASE_MS)
    const ballot = current?.ballot ?? Math.max(highestBallot + 1, Math.floor(context.wallNow / 1000))
    highestBallot = Math.max(highestBallot, ballot)
    const voters = opts.getVoters()
    const askId = nextAskId++
    open.push({ askId, ballot, askedAt: now, durationMs, voters, grantedBy: new Set(), subLeasesMayRun: false })
    if (open.length > MAX_OPEN_ASKS) open.shift()
    nextAskAt = now + (current === undefined ? opts.random.nextInt(MIN_RETRY_MS, MAX_RETRY_MS) : durationMs / RENEWALS_PER_LEASE)
    for (const voter of voters.hosts) context.send(voter, { kind: 'lease.ask', zone: opts.zone, ballot, askId, durationMs, voterSet: voters.number, renewal: current !== undefined })
  }

  function applyMajority (granted: OpenAsk, now: MonotonicMs): void {
    const until = granted.askedAt + granted.durationMs * (1 - MAX_CLOCK_DRIFT_FRACTION)
    if (until <= now) return
    const current = getHeld(now)
    if (current !== undefined && current.ballot > granted.ballot) return
    if (current === undefined || current.ballot < granted.ballot) {
      held = { ballot: granted.ballot, until, since: now, subLeasesMayRun: granted.subLeasesMayRun }
      nextAskAt = granted.askedAt + granted.durationMs / RENEWALS_PER_LEASE
      return
    }
    held = { ...current, until: Math.max(current.until, until), subLeasesMayRun: current.subLeasesMayRun || granted.subLeasesMayRun }
  }

  /** Frees the voters that granted, so that rival candidates do not block each other for a whole lease. */
  function abandon (asked: OpenAsk, remainingMs: DurationMs, context: RunContext): void {
    open.splice(open.indexOf(asked), 1)
    const pauseMs = Math.min(remainingMs, LONGEST_PAUSE_MS) + opts.random.nextInt(MIN_RETRY_MS, MAX_RETRY_MS)
    nextAskAt = Math.max(nextAskAt, context.now + pauseMs)
    for (const voter of asked.voters.hosts) context.send(voter, { kind: 'lease.release', zone: opts.zone, ballot: asked.ballot, unused: true })
  }

  function receiveAnswer (from: HostId, answer: LeaseAnswer, context: RunContext): void {
    highestBallot = Math.max(highestBallot, answer.highestBallot)
    const asked = open.find(({ askId }) => askId === answer.askId)
    if (asked === undefined || asked.ballot !== answer.ballot || asked.askedAt < validFrom) return
    if (!asked.voters.hosts.includes(from)) return
    heard.set(from, { at: context.now, voterSet: answer.voterSet })
    if (!answer.granted) {
      if (getHeld(context.now) === undefined) abandon(asked, answer.remainingMs, context)
      return
    }
    asked.grantedBy.add(from)
    asked.subLeasesMayRun ||= answer.subLeasesMayRun
    if (asked.grantedBy.size * 2 > asked.voters.hosts.length) applyMajority(asked, context.now)
  }

  function drop (now: MonotonicMs): void {
    held = undefined
    open.length = 0
    validFrom = now
  }

  return {
    getHeld,
    getHeard: voter => heard.get(voter),
    receiveAnswer,
    drop,
    run: (context, wanted) => {
      if (wanted && nextAskAt <= context.now) ask(context)
    },
    getNextAt: wanted => wanted ? nextAskAt : held?.until,
    release: context => {
      const current = getHeld(context.now)
      drop(context.now)
      if (current === undefined) return
      for (const voter of opts.getVoters().hosts) context.send(voter, { kind: 'lease.release', zone: opts.zone, ballot: current.ballot, unused: false })
    },
    askAt: at => { nextAskAt = Math.min(nextAskAt, at) }
  }
}
