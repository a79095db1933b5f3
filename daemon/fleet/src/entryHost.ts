/** An entry host: accepts callers' requests and relays them to endpoints, by the routes and endpoints that the core hosts publish. */
import { randomInt } from 'node:crypto'
import { createLoopWatch } from '@catkinferry/core.clock'
import type { Clock, LoopWatch } from '@catkinferry/core.clock'
import type { Logger } from '@catkinferry/core.logger'
import type { Metrics } from '@catkinferry/core.metrics'
import type { MetricsPage } from '@catkinferry/core.metrics-page'
import { createRandom } from '@catkinferry/core.random'
import type { HostId } from '@catkinferry/core.types'
import { createDirectory } from '@catkinferry/fleet.directory'
import type { Directory, DirectoryMessage } from '@catkinferry/fleet.directory'
import { createFleetMembership } from '@catkinferry/fleet.membership'
import type { FleetMembership } from '@catkinferry/fleet.membership'
import type { RunContext } from '@catkinferry/host.events'
import { createRelay } from '@catkinferry/gateway.relay'
import type { AccountGate, Relay, RelayDialect, RelayOptions } from '@catkinferry/gateway.relay'
import { FleetRole } from '@catkinferry/wire.messages'
import { createConfirmationGate } from './confirmationGate.ts'
import type { ConfirmationGate } from './confirmationGate.ts'
import { drainListeners } from './drainListeners.ts'
import { openEntryListeners } from './entryListeners.ts'
import { createFleetNode } from './fleetNode.ts'
import type { NodeSystems } from './fleetNode.ts'
import type { FleetSettings } from './fleetSettings.ts'
import { createReadiness } from './readiness.ts'
import { reportLateTurns } from './lateTurns.ts'

export interface EntryHostOptions {
  readonly settings: FleetSettings
  readonly getSeeds: () => readonly HostId[]
  /** `ip:port` of the callers' listener and of the readiness page. */
  readonly listen: { readonly caller: string, readonly ready: string }
  readonly dialect: RelayDialect
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly page: MetricsPage
}

export interface EntryHost {
  /** Stops accepting requests, waits within the grace time until running ones complete, and stops. */
  readonly stop: () => Promise<void>
  readonly failed: Promise<never>
}

const MAX_SEED = 2 ** 31 - 1
const METRICS_INTERVAL_MS = 1_000
/** Longest wait until what is buffered for callers has been sent, at the end of the grace time. */
const CLOSE_MS = 250

/** Logs when the known leader changes or is lost. */
function createLeaderWatch (membership: FleetMembership): (context: RunContext) => void {
  let known: HostId | undefined
  return ({ now, emit }) => {
    const leader = membership.getLeader(now)
    if (leader === known) return
    emit({ kind: 'log', level: leader === undefined ? 'warn' : 'info', message: leader === undefined ? 'lost the leader' : 'found the leader', fields: { step: 'leader', peer: leader, former: known } })
    known = leader
  }
}

interface EntrySystems {
  readonly membership: FleetMembership
  readonly directory: Directory
  readonly confirmation: ConfirmationGate
  readonly loop: LoopWatch
  readonly onRun: () => void
}

/** Connects membership, the directory and the confirmation of keys of an entry host. */
function buildSystems ({ membership, directory, confirmation, loop, onRun }: EntrySystems): NodeSystems {
  const watchLeader = createLeaderWatch(membership)
  return {
    receive: (from, message, context) => loop.measure(`receive.${message.kind}`, () => {
      if (message.kind === 'fleet.hello' || message.kind === 'fleet.welcome') membership.receive(from, message, context)
      else if (message.kind === 'fleet.confirmed') confirmation.receive(from, message, context)
      else directory.receive(from, message as DirectoryMessage, context)
    }),
    run: context => loop.measure('run', () => {
      confirmation.run(context)
      membership.run(context)
      directory.run(context)
      watchLeader(context)
      onRun()
    }),
    getNextAt: () => Math.min(membership.getNextAt() ?? Infinity, directory.getNextAt() ?? Infinity),
    listPeers: membership.listPeers,
    handlePause: (context, gapMs) => {
      context.emit({ kind: 'log', level: 'warn', message: 'the host was paused', fields: { step: 'run', gapMs: Math.round(gapMs) } })
      confirmation.recordPause(context)
    }
  }
}

/** The directory as the relay uses it: calls whose messages to the leader must not wait schedule a run of the host's loop. */
function buildRelayDirectory (directory: Directory, scheduleRun: () => void): RelayOptions['directory'] {
  return {
    ...directory,
    requestLoad: (request, onAnswer) => {
      directory.requestLoad(request, onAnswer)
      scheduleRun()
    },
    requestReplica: request => {
      directory.requestReplica(request)
      scheduleRun()
    },
    setUnreachable: (endpoint, unreachable) => {
      directory.setUnreachable(endpoint, unreachable)
      scheduleRun()
    },
    setSilent: (endpoint, silent) => {
      directory.setSilent(endpoint, silent)
      scheduleRun()
    },
    recordLeaving: (endpoint, bornAt) => {
      directory.recordLeaving(endpoint, bornAt)
      scheduleRun()
    },
    askOrigin: (question, onAnswer) => {
      directory.askOrigin(question, onAnswer)
      scheduleRun()
    },
    recordBroken: (request, now) => {
      directory.recordBroken(request, now)
      scheduleRun()
    }
  }
}

