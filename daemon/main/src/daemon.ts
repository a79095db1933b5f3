/** Runs one host: connects the host core with its listeners, drivers, peer links, disk, logs and metrics. */
import type { Clock } from '@catkinferry/core.clock'
import type { Logger } from '@catkinferry/core.logger'
import type { Metrics } from '@catkinferry/core.metrics'
import { createDisposableStore } from '@catkinferry/core.tables'
import type { DisposableStore } from '@catkinferry/core.tables'
import type { DurationMs, ResolvedAdapter, ServiceClass } from '@catkinferry/core.types'
import type { Config } from '@catkinferry/daemon.config'
import { createEngineDriver } from '@catkinferry/endpoints.engine-driver'
import { createResponseBudget } from '@catkinferry/endpoints.http-dispatch'
import { createPlatformDriver } from '@catkinferry/endpoints.platform-driver'
import type { PlatformSource } from '@catkinferry/endpoints.platform-driver'
import { createServiceDriver } from '@catkinferry/endpoints.service-driver'
import { createCallerApi, createCallerLookup } from '@catkinferry/gateway.caller-api'
import type { CallerApi } from '@catkinferry/gateway.caller-api'
import { createOperatorApi, createOperatorTokens } from '@catkinferry/gateway.operator-api'
import type { OperatorApi } from '@catkinferry/gateway.operator-api'
import type { HostEvent } from '@catkinferry/host.events'
import { createAttemptRegister } from './attemptRegister.ts'
import type { AttemptRegister } from './attemptRegister.ts'
import type { Disk } from './disk.ts'
import type { Links } from './links.ts'
import { openListener } from './listeners.ts'
import type { Listener } from './listeners.ts'
import { createOutputHandlers } from './outputHandlers.ts'
import { createShell } from './shell.ts'
import type { RunnableHost } from './shell.ts'

/** Settings of the core that the caller API reads. */
export interface HostViews {
  readonly listAdapters: (opts: { after?: string, limit: number }) => readonly ResolvedAdapter[]
  readonly getDefaultDeadlineMs: (serviceClass: ServiceClass) => DurationMs
  readonly getMaxPauseMs: () => DurationMs
}

export interface DaemonOptions {
  readonly config: Config
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly host: RunnableHost & HostViews
  /** Opens the peer links; they report events through `emit`. */
  readonly openLinks: (emit: (event: HostEvent) => void) => Promise<Links>
  /** Absent on hosts that do not vote. */
  readonly disk?: Disk
}

export interface Daemon {
  readonly callerUrl: string
  readonly operatorUrl: string
  /** Starts a graceful shutdown. */
  readonly stop: () => void
  /** Stops immediately and aborts open requests. */
  readonly cut: () => void
  /** Resolves when the host has stopped; rejects if the core fails. */
  readonly stopped: Promise<void>
}

const HEAP_REPORT_INTERVAL_MS = 10_000
const BYTES_PER_MB = 2 ** 20

interface LoopControl {
  readonly emit: (event: HostEvent) => void
  readonly stop: () => void
  readonly fail: (error: unknown) => void
}

function buildPlatformSource (config: Config): PlatformSource {
  if (config.platform !== undefined) return { kind: 'http', url: config.platform.url }
  const endpoints = (config.endpoints ?? []).map(row => ({ ...row, leaving: false }))
  return { kind: 'fixed', list: { endpoints, hosts: [] } }
}

function createApis (opts: DaemonOptions, control: LoopControl, attempts: AttemptRegister): { callerApi: CallerApi, operatorApi: OperatorApi } {
  const { config, clock, metrics, logger, host } = opts
  const { emit } = control
  const callerApi = createCallerApi({
    host: config.host,
    clock,
    emit,
    metrics,
    routes: config.services,
    findCaller: createCallerLookup(config.callers),
    listAdapters: host.listAdapters,
    getDefaultDeadlineMs: host.getDefaultDeadlineMs,
    getMaxPauseMs: host.getMaxPauseMs,
    setPaused: attempts.setRequestPaused
  })
  const tokens = config.operatorTokens === undefined ? undefined : createOperatorTokens(config.operatorTokens)
  return { callerApi, operatorApi: createOperatorApi({ emit, logger, tokens }) }
}

function createDrivers (opts: DaemonOptions, emit: (event: HostEvent) => void, store: DisposableStore) {
  const { clock } = opts
  const budget = createResponseBudget()
  const engines = createEngineDriver({ clock, emit, budget })
  const services = createServiceDriver({ clock, emit, budget })
  const platform = createPlatformDriver({ clock, emit, source: buildPlatformSource(opts.config) })
  store.add(engines.close)
  store.add(services.close)
  store.add(platform.close)
  return { engines, services, platform }
}

