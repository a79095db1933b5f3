/** Collects the revision that each host has applied and reports it upstream, through the relay of the zone to the voters. */
import type { HostId, PeerRow } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { AppliedRevision, SettingsMessage } from '@catkinferry/wire.messages'
import { INNER_REPORT_DELAY_MS, LEAF_REPORT_DELAY_MS, RELAY_REPORT_DELAY_MS, REPORT_REFRESH_INTERVAL_MS } from './constants.ts'
import type { Core } from './core.ts'
import { recordAppliedElsewhere, sendSettings } from './core.ts'

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

function listZonePeers (core: Core): PeerRow[] {
  return [...core.peers.values()].filter(peer => peer.zone === core.self.zone)
}

function listOtherVoters (core: Core): HostId[] {
  return [...core.peers.values()].filter(peer => peer.voter && peer.host !== core.self.host).map(peer => peer.host)
}

/** Creates reports without any host. */
export function createAppliedReports (core: Core): AppliedReports {
  const appliedByHost = new Map<HostId, number>()
  /** Hosts of this zone whose revision has yet to be reported. */
  const unreported = new Set<HostId>()
  let isFlushScheduled = false
  let isRelay = false

  function scheduleFlush (context: RunContext): void {
    if (isFlushScheduled) return
    isFlushScheduled = true
    const delayMs = core.subscribers.size > 0 ? INNER_REPORT_DELAY_MS : LEAF_REPORT_DELAY_MS
    core.dueTasks.set('report', context.now + (isRelay ? RELAY_REPORT_DELAY_MS : delayMs))
  }

  function setApplied (host: HostId, revision: number, context: RunContext): void {
    if (appliedByHost.get(host) === revision) return
    appliedByHost.set(host, revision)
    unreported.add(host)
    scheduleFlush(context)
  }

  function buildZoneReport (): ZoneApplied {
    const revision = core.settingsInForce.getRevision()
    const exceptions = listZonePeers(core)
      .filter(({ host }) => appliedByHost.get(host) !== revision)
      .map(({ host }) => ({ host, revision: appliedByHost.get(host) }))
    return { kind: 'settings.zoneApplied', zone: core.self.zone, revision, exceptions, forwarded: core.isSource() }
  }

  function flush (upstream: HostId | undefined, context: RunContext): void {
    isFlushScheduled = false
    isRelay = core.isSource() || core.peers.get(upstream ?? '')?.zone !== core.self.zone
    if (unreported.size === 0 || (upstream === undefined && !core.isSource())) return
    if (isRelay) {
      const report = buildZoneReport()
      const targets = core.isSource() || upstream === undefined ? listOtherVoters(core) : [upstream]
      for (const target of targets) sendSettings(core, target, report, context)
    } else {
      const rows = [...unreported].map(host => ({ host, revision: appliedByHost.get(host) }))
      sendSettings(core, upstream!, { kind: 'settings.applied', applied: rows }, context)
    }
    unreported.clear()
  }

  return {
    flush,
    recordOwnRevision: context => { setApplied(core.self.host, core.settingsInForce.getRevision(), context) },
    receiveHostReport: (rows, context) => {
      for (const { host, revision } of rows) {
        const isOfZone = core.peers.get(host)?.zone === core.self.zone && host !== core.self.host
        if (isOfZone && revision !== undefined) setApplied(host, revision, context)
      }
    },
    receiveZoneReport: (report, context) => {
      recordAppliedElsewhere(core, report.revision)
      const exceptions = new Map(report.exceptions.map(({ host, revision }) => [host, revision]))
      for (const { host, zone } of core.peers.values()) {
        if (zone !== report.zone) continue
        const revision = exceptions.has(host) ? exceptions.get(host) : report.revision
        // Several voters of one zone may report it concurrently. Revisions never decrease, so the higher one is the later report.
        if (revision !== undefined && revision > (appliedByHost.get(host) ?? -1)) appliedByHost.set(host, revision)
      }
      if (report.forwarded || !core.isSource()) return
      for (const voter of listOtherVoters(core)) sendSettings(core, voter, { ...report, forwarded: true }, context)
    },
    markAllUnreported: context => {
      for (const { host } of listZonePeers(core)) {
        if (appliedByHost.has(host)) unreported.add(host)
      }
      if (unreported.size > 0) scheduleFlush(context)
      core.dueTasks.set('refresh', context.now + REPORT_REFRESH_INTERVAL_MS)
    },
    getAll: () => appliedByHost
  }
}
