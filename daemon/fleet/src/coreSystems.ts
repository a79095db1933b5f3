/** Connects the systems of a core host: the voter of the replicated log, the command client, membership, the voter keeper, placement and the state publisher. */
import { createRouteConfirmer } from '@catkinferry/accounts.confirmation'
import type { RouteConfirmer } from '@catkinferry/accounts.confirmation'
import { createQuotas } from '@catkinferry/accounts.quotas'
import type { Quotas } from '@catkinferry/accounts.quotas'
import { createVoter } from '@catkinferry/consensus.voter'
import type { Voter } from '@catkinferry/consensus.voter'
import { createRandom } from '@catkinferry/core.random'
import type { DiskAnswer, FleetMessage, HeldState, StoredState } from '@catkinferry/wire.messages'
import { FleetRole, NEWEST_COMMAND_SET } from '@catkinferry/wire.messages'
import type { HostId, MonotonicMs, ZoneId } from '@catkinferry/core.types'
import { createFleetMembership } from '@catkinferry/fleet.membership'
import type { FleetMembership } from '@catkinferry/fleet.membership'
import { createPlacement } from '@catkinferry/fleet.placement'
import type { Placement, PlacementOptions } from '@catkinferry/fleet.placement'
import { createQuarantine } from '@catkinferry/fleet.quarantine'
import type { Quarantine } from '@catkinferry/fleet.quarantine'
import { createStreamOrigins, createVersionRecord } from '@catkinferry/fleet.stream-origins'
import type { VersionRecord, VersionRecordOptions } from '@catkinferry/fleet.stream-origins'
import { createVoterKeeper } from '@catkinferry/fleet.voter-keeper'
import type { RunContext } from '@catkinferry/host.events'
import { createCommandClient } from '@catkinferry/settings.command-client'
import type { CommandClient } from '@catkinferry/settings.command-client'
import { createReplicatedState } from '@catkinferry/settings.replicated-state'
import type { ReplicatedState } from '@catkinferry/settings.replicated-state'
import type { FleetSettings } from './fleetSettings.ts'
import type { NodeSystems } from './fleetNode.ts'
import { createDispatcher } from './messageDispatcher.ts'
import { createStatePublisher } from './statePublisher.ts'
import type { StatePublisher } from './statePublisher.ts'

export interface CoreSystemsOptions {
  readonly settings: FleetSettings
  readonly getSeeds: () => readonly HostId[]
  readonly stored: StoredState
  readonly seed: number
  readonly startedAt: MonotonicMs
  readonly sendOrder: PlacementOptions['sendOrder']
  readonly pollList: PlacementOptions['pollList']
}

export interface CoreSystems extends NodeSystems {
  readonly voter: Voter
  readonly commands: CommandClient
  readonly placement: Placement
  readonly quotas: Quotas
  readonly receiveDisk: (answer: DiskAnswer, context: RunContext) => void
  readonly getRoutesVersion: () => number
}

/** Core hosts report no published state: they have the replicated state itself. */
const EMPTY_HELD_STATE: HeldState = { routesVersion: 0, announcedSequence: 0, endpointsTerm: 0, endpointsSequence: 0, quarantineRevision: 0 }

/** Version of adapters for which none was announced. */
const FIRST_VERSION = 1

/** After a pause of the process this host does not act as leader for this long, so that it learns of a leader that the majority elected meanwhile. */
const LEADERSHIP_RECHECK_MS = 1_000

/** A leader that no majority has answered for longer gives no orders. Voters elect another one after twice this silence at the earliest. */
const MAX_QUORUM_AGE_MS = 400

interface Leadership {
  /** The term in which this host may act as leader; undefined if it may not. */
  readonly getTerm: (now: MonotonicMs) => number | undefined
  /** Records a pause of the process. */
  readonly pause: (now: MonotonicMs) => void
}

/** A leader begins once it has applied all that its predecessors committed. A backlog that builds up later does not end its work. */
function createLeadership (voter: Voter): Leadership {
  let pausedUntil = Number.NEGATIVE_INFINITY
  let begunTerm: number | undefined
  return {
    getTerm: now => {
      const term = voter.isLeader() && now >= pausedUntil ? voter.getStatus().term : undefined
      if (term === undefined || begunTerm !== term) begunTerm = term !== undefined && voter.isInContact() ? term : undefined
      return begunTerm
    },
    pause: now => { pausedUntil = now + LEADERSHIP_RECHECK_MS }
  }
}

