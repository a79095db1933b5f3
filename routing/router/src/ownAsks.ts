/** This host's own asks at one endpoint that the endpoint's last known figures cannot contain yet. */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** Asks counted back in time; older ones are in every figure. */
const MAX_KEPT_ASKS = 256

export interface OwnAsks {
  readonly note: (now: MonotonicMs) => void
  /** The newest ask was refused or cancelled: it adds no load. */
  readonly drop: () => void
  /** Asks made within the age of the endpoint's figures. */
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
