/**
 * Combines the lease, ownership, membership, grants and adapter loads of a zone into one system.
 * Every host runs one for its own zone, driven by peer messages, host events and timers. The requests system reads its
 * view to choose endpoints.
 */
import { MAX_CLOCK_DRIFT_FRACTION, MAX_ZONE_LEASE_MS } from '@catkinferry/core.constants'
import type { Random } from '@catkinferry/core.random'
import type { EndpointId, HostLocation, MonotonicMs, NodePath, PeerRow, SettingsView, ZoneId, ZoneView } from '@catkinferry/core.types'
import type { HostEvent, RunContext, System } from '@catkinferry/host.events'
import type { GrantMessage, LeaseMessage, LoadBudgetMessage, MembershipMessage, OwnershipMessage } from '@catkinferry/wire.messages'
import { createGrants, createZoneSettings } from '@catkinferry/zone.grants'
import type { EndpointDescription, Grants } from '@catkinferry/zone.grants'
import { createLeaseHolder, createLeaseVoter } from '@catkinferry/zone.leases'
import type { HeldLease, LeaseHolder, LeaseVoter } from '@catkinferry/zone.leases'
import { createPlatformTable, createZoneDigests, createZoneTable } from '@catkinferry/zone.membership'
import { createSubLease } from '@catkinferry/zone.ownership'
import { createCrossZone } from './crossZone.ts'
import { describeZones } from './describeZones.ts'
import type { ZoneDescription } from './describeZones.ts'
import { createHolderDuties } from './holder.ts'
import { createMessageHandlers } from './messageHandlers.ts'
import { createStatePublisher } from './statePublisher.ts'
import { HOLDER_TIMEOUT_MS } from './zoneParts.ts'
import { createVoterSets } from './voterSets.ts'
import type { LeaseVoterProposal, VoterSets } from './voterSets.ts'
import type { ZoneParts } from './zoneParts.ts'

export type ZoneMessage =
  | LeaseMessage
  | OwnershipMessage
  | MembershipMessage
  | LoadBudgetMessage
  | Extract<GrantMessage, { kind: 'grant.ask' | 'grant.release' | 'grant.cancel' | 'grant.active' }>

type EventOf<Kind extends HostEvent['kind']> = Extract<HostEvent, { kind: Kind }>

export interface ZoneCoordinationOptions {
  readonly self: HostLocation
  /** All hosts of the deployment, from the settings file. */
  readonly peers: readonly PeerRow[]
  readonly settings: SettingsView
  readonly random: Random
  /** Path of this host in the fleet tree. */
  readonly fleetPath?: NodePath
  /** Called on the lease holder when a lease voter is gone; repeated until the settings contain the next voter set. */
  readonly proposeLeaseVoters?: (proposal: LeaseVoterProposal, context: RunContext) => void
}

export interface ZoneCoordination extends System<ZoneMessage> {
  readonly view: ZoneView
  readonly receiveReport: (event: EventOf<'endpoint.report'>, context: RunContext) => void
  readonly receiveUnreachable: (event: EventOf<'endpoint.unreachable'>, context: RunContext) => void
  readonly receiveOrderResult: (event: EventOf<'order.result'>, context: RunContext) => void
  readonly receivePlatformList: (event: EventOf<'platform.list'>, context: RunContext) => void
  /**
   * Drops this host's lease and sub-lease after its event loop was blocked, because they may have expired unnoticed.
   * Must be called before any other event is handled.
   */
  readonly handlePause: (context: RunContext) => void
  /** Starts handing back the endpoints and the lease of this host. */
  readonly beginShutdown: (context: RunContext) => void
  /** True when nothing in the zone depends on this host any more, so that it can stop. */
  readonly isIdle: () => boolean
  readonly describeZones: () => readonly ZoneDescription[]
  /** The endpoints that this host owns. */
  readonly describeEndpoints: () => readonly EndpointDescription[]
}

/** Candidates request the lease one after another in host order, so that the first one can win uncontested. */
const CANDIDATE_STEP_MS = 40
const MAX_CANDIDATE_STEPS = 10
const MAX_PROCESS_NUMBER = 2 ** 30

