/** Gathers which revision each host has applied, on its way to the voters. */
import type { HostId, PeerRow } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { AppliedRevision, SettingsMessage } from '@catkinferry/wire.messages'
import { INNER_REPORT_MS, LEAF_REPORT_MS, RELAY_REPORT_MS, REPORT_REFRESH_MS } from './constants.ts'
import type { Core } from './core.ts'
import { noteAppliedElsewhere, sendSettings } from './core.ts'

type ZoneApplied = Extract<SettingsMessage, { kind: 'settings.zoneApplied' }>

export interface AppliedReports {
  readonly noteOwn: (context: RunContext) => void
  readonly receiveRows: (rows: readonly AppliedRevision[], context: RunContext) => void
  readonly receiveZone: (report: ZoneApplied, context: RunContext) => void
  /** Passes on what is new. */
  readonly flush: (upstream: HostId | undefined, context: RunContext) => void
  /** Passes on everything again, for a new upstream or a voter that restarted. */
  readonly markAll: (context: RunContext) => void
  readonly getAll: () => ReadonlyMap<HostId, number>
}

function listZone (core: Core): PeerRow[] {
  return [...core.peers.values()].filter(peer => peer.zone === core.self.zone)
}

function listOtherVoters (core: Core): HostId[] {
  return [...core.peers.values()].filter(peer => peer.voter && peer.host !== core.self.host).map(peer => peer.host)
}

/** Creates reports that know of no host. */
export function createAppliedReports (core: Core): AppliedReports {
  const applied = new Map<HostId, number>()
  /** Hosts of this zone whose revision is to be passed on. */
  const fresh = new Set<HostId>()
  let scheduled = false
  let isRelay = false

  function schedule (context: RunContext): void {
    if (scheduled) return
    scheduled = true
    const innerMs = core.subscribers.size > 0 ? INNER_REPORT_MS : LEAF_REPORT_MS
    core.due.set('report', context.now + (isRelay ? RELAY_REPORT_MS : innerMs))
  }

  function put (host: HostId, revision: number, context: RunContext): void {
    if (applied.get(host) === revision) return
    applied.set(host, revision)
    fresh.add(host)
    schedule(context)
  }

  function buildZoneReport (): ZoneApplied {
    const revision = core.inForce.getRevision()
    const exceptions = listZone(core)
      .filter(({ host }) => applied.get(host) !== revision)
      .map(({ host }) => ({ host, revision: applied.get(host) }))
    return { kind: 'settings.zoneApplied', zone: core.self.zone, revision, exceptions, forwarded: core.isSource() }
  }

  function flush (upstream: HostId | undefined, context: RunContext): void {
    scheduled = false
    isRelay = core.isSource() || core.peers.get(upstream ?? '')?.zone !== core.self.zone
    if (fresh.size === 0 || (upstream === undefined && !core.isSource())) return
    if (isRelay) {
      const report = buildZoneReport()
      const targets = core.isSource() || upstream === undefined ? listOtherVoters(core) : [upstream]
      for (const target of targets) sendSettings(core, target, report, context)
    } else {
      const rows = [...fresh].map(host => ({ host, revision: applied.get(host) }))
      sendSettings(core, upstream!, { kind: 'settings.applied', applied: rows }, context)
    }
    fresh.clear()
  }

  return {
    flush,
    noteOwn: context => { put(core.self.host, core.inForce.getRevision(), context) },
    receiveRows: (rows, context) => {
      for (const { host, revision } of rows) {
        const isOfZone = core.peers.get(host)?.zone === core.self.zone && host !== core.self.host
        if (isOfZone && revision !== undefined) put(host, revision, context)
      }
    },
    receiveZone: (report, context) => {
      noteAppliedElsewhere(core, report.revision)
      const exceptions = new Map(report.exceptions.map(({ host, revision }) => [host, revision]))
      for (const { host, zone } of core.peers.values()) {
        if (zone !== report.zone) continue
        const revision = exceptions.has(host) ? exceptions.get(host) : report.revision
        // Voters of one zone report it side by side; revisions only rise, so the higher word is the later one.
        if (revision !== undefined && revision > (applied.get(host) ?? -1)) applied.set(host, revision)
      }
      if (report.forwarded || !core.isSource()) return
      for (const voter of listOtherVoters(core)) sendSettings(core, voter, { ...report, forwarded: true }, context)
    },
    markAll: context => {
      for (const { host } of listZone(core)) {
        if (applied.has(host)) fresh.add(host)
      }
      if (fresh.size > 0) schedule(context)
      core.due.set('refresh', context.now + REPORT_REFRESH_MS)
    },
    getAll: () => applied
  }
}
