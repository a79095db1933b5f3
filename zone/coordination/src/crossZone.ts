/** Asks from other zones: a contact chooses an endpoint and hands the ask to its owner. */
import { computeWeight, hashText } from '@catkinferry/core.hash'
import { createDueTimes } from '@catkinferry/core.tables'
import type { AdapterKey, AttemptId, EndpointId, EndpointView, HostId, MonotonicMs } from '@catkinferry/core.types'

/** How long a contact remembers where it sent an ask. */
const KEPT_MS = 30_000

export interface CrossZone {
  readonly choose: (opts: { readonly views: readonly EndpointView[], readonly adapterKey: AdapterKey }) => EndpointView | undefined
  readonly note: (attemptId: AttemptId, target: { readonly endpoint: EndpointId, readonly owner: HostId }, now: MonotonicMs) => void
  readonly take: (attemptId: AttemptId) => { readonly endpoint: EndpointId, readonly owner: HostId } | undefined
  readonly get: (attemptId: AttemptId) => { readonly endpoint: EndpointId, readonly owner: HostId } | undefined
}

function computeCost (view: EndpointView, adapterKey: AdapterKey): number {
  const load = view.isResident(adapterKey) ? 0 : view.isLoading(adapterKey) ? view.expectedLoadMs / 2 : view.expectedLoadMs
  const queued = view.running + view.waiting + 1 - view.batchLimit
  const queueMs = queued > 0 ? queued * view.expectedRunMs / view.batchLimit : 0
  return load + queueMs + view.running / view.batchLimit
}

/** The endpoint that the hosts of this zone, too, load a cold adapter on. */
function findHeaviest (views: readonly EndpointView[], adapterKey: AdapterKey): EndpointView | undefined {
  const adapterHash = hashText(adapterKey)
  let heaviest: EndpointView | undefined
  let most = -1
  for (const view of views) {
    const weight = computeWeight(adapterHash, hashText(view.endpoint))
    if (weight <= most) continue
    heaviest = view
    most = weight
  }
  return heaviest
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

/** Creates the contact's memory of asks that it handed on. */
export function createCrossZone (): CrossZone {
  const targets = new Map<AttemptId, { readonly endpoint: EndpointId, readonly owner: HostId }>()
  const forgetting = createDueTimes<AttemptId>()
  return {
    choose: ({ views, adapterKey }) => {
      const usable = views.filter(view => !view.leaving && view.owner !== undefined && view.batchLimit > 0)
      const warm = usable.filter(view => view.isResident(adapterKey) || view.isLoading(adapterKey))
      const gathering = findHeaviest(usable, adapterKey)
      const candidates = gathering === undefined || warm.includes(gathering) ? warm : [...warm, gathering]
      return findCheapest(candidates, adapterKey)
    },
    note: (attemptId, target, now) => {
      for (const old of forgetting.takeDue(now)) targets.delete(old)
      targets.set(attemptId, target)
      forgetting.set(attemptId, now + KEPT_MS)
    },
    take: attemptId => {
      const target = targets.get(attemptId)
      targets.delete(attemptId)
      forgetting.clear(attemptId)
      return target
    },
    get: attemptId => targets.get(attemptId)
  }
}
