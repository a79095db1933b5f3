/**
 * Membership of a fleet that is discovered from seeds, run in the loop of every host: entry hosts learn the leader from it,
 * core hosts the live hosts. Each host sends hellos to the core hosts it knows; they reply with the leader and the core hosts
 * known to them. Entry hosts exchange no hellos, so the cost grows with hosts times core hosts. A host ID is the
 * address of the host's peer links.
 */
import type { HostId, HostLocation, MonotonicMs, RegionId, ZoneId } from '@catkinferry/core.types'
import type { RunContext, System } from '@catkinferry/host.events'
import { FleetRole } from '@catkinferry/wire.messages'
import type { FleetMessage, HeldState, RelayPeer } from '@catkinferry/wire.messages'
import { HELLO_INTERVAL_MS, HOST_RETENTION_MS, HOST_TIMEOUT_MS, LEADER_TIMEOUT_MS, SLOW_HELLO_INTERVAL_MS } from './constants.ts'
import { createKnownRelayPeers, createRelayPeerAnnouncer } from './relayPeers.ts'
import type { KnownRelayPeers, RelayPeerAnnouncer } from './relayPeers.ts'

type Hello = Extract<FleetMessage, { kind: 'fleet.hello' }>
type Welcome = Extract<FleetMessage, { kind: 'fleet.welcome' }>

/** The leader and the committed routes, as a core host knows them. */
export interface LeaderStatus {
  readonly leader?: HostId
  /** This host leads, or recently held everything that the leader had committed. */
  readonly inContact: boolean
  /** Version of this core host's route table. */
  readonly routesVersion: number
}

/** A host that has sent a hello. */
export interface FleetPeer {
  readonly host: HostId
  readonly role: FleetRole
  readonly zone: ZoneId
  readonly region: RegionId
  readonly held: HeldState
  /** Where it takes requests from other entry hosts; undefined if it takes none now. */
  readonly relayAddress?: string
  readonly heardAt: MonotonicMs
}

export interface FleetMembershipOptions {
  readonly self: HostLocation
  readonly role: FleetRole
  /** Seeds currently named in the settings. */
  readonly getSeeds: () => readonly HostId[]
  /** What this host has received from core hosts, sent with each hello. */
  readonly getHeld: () => HeldState
  /** Where this entry host takes requests from others now, sent with each hello. */
  readonly getRelayAddress?: () => string | undefined
  /** Set on entry hosts that may need confirmations of their route table: the id of a hello that is sent now to a core host; undefined if it asks for none. */
  readonly createConfirmId?: (to: HostId, isLeader: boolean, context: RunContext) => number | undefined
  /** Newest set of log commands that this core host can apply, sent with each hello. */
  readonly commandSet?: number
  /** Set on core hosts only. */
  readonly getLeaderStatus?: () => LeaderStatus
}

export interface FleetMembership extends System<Hello | Welcome> {
  /** The leader known to this core host, or named by the latest welcome to this entry host. */
  readonly getLeader: (now: MonotonicMs) => HostId | undefined
  /** True if the last core host in contact with the majority reported no routes newer than `routesVersion`. */
  readonly isRoutesVersionCurrent: (routesVersion: number) => boolean
  /** Core hosts heard from recently, including this host if it is one. */
  readonly listLiveCoreHosts: (now: MonotonicMs) => readonly HostId[]
  readonly listLiveEntryHosts: (now: MonotonicMs) => readonly FleetPeer[]
  /** A host as its last hello described it. */
  readonly findPeer: (host: HostId) => FleetPeer | undefined
  /** Number of live entry hosts in the fleet, as far as known; at least 1 on an entry host. */
  readonly getEntryCount: (now: MonotonicMs) => number
  /** Entry hosts to which this one may forward requests, as leaders have named them; the latest last. */
  readonly listRelayPeers: () => readonly RelayPeer[]
  /** Sends the current leader to all live entry hosts without waiting for their next hello. */
  readonly announceLeader: (context: RunContext) => void
  /** The next run sends hellos to all known core hosts, besides those of the usual intervals. */
  readonly scheduleHellos: () => void
  /** All hosts to keep a link to. */
  readonly listPeers: () => readonly HostId[]
}

