/** Builds a host from its settings and starts it, for `catkinferryd` and for `catkinferry dev`. */
import { randomInt } from 'node:crypto'
import { openDurableLog, openWhenWritable } from '@catkinferry/consensus.durable-log'
import type { FileOperations } from '@catkinferry/consensus.durable-log'
import { createSystemClock } from '@catkinferry/core.clock'
import type { Clock } from '@catkinferry/core.clock'
import { createLogger } from '@catkinferry/core.logger'
import type { Logger } from '@catkinferry/core.logger'
import { createMetrics } from '@catkinferry/core.metrics'
import type { Metrics } from '@catkinferry/core.metrics'
import type { PeerRow, ServiceClass } from '@catkinferry/core.types'
import type { Config } from '@catkinferry/daemon.config'
import { createHost } from '@catkinferry/host.core'
import type { Host } from '@catkinferry/host.core'
import type { StoredState } from '@catkinferry/wire.messages'
import { startDaemon } from './daemon.ts'
import type { Daemon, HostViews } from './daemon.ts'
import type { Disk } from './disk.ts'
import { parseAddress } from '@catkinferry/core.types'
import { openLinks } from './openLinks.ts'

export interface StartHostOptions {
  readonly config: Config
  /** Called with each log line. */
  readonly writeLog: (line: string) => void
  /** File operations of the data folder; tests inject failures of the disk. */
  readonly fs?: FileOperations
  /** False: rejects with `DISK_FAILED` if the disk has no room for the data folder, instead of waiting for it. */
  readonly waitsForDisk?: boolean
}

const MAX_SEED = 2 ** 31 - 1
/** Fraction of the progress timeout for which a stream may be paused. */
const MAX_PAUSE_FRACTION = 0.8

const DEADLINE_KEYS: Readonly<Record<ServiceClass, string>> = {
  urgent: 'deadline.urgentMs',
  standard: 'deadline.standardMs',
  overnight: 'deadline.overnightMs'
}

function buildPeers (config: Config): PeerRow[] {
  return config.peers.map(peer => ({ ...peer, voter: config.voters.includes(peer.host), leaseVoter: config.leaseVoters.includes(peer.host) }))
}

async function openDisk ({ config, fs, waitsForDisk }: StartHostOptions, logger: Logger): Promise<{ readonly disk: Disk, readonly stored: StoredState } | undefined> {
  if (!config.voters.includes(config.host) || config.dataFolder === undefined) return undefined
  const onBroken = (error: unknown): void => { logger.error('the data folder is unusable; this voter is inactive until it is replaced', { step: 'disk', cause: error }) }
  const folder = { folder: config.dataFolder, host: config.host, group: config.group, fs, onBroken }
  const log = waitsForDisk === false ? await openDurableLog(folder) : await openWhenWritable({ ...folder, logger })
  const disk: Disk = {
    request: (request, onAnswer) => { void log.execute(request).then(onAnswer) },
    watch: log.watch,
    close: log.close
  }
  return { disk, stored: log.stored }
}

function createCore (config: Config, clock: Clock, stored: StoredState | undefined): Host {
  const { host, zone, region } = config
  const startedAt = clock.getMonotonicMs()
  return createHost({
    self: { host, zone, region },
    path: config.path,
    group: config.group,
    peers: buildPeers(config),
    stored,
    seed: randomInt(MAX_SEED),
    wallAtZeroMs: clock.getWallMs() - startedAt,
    startedAt
  })
}

function createViews (config: Config, core: Host): HostViews {
  return {
    listAdapters: core.settings.listAdapters,
    getDefaultDeadlineMs: serviceClass => core.settings.getValue<number>(config.path, DEADLINE_KEYS[serviceClass]),
    getMaxPauseMs: () => core.settings.getValue<number>(config.path, 'stream.progressTimeoutMs') * MAX_PAUSE_FRACTION
  }
}

function openMetrics (config: Config, logger: Logger): Metrics {
  const agent = config.metrics === undefined ? undefined : parseAddress(config.metrics.agent)
  return createMetrics({
    agent,
    prefix: config.metrics?.prefix ?? '',
    tags: { host: config.host, zone: config.zone },
    onError: error => { logger.warn('failed to send metrics', { step: 'metrics', cause: error }) }
  })
}

/** Starts the host. Rejects with a `CatkinferryError` if the data folder is locked, damaged or belongs to another host. */
export async function startHost (opts: StartHostOptions): Promise<Daemon> {
  const { config } = opts
  const clock = createSystemClock()
  const logger = createLogger({ level: config.logs.level, fields: { host: config.host }, write: opts.writeLog })
  const opened = await openDisk(opts, logger)
  const core = createCore(config, clock, opened?.stored)
  const metrics = openMetrics(config, logger)
  return await startDaemon({
    config,
    clock,
    logger,
    metrics,
    host: { ...core, ...createViews(config, core) },
    openLinks: async emit => await openLinks({ config, logger, metrics, emit }),
    disk: opened?.disk
  })
}
