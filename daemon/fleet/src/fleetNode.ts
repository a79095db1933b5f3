/** Event loop and peer links of a host in a fleet. Each turn executes queued tasks and then runs the host's systems. */
import type { Clock } from '@catkinferry/core.clock'
import type { Logger } from '@catkinferry/core.logger'
import type { Metrics } from '@catkinferry/core.metrics'
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import { createShell } from '@catkinferry/daemon.main'
import type { Disk, OutputHandlers, RunnableHost, Shell } from '@catkinferry/daemon.main'
import { createOutbox, tryReceive } from '@catkinferry/host.core'
import type { RunContext } from '@catkinferry/host.events'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { createPeerLinks } from '@catkinferry/wire.peer-links'
import { getBindAddress } from './bindAddress.ts'

/** Work on the systems' state, executed in the next turn of the loop. */
export type NodeTask = (context: RunContext) => void

export interface NodeSystems {
  readonly receive: (from: HostId, message: PeerMessage, context: RunContext) => void
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs
  readonly listPeers: () => readonly HostId[]
  /** Called when the loop has not run for `gapMs`, longer than a turn may take. */
  readonly handlePause: (context: RunContext, gapMs: number) => void
}

export interface FleetNodeOptions {
  readonly host: HostId
  readonly bindIp?: string
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly systems: NodeSystems
  readonly disk?: Disk
  readonly onDiskAnswer?: (answer: Parameters<Parameters<Disk['request']>[1]>[0], context: RunContext) => void
  readonly onCrash: (error: unknown) => void
}

export interface FleetNode {
  readonly shell: Shell<NodeTask>
  readonly open: () => Promise<void>
  readonly close: () => Promise<void>
}

/** Peers of another group refuse the connection, as when an address has been reused by a host of another system. */
const GROUP = 'fleet'
/** A longer time between two runs counts as a pause of the process. */
const PAUSE_MS = 400
/** Longest scheduled time between two runs. */
const MAX_RUN_INTERVAL_MS = 100
/** How often the links are updated to the hosts that membership knows. */
const PEER_SYNC_INTERVAL_MS = 5_000

function createRunnable (opts: FleetNodeOptions, onRun: (now: MonotonicMs) => void): RunnableHost<NodeTask> {
  const { systems, clock, host } = opts
  let tasks: NodeTask[] = []
  let lastRunAt = clock.getMonotonicMs()
  let nextAt = lastRunAt

  function run (now: MonotonicMs) {
    const { context, outputs, takeLoopback } = createOutbox({ self: host, now, wallNow: clock.getWallMs() })
    const handleLoopback = (): void => {
      for (let message = takeLoopback(); message !== undefined; message = takeLoopback()) systems.receive(host, message, context)
    }
    if (now - lastRunAt > PAUSE_MS) systems.handlePause(context, now - lastRunAt)
    lastRunAt = now
    const pending = tasks
    tasks = []
    for (const task of pending) {
      task(context)
      handleLoopback()
    }
    systems.run(context)
    handleLoopback()
    nextAt = Math.min(systems.getNextAt(), now + MAX_RUN_INTERVAL_MS)
    onRun(now)
    return outputs
  }

  return { receive: task => { tasks.push(task) }, run, getNextAt: () => nextAt }
}

/** Creates a node; `open` opens its listener and starts the loop. */
export function createFleetNode (opts: FleetNodeOptions): FleetNode {
  const { host, logger, metrics, systems, disk } = opts
  const connectedPeers = new Set<HostId>()
  let nextSyncAt = 0
  const links = createPeerLinks({
    self: host,
    group: GROUP,
    peers: [],
    listen: getBindAddress(host, opts.bindIp),
    localIp: opts.bindIp,
    allowInsecure: true,
    acceptUnknown: true,
    logger,
    onMessage: (from, message) => { shell.emit(context => tryReceive(systems.receive, from, message, context)) },
    onLink: (peer, up) => logger.info(up ? 'peer link is up' : 'peer link is down', { step: 'link', peer })
  })

  function setPeers (peers: Iterable<HostId>): void {
    const uniquePeers = [...new Set(peers)]
    connectedPeers.clear()
    for (const peer of uniquePeers) connectedPeers.add(peer)
    links.setPeers(uniquePeers.map(peer => ({ host: peer, address: peer })))
  }

  function send (to: HostId, message: PeerMessage): void {
    if (!connectedPeers.has(to)) setPeers([...connectedPeers, to])
    links.send(to, message)
  }

  function syncPeers (now: MonotonicMs): void {
    if (now < nextSyncAt) return
    nextSyncAt = now + PEER_SYNC_INTERVAL_MS
    const peers = systems.listPeers()
    if (peers.length !== connectedPeers.size || peers.some(peer => !connectedPeers.has(peer))) setPeers(peers)
  }

  const handlers: Partial<OutputHandlers> = {
    'peer.send': ({ to, message }) => send(to, message),
    'disk.request': ({ request }) => disk?.request(request, answer => { shell.emit(context => opts.onDiskAnswer?.(answer, context)) }),
    log: ({ level, message, fields }) => logger.log(level, message, fields),
    metric: ({ type, name, value, tags }) => metrics[type](name, value, tags)
  }
  const shell = createShell<NodeTask>({ host: createRunnable(opts, syncPeers), clock: opts.clock, logger, metrics, handlers, onTurnEnd: () => undefined, onCrash: opts.onCrash })
  return {
    shell,
    open: async () => {
      await links.open()
      disk?.watch(answer => { shell.emit(context => opts.onDiskAnswer?.(answer, context)) })
      shell.start()
    },
    close: async () => {
      shell.stop()
      await links.close()
    }
  }
}
