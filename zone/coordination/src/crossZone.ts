/**
 * Chooses an endpoint for a grant request from another zone and remembers the choice for retries and cancellation.
 * Used by the host that another zone contacts; it forwards the request to the owner of the endpoint.
 */
import { computeWeight, hashText } from '@catkinferry/core.hash'
import { createDueTimes } from '@catkinferry/core.tables'
import type { AdapterKey, AttemptId, EndpointId, EndpointView, HostId, MonotonicMs } from '@catkinferry/core.types'

/** How long a contact remembers where it forwarded a grant request. */
const TARGET_RETENTION_MS = 30_000

export interface CrossZone {
  /** Returns the cheapest endpoint that has the adapter or should load it; undefined when none is usable. */
  readonly choose: (opts: { readonly views: readonly EndpointView[], readonly adapterKey: AdapterKey }) => EndpointView | undefined
  readonly record: (attemptId: AttemptId, target: { readonly endpoint: EndpointId, readonly owner: HostId }, now: MonotonicMs) => void
  readonly take: (attemptId: AttemptId) => { readonly endpoint: EndpointId, readonly owner: HostId } | undefined
  readonly get: (attemptId: AttemptId) => { readonly endpoint: EndpointId, readonly owner: HostId } | undefined
}

function computeCost (view: EndpointView, adapterKey: AdapterKey): number {
  const load = view.isResident(adapterKey) ? 0 : view.isLoading(adapterKey) ? view.expectedLoadMs / 2 : view.expectedLoadMs
  const queued = view.running + view.waiting + 1 - view.batchLimit
  const queueMs = queued > 0 ? queued * view.expectedRunMs / view.batchLimit : 0
  return load + queueMs + view.running / view.batchLimit
}

/** Rendezvous choice: the same endpoint that the hosts of this zone choose for an adapter that is not loaded anywhere. */
function findPreferred (views: readonly EndpointView[], adapterKey: AdapterKey): EndpointView | undefined {
  const adapterHash = hashText(adapterKey)
  let preferred: EndpointView | undefined
  let highestWeight = -1
  for (const view of views) {
    const weight = computeWeight(adapterHash, hashText(view.endpoint))
    if (weight <= highestWeight) continue
    preferred = view
    highestWeight = weight
  }
  return preferred
}

function findCheapest (views: readonly EndpointView[], adapterKey: AdapterKey): EndpointView | undefined {
  let best: EndpointView | undefined
  let bestCost = Infinity
  for (const view of views) {
    const cost = computeCost(view, adapterKey)
    if (cost >= bestCost) continue
    best = view
    bestCost = cost
  }
  return best
}

/** Creates the table of forwarded grant requests of one contact. */
export function createCrossZone (): CrossZone {
  const targets = new Map<AttemptId, { readonly endpoint: EndpointId, readonly owner: HostId }>()
  const expiries = createDueTimes<AttemptId>()
  return {
    choose: ({ views, adapterKey }) => {
      const usable = views.filter(view => !view.leaving && view.owner !== undefined && view.batchLimit > 0)
      const warm = usable.filter(view => view.isResident(adapterKey) || view.isLoading(adapterKey))
      const preferred = findPreferred(usable, adapterKey)
      const candidates = preferred === undefined || warm.includes(preferred) ? warm : [...warm, preferred]
      return findCheapest(candidates, adapterKey)
    },
    record: (attemptId, target, now) => {
      for (const old of expiries.takeDue(now)) targets.delete(old)
      targets.set(attemptId, target)
      expiries.set(attemptId, now + TARGET_RETENTION_MS)
    },
    take: attemptId => {
      const target = targets.get(attemptId)
      targets.delete(attemptId)
      expiries.clear(attemptId)
      return target
    },
    get: attemptId => targets.get(attemptId)
  }
}
