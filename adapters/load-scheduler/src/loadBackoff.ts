/**
 * Exponential backoff after failed loads, by endpoint and adapter. The host that owns an endpoint checks it before each
 * load and records the outcome.
 */
import type { Random } from '@catkinferry/core.random'
import { createDueTimes } from '@catkinferry/core.tables'
import type { AdapterKey, DurationMs, EndpointId, MonotonicMs } from '@catkinferry/core.types'

const FIRST_BACKOFF_MS = 500
const MAX_BACKOFF_MS = 30_000
/** Failures are forgotten this long after their backoff has ended. */
const FAILURE_RETENTION_MS = 60_000

interface FailureRow {
  readonly failures: number
  readonly until: MonotonicMs
}

export interface LoadBackoff {
  /** Time until the next attempt; 0 if a load may be attempted now. */
  readonly getWaitMs: (endpoint: EndpointId, adapterKey: AdapterKey, now: MonotonicMs) => DurationMs
  /** Records a failure and returns the time until the next attempt. */
  readonly recordFailure: (endpoint: EndpointId, adapterKey: AdapterKey, now: MonotonicMs) => DurationMs
  readonly recordSuccess: (endpoint: EndpointId, adapterKey: AdapterKey) => void
}

/** Creates an empty table. Waits double with each failure, with jitter of up to half. */
export function createLoadBackoff (opts: { readonly random: Random }): LoadBackoff {
  const rows = new Map<string, FailureRow>()
  const expiries = createDueTimes<string>()
  const buildKey = (endpoint: EndpointId, adapterKey: AdapterKey): string => `${endpoint}|${adapterKey}`

  return {
    getWaitMs: (endpoint, adapterKey, now) => Math.max(0, (rows.get(buildKey(endpoint, adapterKey))?.until ?? now) - now),
    recordFailure: (endpoint, adapterKey, now) => {
      for (const key of expiries.takeDue(now)) rows.delete(key)
      const key = buildKey(endpoint, adapterKey)
      const failures = (rows.get(key)?.failures ?? 0) + 1
      const maxWaitMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (failures - 1))
      const waitMs = maxWaitMs * (0.5 + opts.random.nextFraction() / 2)
      rows.set(key, { failures, until: now + waitMs })
      expiries.set(key, now + waitMs + FAILURE_RETENTION_MS)
      return waitMs
    },
    recordSuccess: (endpoint, adapterKey) => {
      const key = buildKey(endpoint, adapterKey)
      rows.delete(key)
      expiries.clear(key)
    }
  }
}
