/**
 * Remembers at which endpoint this host last requested a grant for each adapter, so that further requests
 * go there too before the zone's reports show the load. The router reads it on each choice.
 */
import type { AdapterKey, DurationMs, EndpointId, MonotonicMs } from '@catkinferry/core.types'

const MAX_ADAPTERS = 4_096

export interface RecentEndpoints {
  readonly record: (adapterKey: AdapterKey, endpoint: EndpointId, now: MonotonicMs) => void
  readonly remove: (adapterKey: AdapterKey) => void
  /** Returns the endpoint of a grant request made within the last `withinMs`. */
  readonly find: (adapterKey: AdapterKey, now: MonotonicMs, withinMs: DurationMs) => EndpointId | undefined
}

/** Creates an empty record. The oldest entry is dropped when there are more than `MAX_ADAPTERS`. */
export function createRecentEndpoints (): RecentEndpoints {
  const entries = new Map<AdapterKey, { readonly endpoint: EndpointId, readonly at: MonotonicMs }>()
  return {
    record: (adapterKey, endpoint, now) => {
      entries.delete(adapterKey)
      entries.set(adapterKey, { endpoint, at: now })
      if (entries.size <= MAX_ADAPTERS) return
      const [oldest] = entries.keys()
      if (oldest !== undefined) entries.delete(oldest)
    },
    remove: adapterKey => { entries.delete(adapterKey) },
    find: (adapterKey, now, withinMs) => {
      const entry = entries.get(adapterKey)
      return entry !== undefined && now - entry.at <= withinMs ? entry.endpoint : undefined
    }
  }
}
