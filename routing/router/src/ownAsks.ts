/** This host's own asks at one endpoint that the endpoint's last known figures cannot contain yet. */
import type { AdapterKey, DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** Asks counted back in time; older ones are in every report. */
const MAX_KEPT_ASKS = 256

interface Ask {
  readonly at: MonotonicMs
  readonly adapterKey: AdapterKey
  open: boolean
}

export interface OwnAsks {
  readonly note: (adapterKey: AdapterKey, now: MonotonicMs) => void
  /** The ask was refused or cancelled: it adds no load. */
  readonly drop: (adapterKey: AdapterKey) => void
  /** Asks made within the age of the endpoint's figures. */
  readonly countSince: (now: MonotonicMs, figuresAgeMs: DurationMs) => number
  /** True when this host has asked for the adapter within the age of the figures, so that it is probably being loaded. */
  readonly hasAdapter: (adapterKey: AdapterKey, now: MonotonicMs, figuresAgeMs: DurationMs) => boolean
}

/** Creates an empty record. */
export function createOwnAsks (): OwnAsks {
  let asks: Ask[] = []

  function dropOld (now: MonotonicMs, figuresAgeMs: DurationMs): void {
    const from = now - figuresAgeMs
    let old = 0
    while (old < asks.length && (asks[old]?.at ?? 0) < from) old += 1
    if (old > 0) asks = asks.slice(old)
  }

  return {
    note: (adapterKey, now) => {
      if (asks.length >= MAX_KEPT_ASKS) asks = asks.slice(1)
      asks.push({ at: now, adapterKey, open: true })
    },
    drop: adapterKey => {
      const found = asks.findLast(ask => ask.adapterKey === adapterKey && ask.open)
      if (found !== undefined) found.open = false
    },
    countSince: (now, figuresAgeMs) => {
      dropOld(now, figuresAgeMs)
      let open = 0
      for (const ask of asks) if (ask.open) open += 1
      return open
    },
    hasAdapter: (adapterKey, now, figuresAgeMs) => {
      dropOld(now, figuresAgeMs)
      return asks.some(ask => ask.open && ask.adapterKey === adapterKey)
    }
  }
}
