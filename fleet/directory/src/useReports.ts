/**
 * Counts the requests of this host by endpoint and adapter, each time the relay begins or ends an attempt. Reported to the
 * leader, which chooses evictions and sums the load of endpoints by them.
 */
import type { AdapterKey, EndpointId } from '@catkinferry/core.types'
import type { AdapterUse } from '@catkinferry/wire.messages'

export interface UseReports {
  readonly recordBegun: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  readonly recordEnded: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  /** Returns the counts of running and recently ended requests, and resets the counts of begun requests. */
  readonly take: () => readonly AdapterUse[]
  /** Running requests at an endpoint in the last report. */
  readonly getReported: (endpoint: EndpointId) => number
}

/** Creates empty counts. */
export function createUseReports (): UseReports {
  let reported = new Map<EndpointId, number>()
  const rows = new Map<string, { endpoint: EndpointId, adapterKey: AdapterKey, begun: number, running: number }>()

  function getRow (endpoint: EndpointId, adapterKey: AdapterKey) {
    const key = `${endpoint}|${adapterKey}`
    const known = rows.get(key)
    if (known !== undefined) return known
    const row = { endpoint, adapterKey, begun: 0, running: 0 }
    rows.set(key, row)
    return row
  }

  return {
    recordBegun: (endpoint, adapterKey) => {
      const row = getRow(endpoint, adapterKey)
      row.begun += 1
      row.running += 1
    },
    recordEnded: (endpoint, adapterKey) => { getRow(endpoint, adapterKey).running -= 1 },
    take: () => {
      const uses = [...rows.values()].map(row => ({ ...row }))
      reported = new Map()
      for (const { endpoint, running } of uses) reported.set(endpoint, (reported.get(endpoint) ?? 0) + running)
      for (const [key, row] of rows) {
        row.begun = 0
        if (row.running <= 0) rows.delete(key)
      }
      return uses
    },
    getReported: endpoint => reported.get(endpoint) ?? 0
  }
}
