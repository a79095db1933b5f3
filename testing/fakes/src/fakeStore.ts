/** A rate-limited weight store that several fake engines share. */
import { setTimeout as sleep } from 'node:timers/promises'

export interface FakeStore {
  /** Resolves when the weights are fetched. */
  readonly fetch: (slowFactor: number) => Promise<void>
  readonly getInFlight: () => number
  readonly getFetches: () => number
}

export interface FakeStoreOptions {
  /** Time of one fetch at full speed. */
  readonly fetchMs: number
  /** Fetches take proportionally longer beyond this many at once. */
  readonly fullSpeedInFlight: number
}

/** Creates a store that nobody uses yet. */
export function createFakeStore (opts: FakeStoreOptions): FakeStore {
  let inFlight = 0
  let fetches = 0
  return {
    fetch: async slowFactor => {
      inFlight += 1
      fetches += 1
      const slowdown = Math.max(1, inFlight / opts.fullSpeedInFlight)
      await sleep(opts.fetchMs * slowdown * slowFactor)
      inFlight -= 1
    },
    getInFlight: () => inFlight,
    getFetches: () => fetches
  }
}
