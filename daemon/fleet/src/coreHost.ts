/** A core host: keeps the replicated state, answers operators, and places adapters while it leads. */
import { randomInt } from 'node:crypto'
import type { Clock } from '@catkinferry/core.clock'
import type { Result } from '@catkinferry/core.errors'
import type { Logger } from '@catkinferry/core.logger'
import type { Metrics } from '@catkinferry/core.metrics'
import type { MetricsPage } from '@catkinferry/core.metrics-page'
import type { DurationMs, EngineOrderOutcome, HostId, ListedEndpoint } from '@catkinferry/core.types'
import type { OrderCall } from '@catkinferry/fleet.placement'
import type { Command, CommandResult, Query } from '@catkinferry/wire.messages'
import { createCoreSystems } from './coreSystems.ts'
import { openDataFolder } from './dataFolder.ts'
import { createFleetNode } from './fleetNode.ts'
import type { FleetSettings } from './fleetSettings.ts'

/** What a deployment's platform does for the leader. */
export interface FleetPlatform {
  /** Undefined where the list cannot be read now. */
  readonly readList: () => Promise<readonly ListedEndpoint[] | undefined>
  readonly sendOrder: (call: Omit<OrderCall, 'onOutcome'>) => Promise<EngineOrderOutcome>
}

export interface CoreHostOptions {
  readonly settings: FleetSettings
  /** Seeds as the settings file names them now. */
  readonly getSeeds: () => readonly HostId[]
  readonly platform: FleetPlatform
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly page: MetricsPage
}

export interface CoreHost {
  readonly submit: (command: Command, deadlineMs: DurationMs) => Promise<CommandResult>
  /** The answer holds everything committed before the question. */
  readonly ask: (query: Query, deadlineMs: DurationMs) => Promise<Result<unknown>>
  /** Hands leadership over and stops. */
  readonly stop: () => Promise<void>
  /** Rejects when the host failed. */
  readonly failed: Promise<never>
  /** Resolves with the reason when the disk has failed: this voter does nothing more. */
  readonly diskFailed: Promise<string>
}

const GROUP = 'fleet'
const MAX_SEED = 2 ** 31 - 1
/** Time for a successor to take over before the links close. */
const TRANSFER_MS = 600
const PAGE_INTERVAL_MS = 1_000

/** Starts a core host. Rejects when the data folder is damaged or the address cannot be had. */
export async function startCoreHost (opts: CoreHostOptions): Promise<CoreHost> {
  const { settings, clock, logger, metrics, page, platform } = opts
  const { dataFolder, host } = settings
  if (dataFolder === undefined) throw new Error('a core host needs a data folder')
  const log = await openDataFolder({ folder: dataFolder, host, group: GROUP, logger })
  logger.info('the data folder is open', { step: 'start', incarnation: log.stored.incarnation, term: log.stored.hardState.term, entries: log.stored.entries.length, snapshotIndex: log.stored.snapshot?.lastIndex, bootstrap: settings.bootstrap, seeds: opts.getSeeds() })
  let onFailed: (error: unknown) => void = () => undefined
  const failed = new Promise<never>((_resolve, reject) => { onFailed = reject })
  let onDiskFailed: (reason: string) => void = () => undefined
  const diskFailed = new Promise<string>(resolve => { onDiskFailed = resolve })
  let reading = false

  function pollList (): void {
    if (reading) return
    reading = true
    void platform.readList().then(listed => {
      reading = false
      page.count('list_reads', { outcome: listed === undefined ? 'failed' : 'read' })
      if (listed !== undefined) node.shell.emit(context => systems.placement.receiveList(listed, context))
    })
  }

  function sendOrder ({ onOutcome, ...call }: OrderCall): void {
    void platform.sendOrder(call).then(outcome => {
      page.count('orders', { outcome })
      const { endpoint, order, fencing } = call
      if (outcome !== 'holds' && outcome !== 'accepted') logger.info('an order had no effect yet', { step: 'order', peer: endpoint, ...order, order: order.kind, fencing, outcome })
      node.shell.emit(() => onOutcome(outcome))
    })
  }

  const systems = createCoreSystems({ settings, getSeeds: opts.getSeeds, stored: log.stored, seed: randomInt(MAX_SEED), startedAt: clock.getMonotonicMs(), sendOrder, pollList })
  const node = createFleetNode({
    host: settings.host,
    bindIp: settings.bindIp,
    clock,
    logger,
    metrics,
    systems,
    disk: { request: (request, onAnswer) => { void log.carryOut(request).then(onAnswer) }, close: log.close },
    onDiskAnswer: systems.receiveDisk,
    onCrash: onFailed
  })
  await node.open()
  const pageTimer = setInterval(() => {
    page.set('leader', systems.voter.isLeader() ? 1 : 0)
    const { failure } = systems.voter.getStatus()
    if (failure !== undefined) onDiskFailed(failure)
    page.set('routes_version', systems.getRoutesVersion())
  }, PAGE_INTERVAL_MS)

  return {
    failed,
    diskFailed,
    submit: (command, deadlineMs) => new Promise(resolve => {
      node.shell.emit(context => systems.commands.submit({ command, deadlineAt: context.now + deadlineMs, onOutcome: resolve }, context))
    }),
    ask: (query, deadlineMs) => new Promise(resolve => {
      node.shell.emit(context => systems.commands.ask({ query, fresh: true, deadlineAt: context.now + deadlineMs, onAnswer: resolve }, context))
    }),
    stop: async () => {
      node.shell.emit(context => { systems.voter.transferLeadership(context) })
      await new Promise(resolve => setTimeout(resolve, TRANSFER_MS))
      clearInterval(pageTimer)
      await node.close()
      await log.close()
    }
  }
}
