/** Collects failures and silence of endpoints as the relay of this entry host records them, for its next report to the leader. */
import type { EndpointId } from '@catkinferry/core.types'
import type { EndpointHealth } from '@catkinferry/wire.messages'

export interface HealthReports {
  readonly recordFailed: (endpoint: EndpointId) => void
  readonly setSilent: (endpoint: EndpointId, silent: boolean) => void
  /** Whether an endpoint fell silent or responded again since the last report. */
  readonly isUrgent: () => boolean
  /** Returns endpoints with failures since the last report, and silent endpoints. Resets the failure counts. */
  readonly take: () => readonly EndpointHealth[]
}

/** Creates empty reports. */
export function createHealthReports (): HealthReports {
  const failures = new Map<EndpointId, number>()
  const silent = new Set<EndpointId>()
  let urgent = false

  return {
    recordFailed: endpoint => { failures.set(endpoint, (failures.get(endpoint) ?? 0) + 1) },
    setSilent: (endpoint, isSilent) => {
      if (silent.has(endpoint) === isSilent) return
      if (isSilent) silent.add(endpoint)
      else silent.delete(endpoint)
      urgent = true
    },
    isUrgent: () => urgent,
    take: () => {
      urgent = false
      const endpoints = new Set([...failures.keys(), ...silent])
      const rows = [...endpoints].map(endpoint => ({ endpoint, failed: failures.get(endpoint) ?? 0, silent: silent.has(endpoint) }))
      failures.clear()
      return rows
    }
  }
}
