/**
 * Admits or refuses each request on arrival by its caller's rate and concurrency limits, for the requests system. Idle
 * callers take no memory.
 */
import { createDueTimes } from '@catkinferry/core.tables'
import type { CallerId, DurationMs, MonotonicMs } from '@catkinferry/core.types'

const MS_PER_SECOND = 1_000

/** Retry time returned to a caller at its concurrency limit. */
const CONCURRENCY_RETRY_MS = 250

export interface CallerLimits {
  readonly requestsPerSecond: number
  readonly burst: number
  readonly concurrency: number
}

export type AdmissionResult =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly reason: 'rate' | 'concurrency', readonly retryAfterMs: DurationMs }

export interface Admission {
  /** Takes one token and one concurrency slot, or returns when to retry. */
  readonly tryAdmit: (opts: { caller: CallerId, now: MonotonicMs, limits: CallerLimits }) => AdmissionResult
  /** Releases the concurrency slot of an admitted request. */
  readonly release: (caller: CallerId) => void
  /** Evicts idle callers whose bucket is full again. */
  readonly expire: (now: MonotonicMs) => void
  readonly getNextAt: () => MonotonicMs | undefined
  readonly getSize: () => number
}

interface Bucket {
  tokens: number
  updatedAt: MonotonicMs
  running: number
}

function refillBucket (bucket: Bucket, now: MonotonicMs, limits: CallerLimits): void {
  const gained = (now - bucket.updatedAt) * limits.requestsPerSecond / MS_PER_SECOND
  bucket.tokens = Math.min(limits.burst, bucket.tokens + gained)
  bucket.updatedAt = now
}

/** Creates the admission control of one host. */
export function createAdmission (): Admission {
  const buckets = new Map<CallerId, Bucket>()
  const expiryTimes = createDueTimes<CallerId>()

  function getBucket (caller: CallerId, now: MonotonicMs, limits: CallerLimits): Bucket {
    const known = buckets.get(caller)
    if (known !== undefined) {
      refillBucket(known, now, limits)
      return known
    }
    const bucket = { tokens: limits.burst, updatedAt: now, running: 0 }
    buckets.set(caller, bucket)
    return bucket
  }

  function scheduleExpiry (caller: CallerId, now: MonotonicMs, limits: CallerLimits): void {
    expiryTimes.set(caller, now + Math.ceil(limits.burst * MS_PER_SECOND / limits.requestsPerSecond) + 1)
  }

  return {
    tryAdmit: ({ caller, now, limits }) => {
      const bucket = getBucket(caller, now, limits)
      scheduleExpiry(caller, now, limits)
      if (bucket.running >= limits.concurrency) return { admitted: false, reason: 'concurrency', retryAfterMs: CONCURRENCY_RETRY_MS }
      if (bucket.tokens < 1) {
        const retryAfterMs = Math.ceil((1 - bucket.tokens) * MS_PER_SECOND / limits.requestsPerSecond)
        return { admitted: false, reason: 'rate', retryAfterMs }
      }
      bucket.tokens -= 1
      bucket.running += 1
      return { admitted: true }
    },
    release: caller => {
      const bucket = buckets.get(caller)
      if (bucket !== undefined && bucket.running > 0) bucket.running -= 1
    },
    expire: now => {
      for (const caller of expiryTimes.takeDue(now)) {
        const bucket = buckets.get(caller)
        if (bucket === undefined) continue
        if (bucket.running === 0) buckets.delete(caller)
        else expiryTimes.set(caller, now + MS_PER_SECOND)
      }
    },
    getNextAt: () => expiryTimes.getNextAt(),
    getSize: () => buckets.size
  }
}
