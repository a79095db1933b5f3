/**
 * A bounded queue of the requests of one pool that wait for an endpoint, ordered by service class and by
 * earliest deadline within a class. The requests system drains it whenever capacity may be free.
 * A request that has waited one ageing interval moves up one class, where it competes as if it had
 * arrived there now, so that no class starves another.
 */
import TinyQueue from 'tinyqueue'
import { createDueTimes } from '@catkinferry/core.tables'
import { ServiceClass } from '@catkinferry/core.types'
import type { DurationMs, MonotonicMs, RequestId } from '@catkinferry/core.types'

const CLASS_ORDER: readonly ServiceClass[] = [ServiceClass.URGENT, ServiceClass.STANDARD, ServiceClass.OVERNIGHT]

export interface QueueLimits {
  readonly limit: number
  readonly ageingMs: DurationMs
  /** Default deadline of each class; a promoted request ranks no later than a new one with this deadline. */
  readonly classDeadlineMs: Readonly<Record<ServiceClass, DurationMs>>
}

export interface QueuedRequest {
  readonly requestId: RequestId
  readonly serviceClass: ServiceClass
  readonly deadlineAt: MonotonicMs
}

export type AddResult =
  | { readonly added: true, readonly displaced?: RequestId }
  | { readonly added: false }

export interface RequestQueue {
  /** Adds a request. A full queue displaces its last request if the new one ranks before it. */
  readonly add: (item: QueuedRequest, now: MonotonicMs, limits: QueueLimits) => AddResult
  readonly remove: (requestId: RequestId) => void
  /** Removes and returns the first request. */
  readonly takeFirst: () => RequestId | undefined
  /** Puts a taken request back at its old rank, even if the queue is full. */
  readonly putBack: (requestId: RequestId) => void
  /** Moves requests that have waited an ageing interval up one class. */
  readonly promote: (now: MonotonicMs, limits: QueueLimits) => void
  readonly getSize: () => number
  readonly has: (requestId: RequestId) => boolean
  readonly listIds: () => RequestId[]
}

interface Entry {
  readonly requestId: RequestId
  readonly deadlineAt: MonotonicMs
  /** Index in `CLASS_ORDER`. */
  classRank: number
  /** Orders requests within a class: the deadline, or an earlier time after a promotion. */
  rankAt: MonotonicMs
  /** Incremented on each push, which makes older heap items of this entry stale. */
  generation: number
}

interface HeapItem {
  readonly entry: Entry
  readonly rankAt: MonotonicMs
  readonly generation: number
}

function compareEntries (a: Entry, b: Entry): number {
  return a.classRank - b.classRank || a.rankAt - b.rankAt
}

/** Creates an empty queue. */
export function createRequestQueue (): RequestQueue {
  const waiting = new Map<RequestId, Entry>()
  const taken = new Map<RequestId, Entry>()
  const ageing = createDueTimes<RequestId>()
  const heaps = CLASS_ORDER.map(() => new TinyQueue<HeapItem>([], (a, b) => a.rankAt - b.rankAt))

  function pushEntry (entry: Entry): void {
    entry.generation += 1
    waiting.set(entry.requestId, entry)
    heaps[entry.classRank]?.push({ entry, rankAt: entry.rankAt, generation: entry.generation })
  }

  function takeFromHeap (heap: TinyQueue<HeapItem>): Entry | undefined {
    for (let item = heap.pop(); item !== undefined; item = heap.pop()) {
      if (item.generation === item.entry.generation && waiting.get(item.entry.requestId) === item.entry) return item.entry
    }
    return undefined
  }

  function findLast (): Entry | undefined {
    let last: Entry | undefined
    for (const entry of waiting.values()) {
      if (last === undefined || compareEntries(entry, last) > 0) last = entry
    }
    return last
  }

  function removeEntry (requestId: RequestId): void {
    waiting.delete(requestId)
    taken.delete(requestId)
    ageing.clear(requestId)
  }

  function promoteEntry (entry: Entry, now: MonotonicMs, limits: QueueLimits): void {
    if (entry.classRank === 0) return
    entry.classRank -= 1
    const defaultDeadlineMs = limits.classDeadlineMs[CLASS_ORDER[entry.classRank] ?? ServiceClass.URGENT]
    entry.rankAt = Math.min(entry.rankAt, now + defaultDeadlineMs)
    pushEntry(entry)
    if (entry.classRank > 0) ageing.set(entry.requestId, now + limits.ageingMs)
  }

  return {
    add: ({ requestId, serviceClass, deadlineAt }, now, limits) => {
      const classRank = CLASS_ORDER.indexOf(serviceClass)
      const entry: Entry = { requestId, deadlineAt, classRank, rankAt: deadlineAt, generation: 0 }
      let displaced: RequestId | undefined
      if (waiting.size >= limits.limit) {
        const last = findLast()
        if (last === undefined || compareEntries(entry, last) >= 0) return { added: false }
        displaced = last.requestId
        removeEntry(last.requestId)
      }
      pushEntry(entry)
      if (classRank > 0) ageing.set(requestId, now + limits.ageingMs)
      return displaced === undefined ? { added: true } : { added: true, displaced }
    },
    remove: removeEntry,
    takeFirst: () => {
      for (const heap of heaps) {
        const entry = takeFromHeap(heap)
        if (entry === undefined) continue
        waiting.delete(entry.requestId)
        taken.set(entry.requestId, entry)
        return entry.requestId
      }
      return undefined
    },
    putBack: requestId => {
      const entry = taken.get(requestId)
      if (entry === undefined) return
      taken.delete(requestId)
      pushEntry(entry)
    },
    promote: (now, limits) => {
      for (const requestId of ageing.takeDue(now)) {
        const entry = waiting.get(requestId)
        if (entry !== undefined) promoteEntry(entry, now, limits)
      }
    },
    getSize: () => waiting.size,
    has: requestId => waiting.has(requestId),
    listIds: () => [...waiting.keys()]
  }
}
