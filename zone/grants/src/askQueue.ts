/** Asks that wait at one endpoint, by adapter, ordered by class, then deadline, with ageing. */
import type { AdapterKey, AttemptId, DurationMs, HostId, MonotonicMs, ServiceClass } from '@catkinferry/core.types'

const CLASS_ORDER: Readonly<Record<ServiceClass, number>> = { urgent: 0, standard: 1, overnight: 2 }
/** A class goes before the next one by this many ageing steps. */
const AGEING_STEPS_PER_CLASS = 6
/** Deadlines further off than this count as this far off, so that age decides. */
const LONGEST_COUNTED_DEADLINE_MS = 30_000

export interface WaitingAsk {
  readonly attemptId: AttemptId
  readonly origin: HostId
  readonly adapterKey: AdapterKey
  readonly serviceClass: ServiceClass
  readonly receivedAt: MonotonicMs
  readonly deadlineAt: MonotonicMs
  readonly maxRunMs: DurationMs
  /** Place in the order; lower goes first. It does not change while the ask waits. */
  readonly rank: number
}

export interface AskQueue {
  readonly add: (ask: WaitingAsk) => void
  readonly remove: (attemptId: AttemptId) => WaitingAsk | undefined
  readonly get: (attemptId: AttemptId) => WaitingAsk | undefined
  readonly getFirst: (adapterKey: AdapterKey) => WaitingAsk | undefined
  readonly count: (adapterKey: AdapterKey) => number
  readonly getSize: () => number
  /** Adapters that have asks waiting. */
  readonly listAdapters: () => IterableIterator<AdapterKey>
  readonly list: (adapterKey: AdapterKey) => readonly WaitingAsk[]
  readonly listAll: () => readonly WaitingAsk[]
}

/** Computes the place of an ask: an ask overtakes later ones of more urgent classes once it has aged. */
export function computeAskRank (opts: { readonly serviceClass: ServiceClass, readonly receivedAt: MonotonicMs, readonly deadlineAt: MonotonicMs, readonly ageingMs: DurationMs }): number {
  const deadline = Math.min(opts.deadlineAt, opts.receivedAt + LONGEST_COUNTED_DEADLINE_MS)
  return deadline + CLASS_ORDER[opts.serviceClass] * AGEING_STEPS_PER_CLASS * opts.ageingMs
}

/** Weight of a class in the zone's load budget; 0 is left for prefetches. */
export function getClassWeight (serviceClass: ServiceClass): number {
  return Object.keys(CLASS_ORDER).length - CLASS_ORDER[serviceClass]
}

function findPlace (asks: readonly WaitingAsk[], rank: number): number {
  let low = 0
  let high = asks.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((asks[middle]?.rank ?? Infinity) <= rank) low = middle + 1
    else high = middle
  }
  return low
}

/** Creates an empty queue. */
export function createAskQueue (): AskQueue {
  const byAdapter = new Map<AdapterKey, WaitingAsk[]>()
  const byAttempt = new Map<AttemptId, WaitingAsk>()

  function remove (attemptId: AttemptId): WaitingAsk | undefined {
    const ask = byAttempt.get(attemptId)
    if (ask === undefined) return undefined
    byAttempt.delete(attemptId)
    const asks = byAdapter.get(ask.adapterKey) ?? []
    asks.splice(asks.indexOf(ask), 1)
    if (asks.length === 0) byAdapter.delete(ask.adapterKey)
    return ask
  }

  return {
    add: ask => {
      const asks = byAdapter.get(ask.adapterKey) ?? []
      byAdapter.set(ask.adapterKey, asks)
      asks.splice(findPlace(asks, ask.rank), 0, ask)
      byAttempt.set(ask.attemptId, ask)
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
