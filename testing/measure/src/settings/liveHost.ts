/** Host of the settings experiment: a host core with real peer links and, for a voter, a real data folder, without callers and endpoints. */
import { openDurableLog } from '@catkinferry/consensus.durable-log'
import type { DurableLog } from '@catkinferry/consensus.durable-log'
import { createSystemClock } from '@catkinferry/core.clock'
import { createLogger } from '@catkinferry/core.logger'
import { createMetrics } from '@catkinferry/core.metrics'
import type { HostId, OperatorCall, OperatorReply, PeerRow } from '@catkinferry/core.types'
import { createShell } from '@catkinferry/daemon.main'
import type { OutputHandlers } from '@catkinferry/daemon.main'
import { createHost } from '@catkinferry/host.core'
import type { Host } from '@catkinferry/host.core'
import type { HostEvent } from '@catkinferry/host.events'
import { createPeerLinks } from '@catkinferry/wire.peer-links'
import type { PeerAddress, PeerLinks } from '@catkinferry/wire.peer-links'

const GROUP = 'measure'
const operator = { name: 'operator', role: 'write', from: '127.0.0.1' } as const

export interface LiveHost {
  readonly host: HostId
  readonly port: number
  readonly request: (operatorRequest: OperatorCall) => Promise<OperatorReply>
  readonly getRevision: () => number
  readonly connect: (peers: readonly PeerAddress[]) => void
  readonly start: () => void
  readonly close: () => Promise<void>
}

export interface LiveHostOptions {
  readonly self: PeerRow
  readonly peers: readonly PeerRow[]
  readonly seed: number
  /** Data folder; set for voters only. */
  readonly folder?: string
  /** Called when a disk request of a voter has completed. */
  readonly onDiskRequestDone: (tookMs: number) => void
  /** Called when the revision in force on the host has increased. */
  readonly onRevision: (host: HostId, revision: number) => void
}

const ignore = (): void => {}

/** Ignores the outputs for parts that this host does not have. */
const IGNORED_OUTPUTS: OutputHandlers = {
  'peer.send': ignore,
  'attempt.start': ignore,
  'attempt.cancel': ignore,
  'order.send': ignore,
  'order.cut': ignore,
  'endpoint.poll': ignore,
  'platform.poll': ignore,
  'disk.request': ignore,
  'caller.head': ignore,
  'caller.chunk': ignore,
  'caller.end': ignore,
  'caller.fail': ignore,
  'operator.reply': ignore,
  log: ignore,
  metric: ignore,
  'host.health': ignore,
  'host.stopped': ignore
}

function createCore (opts: LiveHostOptions, log: DurableLog | undefined): Host {
  const { self, peers, seed } = opts
  const now = performance.now()
  return createHost({
    self,
    path: `fleet/${self.region}/${self.zone}/rack/${self.host}`,
    group: GROUP,
    peers,
    stored: log?.stored,
    seed,
    wallAtZeroMs: Date.now() - now,
    startedAt: now
  })
}

interface HostParts {
  readonly core: Host
  readonly links: PeerLinks
  readonly log: DurableLog | undefined
  readonly replies: Map<string, (reply: OperatorReply) => void>
  readonly onDiskRequestDone: (tookMs: number) => void
}

function createHandlers (parts: HostParts, emit: (event: HostEvent) => void): OutputHandlers {
  return {
    ...IGNORED_OUTPUTS,
    'peer.send': ({ to, message }) => { parts.links.send(to, message) },
    'disk.request': ({ request }) => {
      const startedAt = performance.now()
      void parts.log?.execute(request).then(answer => {
        parts.onDiskRequestDone(performance.now() - startedAt)
        emit({ kind: 'disk.answer', answer })
      })
    },
    'operator.reply': ({ opId, reply }) => {
      parts.replies.get(opId)?.(reply)
      parts.replies.delete(opId)
    }
  }
}

/** Opens the data folder and the listener; `connect` and `start` follow once all hosts are open. */
export async function openLiveHost (opts: LiveHostOptions): Promise<LiveHost> {
  const { self, folder, onRevision } = opts
  const { host } = self
  const logger = createLogger({ level: 'error', fields: { host }, write: line => { process.stderr.write(line) } })
  const log = folder === undefined ? undefined : await openDurableLog({ folder, host, group: GROUP })
  const emit = (event: HostEvent): void => { shell.emit(event) }
  const links = createPeerLinks({
    self: host,
    group: GROUP,
    peers: [],
    listen: '127.0.0.1:0',
    logger,
    onMessage: (from, message) => { emit({ kind: 'peer.message', from, message }) },
    onLink: (peer, up) => { emit({ kind: 'peer.link', host: peer, up }) }
  })
  const parts: HostParts = { core: createCore(opts, log), links, log, replies: new Map(), onDiskRequestDone: opts.onDiskRequestDone }
  const { core, replies } = parts
  let lastRevision = 0
  const shell = createShell({
    host: core,
    clock: createSystemClock(),
    logger,
    metrics: createMetrics({ prefix: '', onError: ignore }),
    handlers: createHandlers(parts, emit),
    onTurnEnd: () => {
      if (core.getRevision() > lastRevision) onRevision(host, lastRevision = core.getRevision())
    },
    onCrash: error => { throw error }
  })
  let requestCount = 0
  return {
    host,
    port: await links.open(),
    request: async operatorRequest => await new Promise(resolve => {
      const opId = `${host}-${requestCount++}`
      replies.set(opId, resolve)
      emit({ kind: 'operator.request', opId, request: { ...operatorRequest, operator } })
    }),
    getRevision: core.getRevision,
    connect: links.setPeers,
    start: shell.start,
    close: async () => {
      shell.stop()
      await links.close()
      await log?.close()
    }
  }
}