function listAllPeers (opts: ZoneCoordinationOptions): readonly PeerRow[] {
  const { self, peers } = opts
  if (peers.some(({ host }) => host === self.host)) return peers
  return [...peers, { ...self, address: '', voter: false, leaseVoter: true }]
}

function createLazyVoter (isSoleVoter: boolean, getVoterSet: (zone: ZoneId) => number | undefined): (now: MonotonicMs) => LeaseVoter {
  let voter: LeaseVoter | undefined
  return now => {
    const silenceMs = isSoleVoter ? 0 : MAX_ZONE_LEASE_MS * (1 + MAX_CLOCK_DRIFT_FRACTION)
    voter ??= createLeaseVoter({ silentUntil: now + silenceMs, getVoterSet })
    return voter
  }
}

function createParts (opts: ZoneCoordinationOptions): ZoneParts {
  const { self, settings, random } = opts
  const peers = listAllPeers(opts)
  const zoneHosts = peers.filter(({ zone }) => zone === self.zone).map(({ host }) => host)
  const getSettings = createZoneSettings(settings, opts.fleetPath ?? `fleet/${self.region}/${self.zone}`)
  const clock = { now: 0 }
  const getNow = (): MonotonicMs => clock.now
  const known: ZoneParts['known'] = { holder: undefined, heardAt: -Infinity, leaving: false, released: false, held: undefined, subLeaseLive: false, nextPlatformPollAt: 0, viewRequestedAt: -Infinity }
  const voterSets: VoterSets = createVoterSets({ self, peers, settings, getSettings, getLastAnswer: voter => leaseHolder.getLastAnswer(voter), propose: opts.proposeLeaseVoters })
  const leaseHolder: LeaseHolder = createLeaseHolder({ zone: self.zone, getVoters: () => voterSets.getCurrent(), getLeaseMs: () => getSettings().leaseMs, random })
  const subLease = createSubLease({ zone: self.zone, life: random.nextInt(1, MAX_PROCESS_NUMBER) })
  const table = createZoneTable({ getNow })
  const platform = createPlatformTable({ zone: self.zone })
  const digests = createZoneDigests({ region: self.region, peers })
  const holderDuties = createHolderDuties({ self, peers, getSettings, getHeld: now => leaseHolder.getHeld(now), platform, table, digests, getNow })
  const grants: Grants = createGrants({
    self: self.host,
    getSettings,
    random,
    getSubLeaseUntil: () => subLease.getUntil(),
    zoneHosts,
    getLeaseHolder: () => known.holder,
    findOwner: endpoint => table.getOwned(endpoint)?.owner,
    recordFencing: fencing => subLease.recordFencing(fencing),
    onFencingRefused: (endpoint, highestFencing, context) => handBackAfterRefusal(parts, endpoint, highestFencing, context)
  })
  const publisher = createStatePublisher({ list: () => grants.listPublished() })
  const isSoleVoter = zoneHosts.length === 1 && voterSets.getCurrent().hosts.every(host => host === self.host)
  const parts: ZoneParts = {
    self,
    zoneHosts,
    getSettings,
    clock,
    known,
    leaseHolder,
    subLease,
    table,
    platform,
    digests,
    holderDuties,
    grants,
    publisher,
    voterSets,
    getVoter: createLazyVoter(isSoleVoter, voterSets.getNumber),
    crossZone: createCrossZone(),
    handedBack: new Map()
  }
  return parts
}

/** Hands back an endpoint whose engine has seen a higher fencing token, so that it is reassigned with a token above that. */
function handBackAfterRefusal (parts: ZoneParts, endpoint: EndpointId, highestFencing: number, context: RunContext): void {
  const { subLease, known, self } = parts
  const owned = subLease.getOwned(endpoint)
  subLease.recordFencing(highestFencing)
  if (owned === undefined || owned.fencing > highestFencing || known.holder === undefined) return
  parts.grants.dropOwned(endpoint, context)
  parts.publisher.remove(endpoint)
  subLease.removeOwned(endpoint)
  subLease.renewSoon(context.now)
  context.send(known.holder, { kind: 'owner.handBack', zone: self.zone, ballot: subLease.getBallot(), endpoint, fencing: owned.fencing, settled: false, highestFencing })
}