/** All hosts that apply the log. */
function listMembers (voter: Voter): readonly HostId[] {
  const { voters, learners } = voter.getStatus().membership
  return [...voters, ...learners].map(member => member.host)
}

interface QuarantineParts {
  readonly placement: Placement
  readonly membership: FleetMembership
  readonly commands: CommandClient
  readonly listQuarantined: ReplicatedState['listQuarantined']
}

function buildQuarantine ({ placement, membership, commands, listQuarantined }: QuarantineParts): Quarantine {
  return createQuarantine({
    getLeaderTerm: placement.getLeaderTerm,
    listEntryHosts: now => membership.listLiveEntryHosts(now).map(({ host }) => host),
    listQuarantined,
    propose: (command, timeoutMs, onSettled, context) => commands.submit({
      command,
      deadlineAt: context.now + timeoutMs,
      onOutcome: ({ kind }, { emit }) => {
        if (kind !== 'outcome') emit({ kind: 'log', level: 'warn', message: 'quarantine command was not acknowledged', fields: { step: 'quarantine', command: command.kind, part: command.part, result: kind } })
        onSettled()
      }
    }, context)
  })
}

/** Reads through the leader; a voter of an earlier release answers the query without a value. */
function buildConfirmer (commands: CommandClient): RouteConfirmer {
  return createRouteConfirmer({
    readVersion: (timeoutMs, onAnswer, context) => commands.submitQuery({
      query: { kind: 'routesVersion' },
      fresh: true,
      deadlineAt: context.now + timeoutMs,
      onAnswer: (answer, answerContext) => onAnswer(answer.ok && typeof answer.value === 'number' ? answer.value : undefined, answerContext)
    }, context)
  })
}

interface VersionRecordParts extends Pick<VersionRecordOptions, 'self' | 'getLeaderTerm'> {
  readonly voter: Voter
  readonly state: ReplicatedState
  readonly commands: CommandClient
}

function buildVersionRecord ({ self, voter, state, commands, getLeaderTerm }: VersionRecordParts): VersionRecord {
  return createVersionRecord({
    self,
    getLeaderTerm,
    hasRecentQuorum: at => voter.getQuorumAgeMs(at) <= MAX_QUORUM_AGE_MS,
    isInContact: voter.isInContact,
    listMembers: () => listMembers(voter),
    getTable: state.getServiceVersions,
    propose: (command, timeoutMs, onSettled, context) => commands.submit({
      command,
      deadlineAt: context.now + timeoutMs,
      onOutcome: ({ kind }, { emit }) => {
        if (kind !== 'outcome') emit({ kind: 'log', level: 'warn', message: 'software versions were not recorded', fields: { step: 'serviceVersions', pool: command.pool, result: kind } })
        onSettled()
      }
    }, context)
  })
}

/** Passes hellos on to what answers them besides membership: confirmations, published state and endpoints. */
function createMembershipReceiver ({ membership, confirmer, versions, publisher, placement }: { readonly membership: FleetMembership, readonly confirmer: RouteConfirmer, readonly versions: VersionRecord, readonly publisher: StatePublisher, readonly placement: Placement }) {
  return (from: HostId, message: Extract<FleetMessage, { kind: 'fleet.hello' | 'fleet.welcome' }>, context: RunContext): void => {
    membership.receive(from, message, context)
    if (message.kind === 'fleet.hello' && message.role === FleetRole.CORE) versions.receiveCommandSet(from, message.commandSet)
    if (message.kind !== 'fleet.hello' || message.role !== FleetRole.ENTRY) return
    if (message.confirmId !== undefined) confirmer.receive(from, message.confirmId, context)
    publisher.sendMissing(context, { host: from, zone: message.zone, held: message.held })
    placement.update(from, message.held, context)
  }
}

/** The versions of a list are recorded before its endpoints are published. */
function buildListReceiver (placement: Placement, versions: VersionRecord): Placement['receiveList'] {
  return (listed, context) => {
    versions.receiveList(listed, context.now)
    placement.receiveList(listed, context)
  }
}

