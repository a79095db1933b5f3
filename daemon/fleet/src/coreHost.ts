/** A core host: keeps a copy of the replicated state, executes operators' commands, and places adapters on engines while it leads. */
import { randomInt } from 'node:crypto'
import type { Clock } from '@catkinferry/core.clock'
import type { Result } from '@catkinferry/core.errors'
import type { Logger } from '@catkinferry/core.logger'
import type { Metrics } from '@catkinferry/core.metrics'
import type { MetricsPage } from '@catkinferry/core.metrics-page'
import { EngineOrderOutcome } from '@catkinferry/core.types'
import type { DurationMs, HostId, ListedEndpoint } from '@catkinferry/core.types'
import type { OrderCall } from '@catkinferry/fleet.placement'
import { packCommand } from '@catkinferry/settings.replicated-state'
import type { Command, CommandResult, Query } from '@catkinferry/wire.messages'
import { createAccountMetrics } from './accountMetrics.ts'
import { createCoreSystems } from './coreSystems.ts'
import { openDataFolder } from './dataFolder.ts'
import { createFleetNode } from './fleetNode.ts'
import type { FleetSettings } from './fleetSettings.ts'
import { createLoadMetrics } from './loadMetrics.ts'
import { createVoterMetrics } from './voterMetrics.ts'

/** Operations of the deployment's platform that the leader uses. */
export interface FleetPlatform {
  /** Reads the platform's list of endpoints; undefined if it cannot be read. */
  readonly readList: () => Promise<readonly ListedEndpoint[] | undefined>
  /** `isAllowed` is asked when the order can be sent, `onLateOutcome` called if a response arrives after the order counted as unanswered. */
  readonly sendOrder: (call: Omit<OrderCall, 'onOutcome' | 'isAllowed'> & { readonly isAllowed?: () => boolean, readonly onLateOutcome?: OrderCall['onOutcome'] }) => Promise<EngineOrderOutcome>
}

export interface CoreHostOptions {
  readonly settings: FleetSettings
  /** Current seeds of the settings file. */
  readonly getSeeds: () => readonly HostId[]
  readonly platform: FleetPlatform
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly page: MetricsPage
}

export interface CoreHost {
  /** `logFields` name the command in the lines that tell what becomes of it; without them there are none. */
  readonly submit: (command: Command, deadlineMs: DurationMs, logFields?: Readonly<Record<string, unknown>>) => Promise<CommandResult>
  /** Linearizable read: the answer includes everything committed before the call. */
  readonly query: (query: Query, deadlineMs: DurationMs) => Promise<Result<unknown>>
  /** Transfers leadership and stops. */
  readonly stop: () => Promise<void>
  /** Rejects when the host fails. */
  readonly failed: Promise<never>
}

const GROUP = 'fleet'
const MAX_SEED = 2 ** 31 - 1
/** Time for another voter to become leader before the links close. */
const LEADERSHIP_TRANSFER_MS = 600
const METRICS_INTERVAL_MS = 1_000

interface OrderSenderOptions extends Pick<CoreHostOptions, 'platform' | 'clock' | 'logger' | 'page'> {
  /** Passes an outcome on to the systems of the host. */
  readonly report: (act: () => void) => void
}

/** Creates the function that sends orders and reports their outcomes. */
function createOrderSender ({ platform, clock, logger, page, report }: OrderSenderOptions): (call: OrderCall) => void {
  return ({ onOutcome, isAllowed, ...call }) => {
    const { endpoint, order, fencing } = call
    const startedAt = clock.getMonotonicMs()
    const onLateOutcome = (outcome: EngineOrderOutcome): void => {
      page.count('late_order_responses', { outcome })
      logger.info('order was answered after its time limit', { step: 'order', peer: endpoint, ...order, order: order.kind, fencing, outcome, afterMs: Math.round(clock.getMonotonicMs() - startedAt) })
      report(() => onOutcome(outcome))
    }
    void platform.sendOrder({ ...call, isAllowed: () => isAllowed(clock.getMonotonicMs()), onLateOutcome }).catch((error: unknown) => {
      logger.warn('failed to send an order', { step: 'order', peer: endpoint, cause: error })
      return EngineOrderOutcome.UNANSWERED
    }).then(outcome => {
      page.count('orders', { outcome })
      if (outcome !== 'holds' && outcome !== 'accepted') logger.info('order was not confirmed', { step: 'order', peer: endpoint, ...order, order: order.kind, fencing, outcome })
      report(() => onOutcome(outcome))
    })
  }
}