function isLeaseWanted (parts: ZoneParts, now: MonotonicMs): boolean {
  const { known, leaseHolder } = parts
  if (leaseHolder.getHeld(now) !== undefined) return !known.released
  if (known.leaving) return false
  return now >= getCandidacyAt(parts)
}

/** When this host requests the lease, unless it hears from the holder first. */
function getCandidacyAt (parts: ZoneParts): MonotonicMs {
  const { known, table, self } = parts
  const rank = table.listHosts().filter(host => host !== known.holder).indexOf(self.host)
  return known.heardAt + HOLDER_TIMEOUT_MS + CANDIDATE_STEP_MS * Math.min(MAX_CANDIDATE_STEPS, Math.max(0, rank))
}

function updateHeld (parts: ZoneParts, held: HeldLease | undefined, context: RunContext): void {
  const { known, holderDuties, self, zoneHosts } = parts
  if (held?.ballot === known.held?.ballot) return
  if (known.held !== undefined) holderDuties.stop()
  known.held = held
  if (held === undefined) {
    if (known.holder === self.host) known.holder = undefined
    return
  }
  known.holder = self.host
  known.heardAt = context.now
  known.nextPlatformPollAt = context.now
  holderDuties.begin(held, context)
  for (const host of zoneHosts) if (host !== self.host) context.send(host, { kind: 'lease.held', zone: self.zone, ballot: held.ballot })
}

function updateSubLease (parts: ZoneParts, context: RunContext): void {
  const { known, subLease, grants } = parts
  const live = subLease.isLive(context.now)
  if (live === known.subLeaseLive) return
  known.subLeaseLive = live
  grants.handleSubLeaseChange(live, context)
}

/** Polls the platform if this host is the lease holder or the standby, which is the first other host by name. */
function pollPlatform (parts: ZoneParts, context: RunContext): void {
  const { known, self, table } = parts
  if (known.nextPlatformPollAt > context.now) return
  known.nextPlatformPollAt = context.now + parts.getSettings().platformPollMs
  const standby = table.listHosts().filter(host => host !== known.holder).sort()[0]
  if (known.held !== undefined || standby === self.host) context.emit({ kind: 'platform.poll' })
}

function sendHandBacks (parts: ZoneParts, context: RunContext): void {
  const { known, subLease, self } = parts
  for (const handBack of parts.grants.takeHandBacks(context)) {
    parts.publisher.remove(handBack.endpoint)
    subLease.removeOwned(handBack.endpoint)
    parts.handedBack.set(handBack.endpoint, handBack)
    if (known.holder === undefined) continue
    context.send(known.holder, { kind: 'owner.handBack', zone: self.zone, ballot: subLease.getBallot(), ...handBack, highestFencing: 0 })
  }
}

/** A leaving holder releases the lease once its own endpoints have new owners. */
function releaseWhenDrained (parts: ZoneParts, context: RunContext): void {
  const { known, leaseHolder, zoneHosts, self, holderDuties, grants } = parts
  if (!known.leaving || known.held === undefined || grants.getOwnedCount() > 0) return
  const others = holderDuties.assigner.listHosts(context.now).filter(host => host !== self.host)
  if (others.length > 0 && !holderDuties.assigner.isSettled(context.now)) return
  const { ballot } = known.held
  leaseHolder.release(context)
  known.released = true
  for (const host of zoneHosts) if (host !== self.host) context.send(host, { kind: 'lease.release', zone: self.zone, ballot, unused: false })
  updateHeld(parts, undefined, context)
}

/** The only live host of a zone has nobody to hand over to: it is idle as soon as no order is in flight. */
function isIdle (parts: ZoneParts): boolean {
  const { known, grants, subLease, holderDuties, clock, self } = parts
  if (grants.getOpenOrderCount() > 0) return false
  if (known.held !== undefined) return !holderDuties.assigner.listHosts(clock.now).some(host => host !== self.host)
  return grants.getOwnedCount() === 0 || !subLease.isLive(clock.now)
}