/** Creates the systems from the state stored on disk. */
export function createCoreSystems (opts: CoreSystemsOptions): CoreSystems {
  const { settings, stored, seed, startedAt, getSeeds } = opts
  const { host, zone, region, regionsByZone, bootstrap, toleratedDiskLosses } = settings
  const voterCount = 2 * toleratedDiskLosses + 1
  const state = createReplicatedState()
  const random = createRandom(seed)
  const voter = createVoter({ host, group: stored.group, stored, stateMachine: state, initialVoters: bootstrap ? getSeeds() : [], random, startedAt })
  const membership: FleetMembership = createFleetMembership({
    self: { host, zone, region },
    role: FleetRole.CORE,
    getSeeds,
    getHeld: () => EMPTY_HELD_STATE,
    commandSet: NEWEST_COMMAND_SET,
    getLeaderStatus: () => ({ leader: voter.getLeader(), inContact: voter.isInContact(), routesVersion: getRoutesVersion() })
  })
  const commands = createCommandClient({ host, voters: () => listVoters(), getOwnLeader: voter.getLeader, random: createRandom(seed + 1) })
  const voterKeeper = createVoterKeeper({ self: host, voter, targetVoterCount: voterCount })
  const publisher = createStatePublisher({ state, zone })
  const leadership = createLeadership(voter)
  let now = startedAt
  const versions = buildVersionRecord({ self: host, voter, state, commands, getLeaderTerm: () => placement.getLeaderTerm() })
  const placement: Placement = createPlacement({
    self: host,
    isPublishable: versions.isPublishable,
    getLeaderTerm: () => leadership.getTerm(now),
    takeoverDelayMs: settings.times.handOverMs,
    enginesCheckFencing: settings.enginesCheckFencing,
    getRoutes: () => state.getRoutes()?.table,
    getVersion: (model, adapter) => state.getAnnouncedVersion(model, adapter) ?? FIRST_VERSION,
    getRegion: (name: ZoneId) => regionsByZone.get(name) ?? '',
    listEntryHosts: at => membership.listLiveEntryHosts(at).map(entry => entry.host),
    listLagMs: settings.times.listLagMs,
    hasRecentQuorum: at => voter.getQuorumAgeMs(at) <= MAX_QUORUM_AGE_MS,
    listOtherCoreHosts: at => membership.listLiveCoreHosts(at).filter(other => other !== host),
    getLocation: membership.findPeer,
    sendOrder: opts.sendOrder,
    pollList: opts.pollList
  })

  const confirmer = buildConfirmer(commands)
  const quotas = createQuotas({ getLeaderTerm: placement.getLeaderTerm, silentHostRetentionMs: settings.revocationMs, getRoutes: () => state.getRoutes()?.table, listEntryHosts: membership.listLiveEntryHosts })
  const quarantine = buildQuarantine({ placement, membership, commands, listQuarantined: state.listQuarantined })

  function getRoutesVersion (): number {
    return state.getRoutes()?.table.version ?? 0
  }

  function listVoters (): readonly HostId[] {
    const { voters } = voter.getStatus().membership
    return voters.length > 0 ? voters.map(member => member.host) : membership.listLiveCoreHosts(now).filter(other => other !== host)
  }

  const receive = createDispatcher({ voter, commands, placement, quotas, quarantine, origins: createStreamOrigins(versions), receiveMembership: createMembershipReceiver({ membership, confirmer, versions, publisher, placement }) })

  return {
    voter,
    commands,
    placement: { ...placement, receiveList: buildListReceiver(placement, versions) },
    quotas,
    receiveDisk: (answer, context) => voter.receiveDisk(answer, context),
    getRoutesVersion,
    receive,
    run: context => {
      now = context.now
      membership.run(context)
      confirmer.run(context)
      commands.run(context)
      voter.run(context)
      voterKeeper.run(context, membership.listLiveCoreHosts(now).filter(versions.canJoin))
      if (voter.isLeader()) publisher.sendChanges(context, membership.listLiveEntryHosts(now))
      const termBefore = placement.getLeaderTerm()
      for (const system of [placement, versions, quarantine, quotas]) system.run(context)
      if (placement.getLeaderTerm() !== termBefore && placement.getLeaderTerm() !== undefined) membership.announceLeader(context)
    },
    getNextAt: () => Math.min(voter.getNextAt() ?? Infinity, commands.getNextAt() ?? Infinity, membership.getNextAt() ?? Infinity, voterKeeper.getNextAt(), placement.getNextAt() ?? Infinity, quarantine.getNextAt(), versions.getNextAt(), confirmer.getNextAt(), quotas.getNextAt()),
    listPeers: membership.listPeers,
    handlePause: (context, gapMs) => {
      leadership.pause(context.now)
      context.emit({ kind: 'log', level: 'warn', message: 'the host was paused', fields: { step: 'run', gapMs: Math.round(gapMs), leads: voter.isLeader() } })
    }
  }
}
