/**
 * Queue of the grant requests waiting at one endpoint, kept by its owner per adapter, ordered by service class and deadline,
 * with ageing. Read when grants are given and loads planned.
 */
import type { AdapterKey, AttemptId, DurationMs, HostId, MonotonicMs, ServiceClass } from '@catkinferry/core.types'

const CLASS_ORDER: Readonly<Record<ServiceClass, number>> = { urgent: 0, standard: 1, overnight: 2 }
/** Head start of a class over the next one, in ageing steps. */
const AGEING_STEPS_PER_CLASS = 6
/** Deadlines later than this count as this far away, so that age decides between long ones. */
const MAX_COUNTED_DEADLINE_MS = 30_000

export interface QueuedRequest {
  readonly attemptId: AttemptId
  readonly origin: HostId
  readonly adapterKey: AdapterKey
  readonly serviceClass: ServiceClass
  readonly receivedAt: MonotonicMs
  readonly deadlineAt: MonotonicMs
  readonly maxRunMs: DurationMs
  /** Position in the order; lower goes first. It does not change while the request waits. */
  readonly rank: number
}

export interface GrantQueue {
  readonly add: (request: QueuedRequest) => void
  readonly remove: (attemptId: AttemptId) => QueuedRequest | undefined
  readonly get: (attemptId: AttemptId) => QueuedRequest | undefined
  readonly getFirst: (adapterKey: AdapterKey) => QueuedRequest | undefined
  readonly count: (adapterKey: AdapterKey) => number
  readonly getSize: () => number
  /** Adapters that have requests waiting. */
  readonly listAdapters: () => IterableIterator<AdapterKey>
  readonly list: (adapterKey: AdapterKey) => readonly QueuedRequest[]
  readonly listAll: () => readonly QueuedRequest[]
}

/** Computes the rank of a request. A request that has aged enough goes before later ones of more urgent classes. */
export function computeRequestRank (opts: { readonly serviceClass: ServiceClass, readonly receivedAt: MonotonicMs, readonly deadlineAt: MonotonicMs, readonly ageingMs: DurationMs }): number {
  const deadline = Math.min(opts.deadlineAt, opts.receivedAt + MAX_COUNTED_DEADLINE_MS)
  return deadline + CLASS_ORDER[opts.serviceClass] * AGEING_STEPS_PER_CLASS * opts.ageingMs
}

/** Gets the weight of a class in the zone's load budget, at least 1; 0 is reserved for prefetches. */
export function getClassWeight (serviceClass: ServiceClass): number {
  return Object.keys(CLASS_ORDER).length - CLASS_ORDER[serviceClass]
}

function findInsertIndex (requests: readonly QueuedRequest[], rank: number): number {
  let low = 0
  let high = requests.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((requests[middle]?.rank ?? Infinity) <= rank) low = middle + 1
    else high = middle
  }
  return low
}

/** Creates an empty queue. */
export function createGrantQueue (): GrantQueue {
  const byAdapter = new Map<AdapterKey, QueuedRequest[]>()
  const byAttempt = new Map<AttemptId, QueuedRequest>()

  function remove (attemptId: AttemptId): QueuedRequest | undefined {
    const request = byAttempt.get(attemptId)
    if (request === undefined) return undefined
    byAttempt.delete(attemptId)
    const requests = byAdapter.get(request.adapterKey) ?? []
    requests.splice(requests.indexOf(request), 1)
    if (requests.length === 0) byAdapter.delete(request.adapterKey)
    return request
  }

  return {
    add: request => {
      const requests = byAdapter.get(request.adapterKey) ?? []
      byAdapter.set(request.adapterKey, requests)
      requests.splice(findInsertIndex(requests, request.rank), 0, request)
      byAttempt.set(request.attemptId, request)
    },
    remove,
    get: attemptId => byAttempt.get(attemptId),
    getFirst: adapterKey => byAdapter.get(adapterKey)?.[0],
    count: adapterKey => byAdapter.get(adapterKey)?.length ?? 0,
    getSize: () => byAttempt.size,
    listAdapters: () => byAdapter.keys(),
    list: adapterKey => [...byAdapter.get(adapterKey) ?? []],
    listAll: () => [...byAttempt.values()]
  }
}
