/**
 * Pins of one endpoint, kept by its owner. A pin keeps an adapter from eviction while a granted attempt may be using it;
 * added with each grant.
 */
import type { AdapterKey, AttemptId, HostId, MonotonicMs } from '@catkinferry/core.types'

/** Exists from the grant until its attempt is known to be over. */
export interface Pin {
  readonly attemptId: AttemptId
  readonly adapterKey: AdapterKey
  readonly origin: HostId
  readonly grantedAt: MonotonicMs
  /** The attempt starts by this time or never. */
  readonly startBy: MonotonicMs
  /** Latest time at which the attempt is over. */
  readonly endsBy: MonotonicMs
}

export interface Pins {
  readonly add: (pin: Pin) => void
  readonly remove: (attemptId: AttemptId) => Pin | undefined
  readonly get: (attemptId: AttemptId) => Pin | undefined
  readonly isPinned: (adapterKey: AdapterKey) => boolean
  readonly count: (adapterKey: AdapterKey) => number
  readonly getSize: () => number
  readonly countAdapters: () => number
  readonly rows: () => IterableIterator<Pin>
  /** Latest time at which any grant given so far can still be started. */
  readonly getLastStartBy: () => MonotonicMs
}

/** Creates an empty table. */
export function createPins (): Pins {
  const rows = new Map<AttemptId, Pin>()
  const counts = new Map<AdapterKey, number>()
  let lastStartBy = -Infinity
  return {
    add: pin => {
      if (rows.has(pin.attemptId)) return
      rows.set(pin.attemptId, pin)
      counts.set(pin.adapterKey, (counts.get(pin.adapterKey) ?? 0) + 1)
      lastStartBy = Math.max(lastStartBy, pin.startBy)
    },
    remove: attemptId => {
      const pin = rows.get(attemptId)
      if (pin === undefined) return undefined
      rows.delete(attemptId)
      const left = (counts.get(pin.adapterKey) ?? 1) - 1
      if (left > 0) counts.set(pin.adapterKey, left)
      else counts.delete(pin.adapterKey)
      return pin
    },
    get: attemptId => rows.get(attemptId),
    isPinned: adapterKey => counts.has(adapterKey),
    count: adapterKey => counts.get(adapterKey) ?? 0,
    getSize: () => rows.size,
    countAdapters: () => counts.size,
    rows: () => rows.values(),
    getLastStartBy: () => lastStartBy
  }
}
