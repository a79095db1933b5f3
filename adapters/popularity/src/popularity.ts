/**
 * Exponentially decayed request rates of adapters, with a fast and a slow time constant. Hosts that own endpoints record each
 * request that they queue for an adapter, and choose loads and evictions by the slow rate; the leader of a fleet records requests
 * that hosts report or it refuses, and chooses evictions by the fast rate.
 */
import type { AdapterKey, DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** Time constant that follows a shift of load within seconds. */
const FAST_TIME_CONSTANT_MS = 5_000
/** Time constant that keeps popular adapters known over minutes. */
const SLOW_TIME_CONSTANT_MS = 60_000
const MS_PER_SECOND = 1_000
/** Adapters whose slow rate is below this, in requests per second, are dropped. */
const MIN_KEPT_RATE = 1e-5
const INITIAL_CAPACITY = 256
/** Rows checked for dropping at each recorded request. */
const SWEEP_ROWS = 2

export interface Popularity {
  /** Counts a request; `weight` is the number of requests that it counts as, by default 1. */
  readonly record: (adapterKey: AdapterKey, now: MonotonicMs, weight?: number) => void
  /** Requests per second, averaged over seconds. */
  readonly getFastRate: (adapterKey: AdapterKey, now: MonotonicMs) => number
  /** Requests per second, averaged over about a minute. */
  readonly getSlowRate: (adapterKey: AdapterKey, now: MonotonicMs) => number
  /** Expected requests per second: the slow rate. */
  readonly getRate: (adapterKey: AdapterKey, now: MonotonicMs) => number
  /** Number of rows, including idle ones not dropped yet. */
  readonly getSize: () => number
  /** Size of the typed arrays in bytes. */
  readonly getArrayBytes: () => number
}

function growArray<Kind extends Float32Array | Float64Array> (array: Kind, create: (length: number) => Kind): Kind {
  const grown = create(array.length * 2)
  grown.set(array)
  return grown
}

function decay (rate: number, elapsedMs: DurationMs, timeConstantMs: DurationMs): number {
  return rate * Math.exp(-elapsedMs / timeConstantMs)
}

/** Creates an empty table. A row takes 16 bytes in typed arrays besides the key; rows of long idle adapters are reused. */
export function createPopularity (): Popularity {
  const rowsByKey = new Map<AdapterKey, number>()
  const keys: (AdapterKey | undefined)[] = []
  const freeRows: number[] = []
  let fast = new Float32Array(INITIAL_CAPACITY)
  let slow = new Float32Array(INITIAL_CAPACITY)
  let updatedAt = new Float64Array(INITIAL_CAPACITY)
  let sweepRow = 0

  function grow (): void {
    fast = growArray(fast, length => new Float32Array(length))
    slow = growArray(slow, length => new Float32Array(length))
    updatedAt = growArray(updatedAt, length => new Float64Array(length))
  }

  function addRow (adapterKey: AdapterKey, now: MonotonicMs): number {
    const row = freeRows.pop() ?? keys.length
    if (row === fast.length) grow()
    keys[row] = adapterKey
    rowsByKey.set(adapterKey, row)
    fast[row] = 0
    slow[row] = 0
    updatedAt[row] = now
    return row
  }

  function dropIdleRows (now: MonotonicMs): void {
    for (let count = 0; count < SWEEP_ROWS && keys.length > 0; count++) {
      sweepRow = (sweepRow + 1) % keys.length
      const key = keys[sweepRow]
      if (key === undefined) continue
      if (decay(slow[sweepRow] ?? 0, now - (updatedAt[sweepRow] ?? now), SLOW_TIME_CONSTANT_MS) >= MIN_KEPT_RATE) continue
      rowsByKey.delete(key)
      keys[sweepRow] = undefined
      freeRows.push(sweepRow)
    }
  }

  function getFastRate (adapterKey: AdapterKey, now: MonotonicMs): number {
    const row = rowsByKey.get(adapterKey)
    return row === undefined ? 0 : decay(fast[row] ?? 0, now - (updatedAt[row] ?? now), FAST_TIME_CONSTANT_MS)
  }

  function getSlowRate (adapterKey: AdapterKey, now: MonotonicMs): number {
    const row = rowsByKey.get(adapterKey)
    return row === undefined ? 0 : decay(slow[row] ?? 0, now - (updatedAt[row] ?? now), SLOW_TIME_CONSTANT_MS)
  }

  return {
    record: (adapterKey, now, weight = 1) => {
      dropIdleRows(now)
      const row = rowsByKey.get(adapterKey) ?? addRow(adapterKey, now)
      const elapsedMs = now - (updatedAt[row] ?? now)
      fast[row] = decay(fast[row] ?? 0, elapsedMs, FAST_TIME_CONSTANT_MS) + weight * MS_PER_SECOND / FAST_TIME_CONSTANT_MS
      slow[row] = decay(slow[row] ?? 0, elapsedMs, SLOW_TIME_CONSTANT_MS) + weight * MS_PER_SECOND / SLOW_TIME_CONSTANT_MS
      updatedAt[row] = now
    },
    getFastRate,
    getSlowRate,
    getRate: getSlowRate,
    getSize: () => rowsByKey.size,
    getArrayBytes: () => fast.byteLength + slow.byteLength + updatedAt.byteLength
  }
}
