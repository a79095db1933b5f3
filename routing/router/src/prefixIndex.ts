/**
 * Tracks which prompt prefixes an endpoint probably has in its cache, from cache events, which arrive
 * late and with gaps, and from this host's own dispatches. Entries expire, so that a lost `dropped` event
 * causes wrong predictions only for a bounded time. A late `dropped` event does not undo a newer dispatch.
 * The router reads it on each choice, to add the cost of a prefix cache miss.
 */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** Time after which a prefix that was not seen again is no longer expected in the cache. */
const ENTRY_LIFETIME_MS = 300_000
const MAX_PREFIXES = 2_048

/** Longest delay between a change of the cache and the arrival of its event. */
const EVENT_LAG_MS: DurationMs = 2_000

export interface PrefixIndex {
  readonly has: (prefixHash: string, now: MonotonicMs) => boolean
  readonly recordDispatch: (prefixHash: string, now: MonotonicMs) => void
  readonly recordStored: (prefixHash: string, now: MonotonicMs) => void
  readonly recordDropped: (prefixHash: string, now: MonotonicMs) => void
  readonly clear: () => void
  readonly getSize: () => number
}

/** Creates the index of one endpoint. */
export function createPrefixIndex (): PrefixIndex {
  const recordedAt = new Map<string, MonotonicMs>()

  function put (prefixHash: string, now: MonotonicMs): void {
    recordedAt.delete(prefixHash)
    recordedAt.set(prefixHash, now)
    if (recordedAt.size <= MAX_PREFIXES) return
    const [oldest] = recordedAt.keys()
    if (oldest !== undefined) recordedAt.delete(oldest)
  }

  return {
    has: (prefixHash, now) => {
      const at = recordedAt.get(prefixHash)
      return at !== undefined && now - at < ENTRY_LIFETIME_MS
    },
    recordDispatch: put,
    recordStored: put,
    recordDropped: (prefixHash, now) => {
      const at = recordedAt.get(prefixHash)
      if (at !== undefined && now - at >= EVENT_LAG_MS) recordedAt.delete(prefixHash)
    },
    clear: () => { recordedAt.clear() },
    getSize: () => recordedAt.size
  }
}