interface CoreRow {
  heardAt: MonotonicMs
  nextHelloAt: MonotonicMs
}

interface MembershipState {
  readonly opts: FleetMembershipOptions
  /** Known core hosts, including those not heard from yet. */
  readonly core: Map<HostId, CoreRow>
  /** Hosts that have sent a hello to this one. */
  readonly peers: Map<HostId, FleetPeer>
  leader: HostId | undefined
  leaderReportedAt: MonotonicMs
  currentRoutesVersion: number | undefined
  entryCount: number
  /** Requested hellos leave the intervals unchanged: otherwise the hellos of all hosts would come at the same moment after an event that reaches all of them. */
  areHellosRequested: boolean
  readonly announcer: RelayPeerAnnouncer
  readonly relayPeers: KnownRelayPeers
}

function addCoreHost (state: MembershipState, host: HostId, now: MonotonicMs): CoreRow {
  const known = state.core.get(host)
  if (known !== undefined) return known
  const row: CoreRow = { heardAt: now, nextHelloAt: now }
  state.core.set(host, row)
  return row
}

function receiveHello (state: MembershipState, from: HostId, { role, zone, region, held, relayAddress }: Hello, context: RunContext): void {
  state.peers.set(from, { host: from, role, zone, region, held, relayAddress, heardAt: context.now })
  if (role === FleetRole.CORE) addCoreHost(state, from, context.now).heardAt = context.now
  sendWelcome(state, from, context)
}

function sendWelcome (state: MembershipState, to: HostId, context: RunContext): void {
  const { getLeaderStatus } = state.opts
  if (getLeaderStatus === undefined) return
  const core = listLiveCoreHosts(state, context.now)
  const entries = listLiveEntryHosts(state, context.now)
  const status = getLeaderStatus()
  const peer = state.peers.get(to)
  const namesPeers = peer?.role === FleetRole.ENTRY && status.leader === state.opts.self.host
  const relayPeers = namesPeers ? state.announcer.choose(peer, entries, context.now) : undefined
  context.send(to, { kind: 'fleet.welcome', ...status, core, entries: entries.length, ...(relayPeers === undefined ? {} : { relayPeers }) })
}

function receiveWelcome (state: MembershipState, from: HostId, welcome: Welcome, context: RunContext): void {
  const { leader, inContact, core, entries, routesVersion, relayPeers = [] } = welcome
  addCoreHost(state, from, context.now).heardAt = context.now
  for (const host of core) addCoreHost(state, host, context.now)
  if (!inContact) return
  state.relayPeers.receive(relayPeers)
  state.entryCount = entries
  state.currentRoutesVersion = routesVersion
  if (leader === undefined) return
  if (leader !== state.leader) addCoreHost(state, leader, context.now).nextHelloAt = context.now
  state.leader = leader
  state.leaderReportedAt = context.now
}

function listLiveCoreHosts ({ opts, core, peers }: MembershipState, now: MonotonicMs): HostId[] {
  const live = [...core].filter(([host, { heardAt }]) => {
    const peer = peers.get(host)
    const isLive = opts.role === FleetRole.CORE ? peer !== undefined && now - peer.heardAt <= HOST_TIMEOUT_MS : now - heardAt <= HOST_TIMEOUT_MS
    return host !== opts.self.host && isLive
  }).map(([host]) => host)
  return opts.role === FleetRole.CORE ? [opts.self.host, ...live] : live
}

function listLiveEntryHosts ({ peers }: MembershipState, now: MonotonicMs): FleetPeer[] {
  return [...peers.values()].filter(({ role, heardAt }) => role === FleetRole.ENTRY && now - heardAt <= HOST_TIMEOUT_MS)
}

