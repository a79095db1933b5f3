/** This host's recent grant requests at one endpoint, counted until the endpoint's reported load includes them. */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** Bound on the recorded grant requests; the oldest are dropped first. */
const MAX_RECORDED_REQUESTS = 256

export interface RecentGrantRequests {
  readonly record: (now: MonotonicMs) => void
  /** Removes the newest grant request after a refusal or cancellation: it adds no load. */
  readonly removeNewest: () => void
  /** Counts the grant requests made within the age of the endpoint's last report. */
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
