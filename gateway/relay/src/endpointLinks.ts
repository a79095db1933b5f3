/**
 * Connection pool, load and health of each endpoint, as observed by this host. The relay chooses endpoints by them, updates
 * them on each attempt and response, and checks for silent endpoints and unused links on timers.
 */
import { Agent } from 'node:http'
import type { ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '@catkinferry/core.clock'
import type { DurationMs, EndpointId, MonotonicMs } from '@catkinferry/core.types'
import type { OthersLoad } from '@catkinferry/fleet.directory'
import { createBreaker } from '@catkinferry/routing.breakers'
import type { Breaker, BreakerLimits } from '@catkinferry/routing.breakers'
import { createConnectionUses } from './connectionUses.ts'
import type { ConnectionUses } from './connectionUses.ts'
import { IDLE_FRACTION, MAX_IDLE_MS, SILENCE_FIRST_BYTE_FACTOR, SILENCE_MS } from './constants.ts'
import type { EndpointLoad } from './dialect.ts'

/** The circuit breaker of an endpoint opens for `openMs` when this fraction of its attempts has failed. */
export const BREAKER_LIMITS: BreakerLimits = { failureFraction: 0.5, minimumRequests: 6, openMs: 1_500 }

/** Weight of a new sample in the average time to first byte. */
const SMOOTHING_FACTOR = 0.15
/** Time constant with which the load that an endpoint reported decays while the leader reports none. */
const REPORTED_LOAD_DECAY_MS = 800
/** Time constant with which a reported slowdown decays: shared machines slow endpoints for fractions of a second. */
export const SLOWDOWN_DECAY_MS = 250
/** Slowdowns beyond this are taken for errors. */
const MAX_SLOWDOWN = 10
/** Weight of a new sample in the relative run time, and the range of samples. */
const RUN_TIME_SMOOTHING_FACTOR = 0.1
const MAX_RELATIVE_RUN_TIME = 4
/** Idle links that were not used for this long are closed, such as those of removed endpoints. */
const UNUSED_LINK_MS = 30_000
/** Minimum number of connections that one host may open to an endpoint. */
const MIN_CONNECTIONS = 4

/** Closes idle connections before the endpoint does, so that no request is sent on a connection that is being closed, and at once when bytes arrive on them. */
class IdleLimitAgent extends Agent {
  idleMs: DurationMs = MAX_IDLE_MS

  override keepSocketAlive (socket: Duplex): boolean {
    const isKept = super.keepSocketAlive(socket) as unknown as boolean
    if (!isKept) return false
    ;(socket as Socket).setTimeout(this.idleMs)
    socket.on('data', destroyOnSurplus)
    return true
  }

  override reuseSocket (socket: Duplex, request: ClientRequest): void {
    socket.off('data', destroyOnSurplus)
    super.reuseSocket(socket, request)
  }
}

/** Bytes on an idle connection belong to no request; a later one would take them for its response. */
function destroyOnSurplus (this: Duplex): void {
  this.destroy()
}

export interface EndpointLink {
  readonly endpoint: EndpointId
  readonly address: string
  readonly agent: IdleLimitAgent
  /** Where connections are opened from; undefined: any address of the host. */
  readonly localIp: string | undefined
  readonly connections: ConnectionUses
  readonly breaker: Breaker
  /** Requests of this host in flight there. */
  inFlight: number
  /** When the latest byte arrived, or when the first request was sent if none has; undefined while nothing is in flight. */
  awaitingSince: MonotonicMs | undefined
  /** Number of streams that are paused because their callers read too slowly. */
  pausedStreams: number
  /** Whether no byte arrives while requests are in flight; see `SILENCE_MS`. */
  silent: boolean
  /** The endpoint is avoided until then because a connection to it failed; without end while probes decide. */
  unreachableUntil: MonotonicMs
  /** When the latest byte of any response arrived. */
  heardAt: MonotonicMs
  /** When the next probe of an unreachable endpoint is due. */
  probeAt: MonotonicMs
  /** Load that the endpoint last reported, and how many requests of this host were in flight then. */
  reportedLoad: { readonly load: EndpointLoad, readonly inFlight: number, readonly at: MonotonicMs } | undefined
  /** Average time to first byte; undefined before the first response. */
  firstByteMs: DurationMs | undefined
  /** Average run time for the same work, relative to the pool; 1 before it is known. */
  relativeRunTime: number
  usedAt: MonotonicMs
}

export interface EndpointLinks {
  /** Creates the link on first use. `maxConnections` is the limit for all entry hosts together; this host uses its share. */
  readonly get: (endpoint: EndpointId, address: string, maxConnections: number) => EndpointLink
  /** Updates `silent` of all links and returns those for which it changed. */
  readonly updateSilent: () => readonly EndpointLink[]
  /** This host read no sockets for so long: the time does not count as silence of endpoints. */
  readonly recordPause: (pauseMs: DurationMs) => void
  /** Links that a probe is due for. */
  readonly listProbesDue: () => readonly EndpointLink[]
  /** Closes links that are idle and were not used for a while. */
  readonly sweep: () => void
  readonly close: () => void
}

/**
 * Estimates how many requests run or wait at an endpoint: those in flight from this host, and those of other hosts by the
 * load that the endpoint or the leader reported, whichever is more recent.
 */
export function estimateLoad (link: EndpointLink, othersLoad: OthersLoad | undefined, now: MonotonicMs): number {
  const { reportedLoad, inFlight } = link
  const isReportedLoadFresher = reportedLoad !== undefined && (othersLoad === undefined || reportedLoad.at >= othersLoad.at)
  if (!isReportedLoadFresher) return inFlight + (othersLoad === undefined ? 0 : othersLoad.running)
  const { load: { running, waiting }, inFlight: inFlightThen, at } = reportedLoad
  const weight = othersLoad === undefined ? Math.exp(-(now - at) / REPORTED_LOAD_DECAY_MS) : 1
  return inFlight + Math.max(0, running + waiting - inFlightThen) * weight
}

/** Estimates how much longer work takes at an endpoint now than usual, from what it last reported. */
export function estimateSlowdown ({ reportedLoad }: EndpointLink, now: MonotonicMs): number {
  const slowdown = reportedLoad?.load.slowdown
  if (reportedLoad === undefined || slowdown === undefined) return 1
  return 1 + (Math.min(MAX_SLOWDOWN, slowdown) - 1) * Math.exp(-(now - reportedLoad.at) / SLOWDOWN_DECAY_MS)
}

/** Records the run time of a request relative to that of the same work in the pool. */
export function recordRelativeRunTime (link: EndpointLink, sample: number): void {
  const bounded = Math.min(MAX_RELATIVE_RUN_TIME, Math.max(1 / MAX_RELATIVE_RUN_TIME, sample))
  link.relativeRunTime += (bounded - link.relativeRunTime) * RUN_TIME_SMOOTHING_FACTOR
}

export function hasIdleConnection ({ agent }: EndpointLink): boolean {
  return Object.keys(agent.freeSockets).length > 0
}

/** Whether a connection to the endpoint is open. The end of one on which a response is paused is not read, so such links count idle connections only. */
export function hasOpenConnection ({ agent, pausedStreams }: EndpointLink): boolean {
  const lists = [agent.freeSockets, pausedStreams === 0 ? agent.sockets : {}].flatMap(sockets => Object.values(sockets))
  return lists.some(sockets => sockets?.some(socket => !socket.connecting && socket.readyState === 'open') === true)
}

export function recordFirstByte (link: EndpointLink, firstByteMs: DurationMs): void {
  const averageMs = link.firstByteMs ?? firstByteMs
  link.firstByteMs = averageMs + (firstByteMs - averageMs) * SMOOTHING_FACTOR
}

export function recordSent (link: EndpointLink, now: MonotonicMs): void {
  link.inFlight += 1
  link.awaitingSince ??= now
}

/** Called when bytes arrive on any connection to the endpoint. */
export function recordBytes (link: EndpointLink, now: MonotonicMs): void {
  link.heardAt = now
  if (link.inFlight > 0) link.awaitingSince = now
}

export function recordEnded (link: EndpointLink): void {
  link.inFlight -= 1
  if (link.inFlight === 0) link.awaitingSince = undefined
}

function isSilent ({ awaitingSince, pausedStreams, firstByteMs = 0 }: EndpointLink, now: MonotonicMs): boolean {
  if (awaitingSince === undefined || pausedStreams > 0) return false
  return now - awaitingSince > Math.max(SILENCE_MS, firstByteMs * SILENCE_FIRST_BYTE_FACTOR)
}

/** Sets the idle timeout from the keep-alive time that the endpoint announces. */
export function setIdleTimeout (link: EndpointLink, keepAliveMs: DurationMs | undefined): void {
  if (keepAliveMs !== undefined) link.agent.idleMs = Math.min(MAX_IDLE_MS, keepAliveMs * IDLE_FRACTION)
}

export function createEndpointLinks (opts: { readonly clock: Clock, readonly getEntryCount: () => number, readonly localIp?: string }): EndpointLinks {
  const links = new Map<string, EndpointLink>()

  function create (endpoint: EndpointId, address: string): EndpointLink {
    const agent = new IdleLimitAgent({ keepAlive: true, scheduling: 'lifo', timeout: MAX_IDLE_MS, ...(opts.localIp === undefined ? {} : { localAddress: opts.localIp }) })
    return { endpoint, address, agent, localIp: opts.localIp, connections: createConnectionUses(), breaker: createBreaker(), inFlight: 0, awaitingSince: undefined, pausedStreams: 0, silent: false, unreachableUntil: Number.NEGATIVE_INFINITY, heardAt: Number.NEGATIVE_INFINITY, probeAt: Infinity, reportedLoad: undefined, firstByteMs: undefined, relativeRunTime: 1, usedAt: opts.clock.getMonotonicMs() }
  }

  return {
    get: (endpoint, address, maxConnections) => {
      const key = `${endpoint}|${address}`
      let link = links.get(key)
      if (link === undefined) {
        link = create(endpoint, address)
        links.set(key, link)
      }
      link.usedAt = opts.clock.getMonotonicMs()
      link.agent.maxSockets = Math.max(MIN_CONNECTIONS, Math.floor(maxConnections / Math.max(1, opts.getEntryCount())))
      return link
    },
    updateSilent: () => {
      const now = opts.clock.getMonotonicMs()
      const changed = [...links.values()].filter(link => link.silent !== isSilent(link, now))
      for (const link of changed) link.silent = !link.silent
      return changed
    },
    recordPause: pauseMs => {
      const now = opts.clock.getMonotonicMs()
      for (const link of links.values()) if (link.awaitingSince !== undefined) link.awaitingSince = Math.min(now, link.awaitingSince + pauseMs)
    },
    listProbesDue: () => {
      const now = opts.clock.getMonotonicMs()
      return [...links.values()].filter(({ probeAt }) => now >= probeAt)
    },
    sweep: () => {
      const now = opts.clock.getMonotonicMs()
      for (const [key, link] of links) {
        if (link.inFlight > 0 || now - link.usedAt < UNUSED_LINK_MS) continue
        link.agent.destroy()
        links.delete(key)
      }
    },
    close: () => { for (const { agent } of links.values()) agent.destroy() }
  }
}