/** Counts attempts and removes ended ones from the register before it passes each event to the core. */
function createAttemptTracker (attempts: () => AttemptRegister, metrics: Metrics, emit: (event: HostEvent) => void): (event: HostEvent) => void {
  return event => {
    if (event.kind === 'attempt.ended' || event.kind === 'attempt.failed') attempts().remove(event.attemptId)
    if (event.kind === 'attempt.failed') metrics.count('attempt.failed', 1, { sent: String(event.sent) })
    if (event.kind === 'attempt.started') metrics.count('attempt.started', 1)
    if (event.kind === 'order.result') metrics.count('order.result', 1, { outcome: event.outcome.kind })
    emit(event)
  }
}

/** Reports the used heap periodically. Returns a function that stops it. */
function startHeapReports (metrics: Metrics): () => void {
  const timer = setInterval(() => metrics.gauge('process.heap_mb', process.memoryUsage().heapUsed / BYTES_PER_MB), HEAP_REPORT_INTERVAL_MS)
  timer.unref()
  return () => clearInterval(timer)
}

async function closeAll (listeners: readonly Listener[], store: DisposableStore): Promise<void> {
  await Promise.all(listeners.map(async listener => { await listener.close() }))
  await store.dispose()
}

interface OpenListenersOptions {
  readonly config: Config
  readonly callerApi: CallerApi
  readonly operatorApi: OperatorApi
  /** Each listener is added as soon as it is open, so that all are closed if a later one fails. */
  readonly listeners: Listener[]
}

async function openListeners (opts: OpenListenersOptions): Promise<readonly [Listener, Listener]> {
  const { config, listeners } = opts
  const caller = await openListener(config.listen.caller, opts.callerApi.handle)
  listeners.push(caller)
  const operator = await openListener(config.listen.operator, opts.operatorApi.handle)
  listeners.push(operator)
  return [caller, operator]
}

/** Starts a host. Rejects if a listener cannot be opened. */
export async function startDaemon (opts: DaemonOptions): Promise<Daemon> {
  const { config, clock, logger, metrics, host } = opts
  const store = createDisposableStore()
  store.add(metrics.close)
  if (opts.disk !== undefined) store.add(opts.disk.close)
  let settle: { resolve: () => void, reject: (error: unknown) => void } = { resolve: () => undefined, reject: () => undefined }
  const stopped = new Promise<void>((resolve, reject) => { settle = { resolve, reject } })
  const listeners: Listener[] = []
  const control: LoopControl = {
    emit: event => { shell.emit(event) },
    stop: () => {
      shell.stop()
      closeAll(listeners, store).then(settle.resolve, settle.reject)
    },
    fail: error => {
      logger.error('host core failed', { step: 'run', cause: error })
      for (const listener of listeners) listener.cut()
      void closeAll(listeners, store).finally(() => settle.reject(error))
    }
  }
  const trackAttempts = createAttemptTracker(() => attempts, metrics, control.emit)
  const drivers = createDrivers(opts, trackAttempts, store)
  const attempts = createAttemptRegister({ adapter: drivers.engines, service: drivers.services })
  const { callerApi, operatorApi } = createApis(opts, control, attempts)
  const links = await opts.openLinks(control.emit)
  store.add(links.close)
  const handlers = createOutputHandlers({ logger, metrics, links, disk: opts.disk, drivers, attempts, callerApi, operatorApi, emit: control.emit, onStopped: control.stop })
  const shell = createShell({ host, clock, logger, metrics, handlers, onTurnEnd: callerApi.flush, onCrash: control.fail })
  const [caller, operator] = await openListeners({ config, callerApi, operatorApi, listeners }).catch(async error => {
    await closeAll(listeners, store)
    throw error
  })
  shell.start()
  opts.disk?.watch(answer => control.emit({ kind: 'disk.answer', answer }))
  store.add(startHeapReports(metrics))
  logger.info('serving', { step: 'start', callerUrl: caller.url, operatorUrl: operator.url })
  return {
    callerUrl: caller.url,
    operatorUrl: operator.url,
    stop: () => {
      logger.info('stopping gracefully', { step: 'stop' })
      shell.emit({ kind: 'host.stop' })
    },
    cut: () => {
      for (const listener of listeners) listener.cut()
      control.stop()
    },
    stopped
  }
}
