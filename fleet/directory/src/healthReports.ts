/** Collects failures, silence, announced departures and request limits of endpoints as the relay of this entry host records them, for its next report to the leader. */
import type { EndpointId, MonotonicMs, RequestLimit } from '@catkinferry/core.types'
import type { EndpointHealth } from '@catkinferry/wire.messages'

/** Limit on the departures remembered; the oldest is dropped first. */
const MAX_LEAVING = 1_000

export interface HealthReports {
  readonly recordFailed: (endpoint: EndpointId) => void
  readonly setSilent: (endpoint: EndpointId, silent: boolean) => void
  readonly setUnreachable: (endpoint: EndpointId, unreachable: boolean) => void
  /** Reports an instance as leaving until `isListedServing` no longer lists it as serving. */
  readonly recordLeaving: (endpoint: EndpointId, bornAt: number | undefined) => void
  /** Reports what an instance said of its request limit in a response. */
  readonly recordLimit: (endpoint: EndpointId, bornAt: number | undefined, limit: RequestLimit) => void
  /** Whether an endpoint fell silent or became unreachable, responded again or announced its departure since the last report. */
  readonly isUrgent: () => boolean
  /** Returns endpoints with failures since the last report, silent endpoints and leaving ones. Resets the failure counts. */
  readonly take: (now: MonotonicMs) => readonly EndpointHealth[]
}

/** Creates empty reports. `isListedServing`: whether the leader lists this instance of an endpoint as serving. */
export function createHealthReports (isListedServing: (endpoint: EndpointId, bornAt: number | undefined) => boolean): HealthReports {
  const failures = new Map<EndpointId, number>()
  const silent = new Set<EndpointId>()
  const unreachable = new Set<EndpointId>()
  const leaving = new Map<EndpointId, number | undefined>()
  const limits = new Map<EndpointId, { readonly bornAt: number | undefined, readonly limit: RequestLimit }>()
  let urgent = false

  function buildLimit (endpoint: EndpointId, now: MonotonicMs): Pick<EndpointHealth, 'limit' | 'limitBornAt'> {
    const known = limits.get(endpoint)
    if (known === undefined) return {}
    const { at, ...named } = known.limit
    return { limit: { ...named, agoMs: now - at }, limitBornAt: known.bornAt }
  }

  function setMember (members: Set<EndpointId>, endpoint: EndpointId, isMember: boolean): void {
    if (members.has(endpoint) === isMember) return
    if (isMember) members.add(endpoint)
    else members.delete(endpoint)
    urgent = true
  }

  return {
    recordFailed: endpoint => { failures.set(endpoint, (failures.get(endpoint) ?? 0) + 1) },
    setSilent: (endpoint, isSilent) => setMember(silent, endpoint, isSilent),
    setUnreachable: (endpoint, isUnreachable) => setMember(unreachable, endpoint, isUnreachable),
    recordLeaving: (endpoint, bornAt) => {
      leaving.delete(endpoint)
      leaving.set(endpoint, bornAt)
      const [oldest] = leaving.size > MAX_LEAVING ? leaving.keys() : []
      if (oldest !== undefined) leaving.delete(oldest)
      urgent = true
    },
    recordLimit: (endpoint, bornAt, limit) => {
      const known = limits.get(endpoint)
      if (known === undefined || known.limit.at <= limit.at) limits.set(endpoint, { bornAt, limit })
    },
    isUrgent: () => urgent,
    take: now => {
      urgent = false
      const reportedLeaving = new Set([...leaving].filter(([endpoint, bornAt]) => isListedServing(endpoint, bornAt)).map(([endpoint]) => endpoint))
      const endpoints = new Set([...failures.keys(), ...silent, ...unreachable, ...reportedLeaving, ...limits.keys()])
      const rows = [...endpoints].map(endpoint => ({ endpoint, failed: failures.get(endpoint) ?? 0, silent: silent.has(endpoint), ...(unreachable.has(endpoint) ? { unreachable: true } : {}), ...(reportedLeaving.has(endpoint) ? { leaving: true, bornAt: leaving.get(endpoint) } : {}), ...buildLimit(endpoint, now) }))
      failures.clear()
      limits.clear()
      return rows
    }
  }
}
