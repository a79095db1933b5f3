/** Fake weight store with limited throughput, shared by several fake engines. */
import { setTimeout as sleep } from 'node:timers/promises'

export interface FakeStore {
  /** Simulates one fetch of weights; `slowFactor` multiplies its duration. */
  readonly fetch: (slowFactor: number) => Promise<void>
  readonly getInFlight: () => number
  readonly getFetches: () => number
}

export interface FakeStoreOptions {
  /** Duration of one fetch at full speed. */
  readonly fetchMs: number
  /** Number of concurrent fetches at full speed; with more, each fetch slows down in proportion. */
  readonly fullSpeedInFlight: number
}

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