/** Starts a core host. Waits while the disk has no room for a new data folder. Rejects if the folder cannot be opened or the address cannot be bound. A damaged folder is replaced by an empty one. */
export async function startCoreHost (opts: CoreHostOptions): Promise<CoreHost> {
  const { settings, clock, logger, metrics, page, platform } = opts
  const { dataFolder, host } = settings
  if (dataFolder === undefined) throw new Error('a core host needs a data folder')
  let onFailed: (error: unknown) => void = () => undefined
  const failed = new Promise<never>((_resolve, reject) => { onFailed = reject })
  const log = await openDataFolder({ folder: dataFolder, host, group: GROUP, logger, onBroken: error => onFailed(error) })
  logger.info('opened the data folder', { step: 'start', incarnation: log.stored.incarnation, term: log.stored.hardState.term, entries: log.stored.entries.length, snapshotIndex: log.stored.snapshot?.lastIndex, bootstrap: settings.bootstrap, seeds: opts.getSeeds() })
  let isReadingList = false

  function pollList (): void {
    if (isReadingList) return
    isReadingList = true
    void platform.readList().catch((error: unknown) => {
      logger.warn('failed to read the list of endpoints', { step: 'list', cause: error })
      return undefined
    }).then(listed => {
      isReadingList = false
      page.count('list_reads', { outcome: listed === undefined ? 'failed' : 'read' })
      if (listed !== undefined) node.shell.emit(context => systems.placement.receiveList(listed, context))
    })
  }

  const sendOrder = createOrderSender({ ...opts, report: act => node.shell.emit(act) })
  const systems = createCoreSystems({ settings, getSeeds: opts.getSeeds, stored: log.stored, seed: randomInt(MAX_SEED), startedAt: clock.getMonotonicMs(), sendOrder, pollList })
  const node = createFleetNode({
    host: settings.host,
    bindIp: settings.bindIp,
    clock,
    logger,
    metrics: createVoterMetrics(metrics, page),
    systems,
    disk: { request: (request, onAnswer) => { void log.execute(request).then(onAnswer) }, watch: log.watch, close: log.close },
    onDiskAnswer: systems.receiveDisk,
    onCrash: onFailed
  })
  await node.open()
  const accountMetrics = createAccountMetrics(page)
  const loadMetrics = createLoadMetrics(page)
  const metricsTimer = setInterval(() => {
    accountMetrics.update(systems.quotas.takeTotals())
    loadMetrics.update(systems.placement.takeLoadCounts(clock.getMonotonicMs()))
    page.set('leader', systems.voter.isLeader() ? 1 : 0)
    page.set('routes_version', systems.getRoutesVersion())
  }, METRICS_INTERVAL_MS)

  return {
    failed,
    submit: (command, deadlineMs, logFields) => new Promise(resolve => {
      const packed = packCommand(command)
      node.shell.emit(context => {
        const { role, term } = systems.voter.getStatus()
        if (logFields !== undefined) logger.info('received a command', { step: 'command', ...logFields, role, term, leader: systems.voter.getLeader(), inContact: systems.voter.isInContact() })
        systems.commands.submit({ command: packed, deadlineAt: context.now + deadlineMs, logFields, onOutcome: resolve }, context)
      })
    }),
    query: (query, deadlineMs) => new Promise(resolve => {
      node.shell.emit(context => systems.commands.submitQuery({ query, fresh: true, deadlineAt: context.now + deadlineMs, onAnswer: resolve }, context))
    }),
    stop: async () => {
      node.shell.emit(context => { systems.voter.transferLeadership(context) })
      await new Promise(resolve => setTimeout(resolve, LEADERSHIP_TRANSFER_MS))
      clearInterval(metricsTimer)
      await node.close()
      await log.close()
    }
  }
}
