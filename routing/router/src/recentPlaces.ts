/**
 * Remembers at which endpoint this host last requested a grant for each adapter, so that further requests
 * go there too before the zone's reports show the load.
 */
import type { AdapterKey, DurationMs, EndpointId, MonotonicMs } from '@catkinferry/core.types'

const MAX_PLACES = 4_096

export interface RecentPlaces {
  readonly record: (adapterKey: AdapterKey, endpoint: EndpointId, now: MonotonicMs) => void
  readonly remove: (adapterKey: AdapterKey) => void
  /** Returns the endpoint of a grant request made within the last `withinMs`. */
  readonly find: (adapterKey: AdapterKey, now: MonotonicMs, withinMs: DurationMs) => EndpointId | undefined
}

/** Creates an empty, bounded record. */
export function createRecentPlaces (): RecentPlaces {
  const places = new Map<AdapterKey, { readonly endpoint: EndpointId, readonly at: MonotonicMs }>()
  return {
    record: (adapterKey, endpoint, now) => {
      places.delete(adapterKey)
      places.set(adapterKey, { endpoint, at: now })
      if (places.size <= MAX_PLACES) return
      const [oldest] = places.keys()
      if (oldest !== undefined) places.delete(oldest)
    },
    remove: adapterKey => { places.delete(adapterKey) },
    find: (adapterKey, now, withinMs) => {
      const place = places.get(adapterKey)
      return place !== undefined && now - place.at <= withinMs ? place.endpoint : undefined
    }
  }
}