function run (parts: ZoneParts, context: RunContext): void {
  const { clock, known, leaseHolder, subLease, holderDuties, grants, publisher, table } = parts
  clock.now = context.now
  parts.getVoter(context.now)
  updateHeld(parts, leaseHolder.getHeld(context.now), context)
  leaseHolder.run(context, isLeaseWanted(parts, context.now))
  subLease.run({ holder: known.holder, viewSequence: table.getSequence(), leaving: known.leaving }, context)
  holderDuties.run(context)
  if (known.held !== undefined) parts.voterSets.run(known.held, holderDuties.assigner.listHosts(context.now), context)
  updateSubLease(parts, context)
  grants.run(context)
  sendHandBacks(parts, context)
  releaseWhenDrained(parts, context)
  publisher.enqueue(grants.takeChanged())
  publisher.run(table.listHosts(), context)
  pollPlatform(parts, context)
}

function getNextAt (parts: ZoneParts): MonotonicMs | undefined {
  const { clock, known, leaseHolder, subLease, holderDuties, grants, publisher } = parts
  const wanted = isLeaseWanted(parts, clock.now)
  const times = [
    leaseHolder.getNextAt(wanted),
    known.leaving || wanted ? undefined : getCandidacyAt(parts),
    known.holder === undefined ? undefined : subLease.getNextAt(),
    known.subLeaseLive ? subLease.getUntil() : undefined,
    holderDuties.getNextAt(),
    grants.getNextAt(),
    publisher.getNextAt(),
    known.nextPlatformPollAt,
    known.held === undefined ? undefined : parts.voterSets.getNextAt()
  ].filter(at => at !== undefined)
  return Math.min(...times)
}

function createView (parts: ZoneParts): ZoneView {
  const { table, known, subLease, digests, clock } = parts
  return {
    isServing: now => subLease.isLive(now),
    getLeaseHolder: () => known.holder,
    listHosts: () => table.listHosts(),
    listEndpoints: pool => table.listViews(pool),
    getEndpoint: endpoint => table.getView(endpoint),
    hasEndpointStates: () => table.listPools().length > 0 && table.listPools().every(pool => table.listViews(pool).some(({ kind, reportAgeMs }) => kind === 'service' || reportAgeMs < Infinity)),
    listOtherZones: pool => digests.listSummaries(pool, clock.now)
  }
}

/** Creates the zone system of one host. It does nothing before its first run or message. */
export function createZoneCoordination (opts: ZoneCoordinationOptions): ZoneCoordination {
  const parts = createParts(opts)
  const handlers = createMessageHandlers(parts)
  const { clock, known, grants } = parts
  return {
    view: createView(parts),
    receive: (from, message, context) => {
      clock.now = context.now
      handlers.receive(from, message, context)
    },
    run: context => run(parts, context),
    getNextAt: () => getNextAt(parts),
    receiveReport: (event, context) => grants.receiveReport(event.endpoint, event.report, context),
    receiveUnreachable: (event, context) => grants.receiveUnreachable(event.endpoint, context),
    receiveOrderResult: (event, context) => grants.receiveOrderResult(event.orderId, event.outcome, context),
    receivePlatformList: (event, context) => {
      parts.voterSets.recordPlatformHosts(event.hosts)
      handlers.receivePlatformList(event.endpoints, context)
    },
    handlePause: context => {
      clock.now = context.now
      parts.leaseHolder.drop(context.now)
      parts.subLease.drop(context.now)
      updateHeld(parts, undefined, context)
      known.holder = undefined
      known.heardAt = -Infinity
      updateSubLease(parts, context)
    },
    beginShutdown: context => {
      known.leaving = true
      parts.subLease.renewSoon(context.now)
    },
    isIdle: () => isIdle(parts),
    describeZones: () => describeZones(parts),
    describeEndpoints: () => grants.describe(clock.now)
  }
}
