/**
 * Distributes settings from the voters through one relay in each zone to every host, and provides the settings in force.
 * Runs on every host; the parts in this folder share the state in sharedState.ts.
 */
import type { HostId, MonotonicMs, PeerRow, SettingsView } from '@catkinferry/core.types'
import type { RunContext, System } from '@catkinferry/host.events'
import type { SettingsTree } from '@catkinferry/settings.tree'
import type { RevisionDelta, SettingsMessage } from '@catkinferry/wire.messages'
import { createAppliedReports } from './appliedReports.ts'
import { HEARTBEAT_MS, REPORT_REFRESH_INTERVAL_MS } from './constants.ts'
import { createSharedState, isCutOff } from './sharedState.ts'
import type { DisseminationOptions, SharedState, Task } from './sharedState.ts'
import { createReceiver } from './receiver.ts'
import { createStartup } from './startup.ts'
import { pushToSubscribers, sendHeartbeats } from './subscribers.ts'
import { createUpstream } from './upstream.ts'

export interface Dissemination extends System<SettingsMessage> {
  readonly view: SettingsView
  /** The settings tree in force, for dry runs and node descriptions. */
  readonly getTree: () => SettingsTree
  /** On voters: publishes a committed change. */
  readonly recordCommitted: (delta: RevisionDelta, context: RunContext) => void
  /** A link is known to be down: if it leads to the upstream, the next candidate is used at once. */
  readonly handleLinkDown: (host: HostId, context: RunContext) => void
  readonly setPeers: (peers: readonly PeerRow[]) => void
  /** On voters: the revision that each host last reported as applied. */
  readonly getAppliedByHost: () => ReadonlyMap<HostId, number>
  /** The host that this one receives its settings from; undefined on a voter that follows the log. */
  readonly getUpstream: () => HostId | undefined
}

function createView (state: SharedState): SettingsView {
  const getTree = (): SettingsTree => state.settingsInForce.getTree()
  return {
    getRevision: state.settingsInForce.getRevision,
    isReady: () => state.ready,
    getValue: <T>(path: string, key: string) => getTree().getValue(path, key) as T,
    resolveAdapter: (adapter, version) => getTree().resolveAdapter(adapter, version),
    listAdapters: opts => getTree().listAdapters(opts),
    getCutOffSince: () => getCutOffSince(state)
  }
}

function getCutOffSince (state: SharedState): MonotonicMs | undefined {
  if (!isCutOff(state)) return undefined
  return state.majorityKnownAt ?? state.startedAt ?? 0
}

/** Creates the dissemination of one host. It is ready once it has the highest revision found among the hosts it can reach. */
export function createDissemination (opts: DisseminationOptions): Dissemination {
  const state = createSharedState(opts)
  const { dueTasks } = state
  const reports = createAppliedReports(state)
  const upstream = createUpstream(state, context => { reports.markAllUnreported(context) })
  const startup = createStartup(state, upstream)
  const receiver = createReceiver({ state, upstream, startup, reports })
  let pushedRevision = 0

  const tasks: { readonly [Name in Task]: (context: RunContext) => void } = {
    heartbeat: context => { sendHeartbeats(state, HEARTBEAT_MS, context) },
    silence: upstream.checkSilence,
    renew: upstream.renew,
    trial: upstream.tryBetterCandidate,
    probe: startup.probe,
    report: context => { reports.flush(upstream.getHost(), context) },
    refresh: reports.markAllUnreported,
    repair: receiver.repair
  }

  function start (context: RunContext): void {
    state.startedAt = context.now
    dueTasks.set('refresh', context.now + REPORT_REFRESH_INTERVAL_MS)
    startup.probe(context)
  }

  function run (context: RunContext): void {
    state.now = context.now
    if (state.startedAt === undefined) start(context)
    state.settingsInForce.followVoter()
    for (const task of dueTasks.takeDue(context.now)) tasks[task](context)
    startup.checkReady()
    if (state.ready) upstream.update(context)
    if (state.settingsInForce.getRevision() === pushedRevision) return
    pushedRevision = state.settingsInForce.getRevision()
    pushToSubscribers(state, context)
    reports.recordOwnRevision(context)
  }

  return {
    view: createView(state),
    getTree: state.settingsInForce.getTree,
    receive: (from, message, context) => {
      state.now = context.now
      receiver.receive(from, message, context)
    },
    run,
    getNextAt: () => {
      if (state.startedAt === undefined || state.settingsInForce.getRevision() !== pushedRevision) return state.now
      return dueTasks.getNextAt()
    },
    recordCommitted: (delta, context) => {
      state.now = context.now
      state.settingsInForce.recordCommitted(delta)
    },
    handleLinkDown: (host, context) => { upstream.handleUnreachable(host, context) },
    setPeers: peers => { state.peers = new Map(peers.map(peer => [peer.host, peer])) },
    getAppliedByHost: reports.getAll,
    getUpstream: upstream.getHost
  }
}