function getLeader ({ opts, leader, leaderReportedAt }: MembershipState, now: MonotonicMs): HostId | undefined {
  if (opts.getLeaderStatus !== undefined) return opts.getLeaderStatus().leader
  return now - leaderReportedAt <= LEADER_TIMEOUT_MS ? leader : undefined
}

function dropSilentHosts (state: MembershipState, now: MonotonicMs): void {
  const seeds = state.opts.getSeeds()
  for (const [host, { heardAt }] of state.core) {
    if (now - heardAt > HOST_RETENTION_MS && !seeds.includes(host)) state.core.delete(host)
  }
  for (const [host, { heardAt }] of state.peers) {
    if (now - heardAt <= HOST_RETENTION_MS) continue
    state.peers.delete(host)
    state.announcer.drop(host)
  }
}

function run (state: MembershipState, context: RunContext): void {
  const { opts, core } = state
  const { now } = context
  const { host: self, zone, region } = opts.self
  dropSilentHosts(state, now)
  for (const seed of opts.getSeeds()) if (seed !== self) addCoreHost(state, seed, now)
  const leader = getLeader(state, now)
  const relayAddress = opts.getRelayAddress?.()
  const isRequested = state.areHellosRequested
  state.areHellosRequested = false
  for (const [host, row] of core) {
    const isDue = now >= row.nextHelloAt
    if (host === self || (!isDue && !isRequested)) continue
    const isSlow = opts.role === FleetRole.ENTRY && leader !== undefined && leader !== host
    if (isDue) row.nextHelloAt = now + (isSlow ? SLOW_HELLO_INTERVAL_MS : HELLO_INTERVAL_MS)
    const confirmId = opts.createConfirmId?.(host, host === leader, context)
    context.send(host, { kind: 'fleet.hello', role: opts.role, zone, region, held: opts.getHeld(), ...(relayAddress === undefined ? {} : { relayAddress }), ...(confirmId === undefined ? {} : { confirmId }), ...(opts.commandSet === undefined ? {} : { commandSet: opts.commandSet }) })
  }
}

/** Creates the membership of one host. */
export function createFleetMembership (opts: FleetMembershipOptions): FleetMembership {
  const state: MembershipState = {
    opts,
    core: new Map(),
    peers: new Map(),
    leader: undefined,
    leaderReportedAt: Number.NEGATIVE_INFINITY,
    currentRoutesVersion: undefined,
    entryCount: 1,
    areHellosRequested: false,
    announcer: createRelayPeerAnnouncer(),
    relayPeers: createKnownRelayPeers()
  }
  return {
    receive: (from, message, context) => {
      if (message.kind === 'fleet.hello') receiveHello(state, from, message, context)
      else receiveWelcome(state, from, message, context)
    },
    run: context => run(state, context),
    getNextAt: () => {
      if (state.areHellosRequested) return Number.NEGATIVE_INFINITY
      const times = [...state.core].filter(([host]) => host !== opts.self.host).map(([, { nextHelloAt }]) => nextHelloAt)
      return times.length === 0 ? undefined : Math.min(...times)
    },
    getLeader: now => getLeader(state, now),
    isRoutesVersionCurrent: routesVersion => state.currentRoutesVersion !== undefined && routesVersion >= state.currentRoutesVersion,
    listLiveCoreHosts: now => listLiveCoreHosts(state, now),
    listLiveEntryHosts: now => listLiveEntryHosts(state, now),
    findPeer: host => state.peers.get(host),
    getEntryCount: now => opts.role === FleetRole.CORE ? listLiveEntryHosts(state, now).length : Math.max(1, state.entryCount),
    listRelayPeers: state.relayPeers.list,
    announceLeader: context => { for (const { host } of listLiveEntryHosts(state, context.now)) sendWelcome(state, host, context) },
    scheduleHellos: () => { state.areHellosRequested = true },
    listPeers: () => [...new Set([...state.core.keys(), ...state.peers.keys()])].filter(host => host !== opts.self.host)
  }
}
