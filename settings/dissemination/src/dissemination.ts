/** Carries settings from the voters over one relay in each zone to every host, and gives the settings in force. */
import type { HostId, MonotonicMs, PeerRow, SettingsView } from '@catkinferry/core.types'
import type { RunContext, System } from '@catkinferry/host.events'
import type { SettingsTree } from '@catkinferry/settings.tree'
import type { RevisionDelta, SettingsMessage } from '@catkinferry/wire.messages'
import { createAppliedReports } from './appliedReports.ts'
import { HEARTBEAT_MS, REPORT_REFRESH_MS } from './constants.ts'
import { createCore, isCutOff } from './core.ts'
import type { Core, DisseminationOptions, Task } from './core.ts'
import { createReceiver } from './receiver.ts'
import { createStartup } from './startup.ts'
import { pushToSubscribers, sendHeartbeats } from './subscribers.ts'
import { createUpstream } from './upstream.ts'

export interface Dissemination extends System<SettingsMessage> {
  readonly view: SettingsView
  /** The settings tree in force, for dry runs and descriptions. */
  readonly getTree: () => SettingsTree
  /** On voters: a change was committed. */
  readonly noteCommitted: (delta: RevisionDelta, context: RunContext) => void
  /** A link is known to be down: what hangs on it moves at once. */
  readonly noteLinkDown: (host: HostId, context: RunContext) => void
  readonly setPeers: (peers: readonly PeerRow[]) => void
  /** On voters: the revision that each host said it had applied last. */
  readonly getAppliedByHost: () => ReadonlyMap<HostId, number>
  /** The host that this one gets its settings from; undefined on a voter that follows the log. */
  readonly getUpstream: () => HostId | undefined
}

function createView (core: Core): SettingsView {
  const getTree = (): SettingsTree => core.inForce.getTree()
  return {
    getRevision: core.inForce.getRevision,
    isReady: () => core.ready,
    getValue: <T>(path: string, key: string) => getTree().getValue(path, key) as T,
    resolveAdapter: (adapter, version) => getTree().resolveAdapter(adapter, version),
    listAdapters: opts => getTree().listAdapters(opts),
    getCutOffSince: () => getCutOffSince(core)
  }
}

function getCutOffSince (core: Core): MonotonicMs | undefined {
  if (!isCutOff(core)) return undefined
  return core.majorityAt ?? core.startedAt ?? 0
}

/** Creates the dissemination of one host. It is not ready until it found the highest revision that it can reach. */
export function createDissemination (opts: DisseminationOptions): Dissemination {
  const core = createCore(opts)
  const { due } = core
  const reports = createAppliedReports(core)
  const upstream = createUpstream(core, context => { reports.markAll(context) })
  const startup = createStartup(core, upstream)
  const receiver = createReceiver({ core, upstream, startup, reports })
  let pushedRevision = 0

  const tasks: { readonly [Name in Task]: (context: RunContext) => void } = {
    heartbeat: context => { sendHeartbeats(core, HEARTBEAT_MS, context) },
    silence: upstream.checkSilence,
    renew: upstream.renew,
    trial: upstream.tryBetter,
    probe: startup.probe,
    report: context => { reports.flush(upstream.getHost(), context) },
    refresh: reports.markAll,
    repair: receiver.repair
  }

  function start (context: RunContext): void {
    core.startedAt = context.now
    due.set('refresh', context.now + REPORT_REFRESH_MS)
    startup.probe(context)
  }

  function run (context: RunContext): void {
    core.now = context.now
    if (core.startedAt === undefined) start(context)
    core.inForce.followVoter()
    for (const task of due.takeDue(context.now)) tasks[task](context)
    startup.checkReady()
    if (core.ready) upstream.update(context)
    if (core.inForce.getRevision() === pushedRevision) return
    pushedRevision = core.inForce.getRevision()
    pushToSubscribers(core, context)
    reports.noteOwn(context)
  }

  return {
    view: createView(core),
    getTree: core.inForce.getTree,
    receive: (from, message, context) => {
      core.now = context.now
      receiver.receive(from, message, context)
    },
    run,
    getNextAt: () => {
      if (core.startedAt === undefined || core.inForce.getRevision() !== pushedRevision) return core.now
      return due.getNextAt()
    },
    noteCommitted: (delta, context) => {
      core.now = context.now
      core.inForce.noteCommitted(delta)
    },
    noteLinkDown: (host, context) => { upstream.noteLost(host, context) },
    setPeers: peers => { core.peers = new Map(peers.map(peer => [peer.host, peer])) },
    getAppliedByHost: reports.getAll,
    getUpstream: upstream.getHost
  }
}
