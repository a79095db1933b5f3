/**
 * This host's recent grant requests at one endpoint, counted until the endpoint's reported load includes them. The router
 * records each request that is sent and adds the count to the endpoint's load on each routing choice.
 */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** Bound on the recorded grant requests; beyond it the oldest are dropped, so the count is too low. */
const MAX_RECORDED_REQUESTS = 256

export interface RecentGrantRequests {
  readonly record: (now: MonotonicMs) => void
  /** Removes one grant request after a refusal or cancellation, as it adds no load: the newest, since requests have no id here. */
  readonly removeNewest: () => void
  /** Counts the grant requests made in the last `reportAgeMs`, that is since the endpoint's last report; removes older ones. */
  readonly countSince: (now: MonotonicMs, reportAgeMs: DurationMs) => number
}

/** Creates an empty record. */
export function createRecentGrantRequests (): RecentGrantRequests {
  let requestedAt: MonotonicMs[] = []
  return {
    record: now => {
      if (requestedAt.length >= MAX_RECORDED_REQUESTS) requestedAt = requestedAt.slice(1)
      requestedAt.push(now)
    },
    removeNewest: () => { requestedAt.pop() },
    countSince: (now, reportAgeMs) => {
      if (requestedAt.length === 0) return 0
      const from = now - reportAgeMs
      let expired = 0
      while (expired < requestedAt.length && (requestedAt[expired] ?? 0) < from) expired += 1
      if (expired > 0) requestedAt = requestedAt.slice(expired)
      return requestedAt.length
    }
  }
}
