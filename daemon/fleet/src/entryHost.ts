/** An entry host: takes callers' requests and relays them by what the core hosts hand out. */
import { randomInt } from 'node:crypto'
import type { Clock } from '@catkinferry/core.clock'
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
import type { RelayDialect } from '@catkinferry/gateway.relay'
import { FleetRole } from '@catkinferry/wire.messages'
import { getBindAddress } from './bindAddress.ts'
import { openCallerServer } from './callerServer.ts'
import { createFleetNode } from './fleetNode.ts'
import type { NodeSystems } from './fleetNode.ts'
import type { FleetSettings } from './fleetSettings.ts'
import { createReadiness } from './readiness.ts'
import { openTextServer } from './textServer.ts'

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
  /** Stops taking callers, lets running requests end inside the grace time, and stops. */
  readonly stop: () => Promise<void>
  readonly failed: Promise<never>
}

const MAX_SEED = 2 ** 31 - 1
const PAGE_INTERVAL_MS = 1_000
/** The balancer needs this long to send new connections elsewhere. */
const TURN_AWAY_MS = 2_600
/** Left of the grace time when what still runs is cut. */
const CUT_BEFORE_MS = 400
const DRAIN_CHECK_MS = 50

/** Logs when the leader is lost, found or another one. */
function createLeaderWatch (membership: FleetMembership): (context: RunContext) => void {
  let known: HostId | undefined
  return ({ now, emit }) => {
    const leader = membership.getLeader(now)
    if (leader === known) return
    emit({ kind: 'log', level: leader === undefined ? 'warn' : 'info', message: leader === undefined ? 'no leader is known' : 'the leader is known', fields: { step: 'leader', peer: leader, former: known } })
    known = leader
  }
}

/** Joins the systems of an entry host. */
function buildSystems (membership: FleetMembership, directory: Directory, onRun: () => void): NodeSystems {
  const watchLeader = createLeaderWatch(membership)
  return {
    receive: (from, message, context) => {
      if (message.kind === 'fleet.hello' || message.kind === 'fleet.welcome') membership.receive(from, message, context)
      else directory.receive(from, message as DirectoryMessage, context)
    },
    run: context => {
      membership.run(context)
      directory.run(context)
      watchLeader(context)
      onRun()
    },
    getNextAt: () => Math.min(membership.getNextAt() ?? Infinity, directory.getNextAt() ?? Infinity),
    listPeers: membership.listPeers,
    notePause: (context, gapMs) => context.emit({ kind: 'log', level: 'warn', message: 'the host was paused', fields: { step: 'run', gapMs: Math.round(gapMs) } })
  }
}

/** Starts an entry host. Rejects when an address cannot be had. */
export async function startEntryHost (opts: EntryHostOptions): Promise<EntryHost> {
  const { settings, clock, logger, metrics, page } = opts
  const { host, zone, region } = settings
  const random = createRandom(randomInt(MAX_SEED))
  let onFailed: (error: unknown) => void = () => undefined
  const failed = new Promise<never>((_resolve, reject) => { onFailed = reject })

  const directory = createDirectory({
    getLeader: now => membership.getLeader(now),
    onRoutes: ({ table }) => {
      callers.setLimits(table.limits)
      page.set('routes_version', table.version)
    }
  })
  const membership = createFleetMembership({ self: { host, zone, region }, role: FleetRole.ENTRY, getSeeds: opts.getSeeds, getHeld: directory.getHeld })
  const readiness = createReadiness({ directory, membership, logger, page })
  const runSoon = (): void => node.shell.emit(() => undefined)
  const relay = createRelay({
    place: { zone, region },
    dialect: opts.dialect,
    directory: {
      ...directory,
      askLoad: (question, onAnswer) => {
        directory.askLoad(question, onAnswer)
        runSoon()
      },
      askCopy: question => {
        directory.askCopy(question)
        runSoon()
      },
      setSilent: (endpoint, silent) => {
        directory.setSilent(endpoint, silent)
        runSoon()
      }
    },
    clock,
    random,
    logger,
    observer: page,
    waitUntilKnown: readiness.waitUntilKnown,
    getEntryCount: () => membership.getEntryCount(clock.getMonotonicMs()),
    retryBudget: settings.retryBudget,
    localIp: settings.bindIp
  })
  const callers = await openCallerServer(getBindAddress(opts.listen.caller, settings.bindIp), relay.handle)

  const ready = await openTextServer(getBindAddress(opts.listen.ready, settings.bindIp), (_req, res) => {
    res.statusCode = readiness.check() ? 200 : 503
    res.end()
  })
  const systems = buildSystems(membership, directory, readiness.wakeWaiting)
  const node = createFleetNode({ host, bindIp: settings.bindIp, clock, logger, metrics, systems, onCrash: onFailed })
  await node.open()
  const pageTimer = setInterval(() => page.set('active_requests', relay.getActiveCount()), PAGE_INTERVAL_MS)

  /** Idle connections are closed at once: a caller that sends on one in that moment knows that its request was not read. */
  async function waitUntilIdle (turnedAwayAt: number, until: number): Promise<void> {
    for (let now = clock.getMonotonicMs(); now < until; now = clock.getMonotonicMs()) {
      callers.closeIdle()
      if (now >= turnedAwayAt) callers.refuse()
      if (now >= turnedAwayAt && relay.getActiveCount() === 0) return
      await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_MS))
    }
  }

  return {
    failed,
    stop: async () => {
      const now = clock.getMonotonicMs()
      readiness.stop()
      relay.drain()
      await waitUntilIdle(now + TURN_AWAY_MS, now + settings.times.graceMs - CUT_BEFORE_MS)
      logger.info('requests have ended', { step: 'stop', left: relay.getActiveCount() })
      clearInterval(pageTimer)
      callers.refuse()
      callers.close()
      relay.close()
      ready.close()
      await node.close()
    }
  }
}
