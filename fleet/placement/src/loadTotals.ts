/** Requests under way at each endpoint, over all entry hosts, and their way back to these. */
import type { EndpointId, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { AdapterUse } from '@catkinferry/wire.messages'
import { USE_REPORT_MS } from './constants.ts'

/** How often changed totals are handed out, and how often all. */
const CHANGES_INTERVAL_MS = 400
const WHOLE_INTERVAL_MS = 4_000

interface Report {
  readonly at: MonotonicMs
  readonly running: ReadonlyMap<EndpointId, number>
}

export interface LoadTotals {
  /** Takes what a host runs now; it replaces the host's report before. */
  readonly receive: (from: HostId, uses: readonly AdapterUse[], now: MonotonicMs) => void
  readonly get: (endpoint: EndpointId) => number
  readonly flush: (context: RunContext, hosts: readonly HostId[]) => void
  readonly clear: () => void
  readonly getNextAt: () => MonotonicMs
}

/** Creates totals without reports. */
export function createLoadTotals (): LoadTotals {
  const reports = new Map<HostId, Report>()
  let totals = new Map<EndpointId, number>()
  let told = new Map<EndpointId, number>()
  let changesAt = 0
  let wholeAt = 0

  function updateTotals (now: MonotonicMs): void {
    totals = new Map()
    for (const [host, { at, running }] of reports) {
      if (now - at > USE_REPORT_MS) reports.delete(host)
      else for (const [endpoint, count] of running) totals.set(endpoint, (totals.get(endpoint) ?? 0) + count)
    }
  }

  function listChanges (): Array<readonly [EndpointId, number]> {
    const changed = [...totals].filter(([endpoint, count]) => told.get(endpoint) !== count)
    const ended = [...told].filter(([endpoint, count]) => count !== 0 && !totals.has(endpoint)).map(([endpoint]) => [endpoint, 0] as const)
    return [...changed, ...ended]
  }

  return {
    receive: (from, uses, now) => {
      const running = new Map<EndpointId, number>()
      for (const use of uses) running.set(use.endpoint, (running.get(use.endpoint) ?? 0) + use.running)
      reports.set(from, { at: now, running })
    },
    get: endpoint => totals.get(endpoint) ?? 0,
    flush: (context, hosts) => {
      if (context.now < changesAt) return
      changesAt = context.now + CHANGES_INTERVAL_MS
      updateTotals(context.now)
      const whole = context.now >= wholeAt
      if (whole) wholeAt = context.now + WHOLE_INTERVAL_MS
      const running = whole ? [...totals].filter(([, count]) => count > 0) : listChanges()
      told = new Map(totals)
      if (running.length === 0 && !whole) return
      const message = { kind: 'fleet.load', whole, running } as const
      for (const host of hosts) context.send(host, message)
    },
    clear: () => {
      reports.clear()
      totals = new Map()
      told = new Map()
      wholeAt = 0
    },
    getNextAt: () => changesAt
  }
}
