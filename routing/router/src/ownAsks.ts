/** This host's recent grant requests at one endpoint, counted until the endpoint's reported load includes them. */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** Bound on the recorded grant requests; the oldest are dropped first. */
const MAX_KEPT_ASKS = 256

export interface OwnAsks {
  readonly note: (now: MonotonicMs) => void
  /** Removes the newest grant request after a refusal or cancellation: it adds no load. */
  readonly drop: () => void
  /** Counts the grant requests made within the age of the endpoint's last report. */
  readonly countSince: (now: MonotonicMs, figuresAgeMs: DurationMs) => number
}

/** Creates an empty record. */
export function createOwnAsks (): OwnAsks {
  let asks: MonotonicMs[] = []
  return {
    note: now => {
      if (asks.length >= MAX_KEPT_ASKS) asks = asks.slice(1)
      asks.push(now)
    },
    drop: () => { asks.pop() },
    countSince: (now, figuresAgeMs) => {
      if (asks.length === 0) return 0
      const from = now - figuresAgeMs
      let old = 0
      while (old < asks.length && (asks[old] ?? 0) < from) old += 1
      if (old > 0) asks = asks.slice(old)
      return asks.length
    }
  }
}