function buildConfirmation ({ settings, clock }: EntryHostOptions, directory: Directory, sendHellos: () => void): ConfirmationGate {
  return createConfirmationGate({ revocationMs: settings.revocationMs, firstId: randomInt(MAX_SEED), getTable: () => directory.getRoutes()?.table, sendHellos, clock })
}

/** What the relay asks about client accounts. */
function buildAccountGate (confirmation: ConfirmationGate, directory: Directory, clock: Clock): AccountGate {
  return {
    isCurrent: confirmation.isCurrent,
    isRecent: confirmation.isRecent,
    waitUntilCurrent: confirmation.waitUntilCurrent,
    tryTake: (account, units) => directory.tryTakeUnits(account, units, clock.getMonotonicMs()),
    giveBack: directory.giveBackUnits
  }
}

/** Sets the gauges at intervals. */
function startMetrics (page: MetricsPage, relay: Relay, confirmation: ConfirmationGate, membership: FleetMembership): NodeJS.Timeout {
  return setInterval(() => {
    page.set('active_requests', relay.getActiveCount())
    for (const [use, bytes] of Object.entries(relay.getHeldBytes())) page.set('memory_held_bytes', bytes, { use })
    page.set('confirmation_age_ms', confirmation.getAgeMs())
    page.set('relay_peers', membership.listRelayPeers().length)
  }, METRICS_INTERVAL_MS)
}

/** Starts an entry host. Rejects if an address cannot be bound. */
export async function startEntryHost (opts: EntryHostOptions): Promise<EntryHost> {
  const { settings, clock, logger, metrics, page } = opts
  const { host, zone, region } = settings
  const random = createRandom(randomInt(MAX_SEED))
  const loop = createLoopWatch({ clock })
  const stopLateTurns = reportLateTurns({ loop, clock, logger, page })
  let onFailed: (error: unknown) => void = () => undefined
  const failed = new Promise<never>((_resolve, reject) => { onFailed = reject })

  const directory = createDirectory({
    getEntryCount: () => membership.getEntryCount(clock.getMonotonicMs()),
    getLeader: now => membership.getLeader(now),
    listCoreHosts: now => membership.listLiveCoreHosts(now),
    epoch: randomInt(MAX_SEED),
    onRoutes: ({ table }) => {
      callers.setLimits(table.limits)
      page.set('routes_version', table.version)
    },
    onQuarantine: () => relay.endQuarantined()
  })
  const confirmation = buildConfirmation(opts, directory, () => {
    membership.scheduleHellos()
    scheduleRun()
  })
  const membership = createFleetMembership({ self: { host, zone, region }, role: FleetRole.ENTRY, getSeeds: opts.getSeeds, getHeld: directory.getHeld, getRelayAddress: () => relay.isServingPeers() ? settings.relayAddress : undefined, createConfirmId: confirmation.createConfirmId })
  const readiness = createReadiness({ directory, membership, logger, page, findUnconfirmedReason: confirmation.findUnreadyReason })
  const scheduleRun = (): void => node.shell.emit(() => undefined)
  const relay = createRelay({
    location: { zone, region },
    dialect: opts.dialect,
    directory: buildRelayDirectory(directory, scheduleRun),
    clock,
    loop,
    random,
    logger,
    observer: page,
    waitUntilReady: readiness.waitUntilServable,
    getEntryCount: () => membership.getEntryCount(clock.getMonotonicMs()),
    listPeers: membership.listRelayPeers,
    retryBudget: settings.retryBudget,
    accounts: buildAccountGate(confirmation, directory, clock),
    localIp: settings.bindIp
  })
  const { callers, peers, ready, getClosedCounts } = await openEntryListeners({ settings, listen: opts.listen, relay, isReady: readiness.check, clock, logger, page })
  const systems = buildSystems({ membership, directory, confirmation, loop, onRun: readiness.resolveWaiting })
  const node = createFleetNode({ host, bindIp: settings.bindIp, clock, logger, metrics, systems, onCrash: onFailed })
  await node.open()
  const metricsTimer = startMetrics(page, relay, confirmation, membership)

  return {
    failed,
    stop: async () => {
      readiness.stop()
      await drainListeners({ callers, peers, relay, clock, graceMs: settings.times.graceMs })
      logger.info('finished waiting for running requests', { step: 'stop', left: relay.getActiveCount() })
      clearInterval(metricsTimer)
      relay.endRemaining()
      await peers?.stopAccepting(CLOSE_MS)
      await Promise.all([callers.close(CLOSE_MS), peers?.close(CLOSE_MS)])
      logger.info('closed connections of callers', { step: 'stop', ...getClosedCounts() })
      relay.close()
      stopLateTurns()
      loop.close()
      ready.close()
      await node.close()
    }
  }
}
