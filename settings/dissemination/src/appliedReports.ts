/** Collects the revision that each host has applied and reports it upstream, through the relay of the zone to the voters. */
import type { HostId, PeerRow } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { AppliedRevision, SettingsMessage } from '@catkinferry/wire.messages'
import { INNER_REPORT_DELAY_MS, LEAF_REPORT_DELAY_MS, RELAY_REPORT_DELAY_MS, REPORT_REFRESH_INTERVAL_MS } from './constants.ts'
import type { SharedState } from './sharedState.ts'
import { recordAppliedElsewhere, sendSettings } from './sharedState.ts'

type ZoneApplied = Extract<SettingsMessage, { kind: 'settings.zoneApplied' }>

export interface AppliedReports {
  readonly recordOwnRevision: (context: RunContext) => void
  readonly receiveHostReport: (rows: readonly AppliedRevision[], context: RunContext) => void
  readonly receiveZoneReport: (report: ZoneApplied, context: RunContext) => void
  /** Sends the revisions that were not reported yet. */
  readonly flush: (upstream: HostId | undefined, context: RunContext) => void
  /** Schedules a full report, for a new upstream or a voter that restarted. */
  readonly markAllUnreported: (context: RunContext) => void
  readonly getAll: () => ReadonlyMap<HostId, number>
}

function listZonePeers (state: SharedState): PeerRow[] {
  return [...state.peers.values()].filter(peer => peer.zone === state.self.zone)
}

function listOtherVoters (state: SharedState): HostId[] {
  return [...state.peers.values()].filter(peer => peer.voter && peer.host !== state.self.host).map(peer => peer.host)
}

/** Creates reports without any host. */
export function createAppliedReports (state: SharedState): AppliedReports {
  const appliedByHost = new Map<HostId, number>()
  /** Hosts of this zone whose revision has yet to be reported. */
  const unreported = new Set<HostId>()
  let isFlushScheduled = false
  let isRelay = false

  function scheduleFlush (context: RunContext): void {
    if (isFlushScheduled) return
    isFlushScheduled = true
    const delayMs = state.subscribers.size > 0 ? INNER_REPORT_DELAY_MS : LEAF_REPORT_DELAY_MS
    state.dueTasks.set('report', context.now + (isRelay ? RELAY_REPORT_DELAY_MS : delayMs))
  }

  function setApplied (host: HostId, revision: number, context: RunContext): void {
    if (appliedByHost.get(host) === revision) return
    appliedByHost.set(host, revision)
    unreported.add(host)
    scheduleFlush(context)
  }

  function buildZoneReport (): ZoneApplied {
    const revision = state.settingsInForce.getRevision()
    const exceptions = listZonePeers(state)
      .filter(({ host }) => appliedByHost.get(host) !== revision)
      .map(({ host }) => ({ host, revision: appliedByHost.get(host) }))
    return { kind: 'settings.zoneApplied', zone: state.self.zone, revision, exceptions, forwarded: state.isSource() }
  }

  function flush (upstream: HostId | undefined, context: RunContext): void {
    isFlushScheduled = false
    isRelay = state.isSource() || state.peers.get(upstream ?? '')?.zone !== state.self.zone
    if (unreported.size === 0 || (upstream === undefined && !state.isSource())) return
    if (isRelay) {
      const report = buildZoneReport()
      const targets = state.isSource() || upstream === undefined ? listOtherVoters(state) : [upstream]
      for (const target of targets) sendSettings(state, target, report, context)
    } else {
      const rows = [...unreported].map(host => ({ host, revision: appliedByHost.get(host) }))
      sendSettings(state, upstream!, { kind: 'settings.applied', applied: rows }, context)
    }
    unreported.clear()
  }

  return {
    flush,
    recordOwnRevision: context => { setApplied(state.self.host, state.settingsInForce.getRevision(), context) },
    receiveHostReport: (rows, context) => {
      for (const { host, revision } of rows) {
        const isOfZone = state.peers.get(host)?.zone === state.self.zone && host !== state.self.host
        if (isOfZone && revision !== undefined) setApplied(host, revision, context)
      }
    },
    receiveZoneReport: (report, context) => {
      recordAppliedElsewhere(state, report.revision)
      const exceptions = new Map(report.exceptions.map(({ host, revision }) => [host, revision]))
      for (const { host, zone } of state.peers.values()) {
        if (zone !== report.zone) continue
        const revision = exceptions.has(host) ? exceptions.get(host) : report.revision
        // Several voters of one zone may report it concurrently. Revisions never decrease, so the higher one is the later report.
        if (revision !== undefined && revision > (appliedByHost.get(host) ?? -1)) appliedByHost.set(host, revision)
      }
      if (report.forwarded || !state.isSource()) return
      for (const voter of listOtherVoters(state)) sendSettings(state, voter, { ...report, forwarded: true }, context)
    },
    markAllUnreported: context => {
      for (const { host } of listZonePeers(state)) {
        if (appliedByHost.has(host)) unreported.add(host)
      }
      if (unreported.size > 0) scheduleFlush(context)
      state.dueTasks.set('refresh', context.now + REPORT_REFRESH_INTERVAL_MS)
    },
    getAll: () => appliedByHost
  }
}
