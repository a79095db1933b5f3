/** Gathers which revision each host has applied, on its way to the voters. */
import type { HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { SettingsMessage } from '@catkinferry/wire.messages'
import { REPORT_DELAY_MS, REPORT_REFRESH_MS } from './constants.ts'
import type { Core } from './core.ts'
import { sendSettings } from './core.ts'

type Applied = Extract<SettingsMessage, { kind: 'settings.applied' }>

const MAX_HOSTS = 10_000

export interface AppliedReports {
  readonly noteOwn: (context: RunContext) => void
  readonly receive: (report: Applied, context: RunContext) => void
  /** Passes on what is new. */
  readonly flush: (upstream: HostId | undefined, context: RunContext) => void
  /** Passes on everything again, for a new upstream or a voter that restarted. */
  readonly markAll: (context: RunContext) => void
  readonly getAll: () => ReadonlyMap<HostId, number>
}

/** Creates reports that know of no host. */
export function createAppliedReports (core: Core): AppliedReports {
  const applied = new Map<HostId, number>()
  /** Hosts that others of the voters tell of: not passed on. */
  const forwarded = new Set<HostId>()
  const fresh = new Set<HostId>()
  let scheduled = false

  function put (host: HostId, revision: number, context: RunContext): void {
    if (applied.get(host) === revision || (applied.size >= MAX_HOSTS && !applied.has(host))) return
    applied.set(host, revision)
    fresh.add(host)
    if (!scheduled) core.due.set('report', context.now + REPORT_DELAY_MS)
    scheduled = true
  }

  function listTargets (upstream: HostId | undefined): HostId[] {
    if (!core.isSource()) return upstream === undefined ? [] : [upstream]
    return [...core.peers.values()].filter(peer => peer.voter && peer.host !== core.self.host).map(peer => peer.host)
  }

  return {
    noteOwn: context => { put(core.self.host, core.inForce.getRevision(), context) },
    receive: (report, context) => {
      for (const { host, revision } of report.applied) {
        if (host === core.self.host) continue
        if (report.forwarded === true) {
          applied.set(host, revision)
          forwarded.add(host)
        } else {
          forwarded.delete(host)
          put(host, revision, context)
        }
      }
    },
    flush: (upstream, context) => {
      scheduled = false
      const targets = listTargets(upstream)
      if (targets.length === 0 || fresh.size === 0) return
      const rows = [...fresh].map(host => ({ host, revision: applied.get(host)! }))
      fresh.clear()
      const extra = core.isSource() ? { forwarded: true } : {}
      for (const target of targets) sendSettings(core, target, { kind: 'settings.applied', applied: rows, ...extra }, context)
    },
    markAll: context => {
      for (const host of applied.keys()) {
        if (!forwarded.has(host)) fresh.add(host)
      }
      if (fresh.size > 0) core.due.set('report', context.now + REPORT_DELAY_MS)
      core.due.set('refresh', context.now + REPORT_REFRESH_MS)
    },
    getAll: () => applied
  }
}
