/** Back-off after failed loads, by endpoint and adapter. */
import type { Random } from '@catkinferry/core.random'
import { createDueTimes } from '@catkinferry/core.tables'
import type { AdapterKey, DurationMs, EndpointId, MonotonicMs } from '@catkinferry/core.types'

const FIRST_BACKOFF_MS = 500
const LONGEST_BACKOFF_MS = 30_000
/** A failure is forgotten this long after its back-off ended. */
const FORGET_MS = 60_000

interface FailureRow {
  readonly failures: number
  readonly until: MonotonicMs
}

export interface LoadBackoff {
  /** Time until the next try; 0 when a load may be tried now. */
  readonly getWaitMs: (endpoint: EndpointId, adapterKey: AdapterKey, now: MonotonicMs) => DurationMs
  /** Notes a failure and returns the time until the next try. */
  readonly noteFailure: (endpoint: EndpointId, adapterKey: AdapterKey, now: MonotonicMs) => DurationMs
  readonly noteSuccess: (endpoint: EndpointId, adapterKey: AdapterKey) => void
}

/** Creates an empty table; waits double with each failure and carry jitter. */
export function createLoadBackoff (opts: { readonly random: Random }): LoadBackoff {
  const rows = new Map<string, FailureRow>()
  const forgetting = createDueTimes<string>()
  const buildKey = (endpoint: EndpointId, adapterKey: AdapterKey): string => `${endpoint}|${adapterKey}`

  return {
    getWaitMs: (endpoint, adapterKey, now) => Math.max(0, (rows.get(buildKey(endpoint, adapterKey))?.until ?? now) - now),
    noteFailure: (endpoint, adapterKey, now) => {
      for (const key of forgetting.takeDue(now)) rows.delete(key)
      const key = buildKey(endpoint, adapterKey)
      const failures = (rows.get(key)?.failures ?? 0) + 1
      const longestMs = Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (failures - 1))
      const waitMs = longestMs * (0.5 + opts.random.nextFraction() / 2)
      rows.set(key, { failures, until: now + waitMs })
      forgetting.set(key, now + waitMs + FORGET_MS)
      return waitMs
    },
    noteSuccess: (endpoint, adapterKey) => {
      const key = buildKey(endpoint, adapterKey)
      rows.delete(key)
      forgetting.clear(key)
    }
  }
}
