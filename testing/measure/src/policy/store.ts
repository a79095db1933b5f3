/** Simulated weight store: limits the rate of loads, with a small burst, and slows loads down when too many are in flight. */
import type { StoreLimits } from './deployments.ts'
import type { VirtualTime } from './virtualTime.ts'

const MS_PER_SECOND = 1_000

export interface Store {
  /** Calls back when the weights have arrived. */
  readonly fetch: (onDone: () => void) => void
  readonly getFetchCount: () => number
}

export function createStore (time: VirtualTime, limits: StoreLimits): Store {
  const perLoadMs = MS_PER_SECOND / limits.loadsPerSecond
  /** When the next load could begin if the burst were 1. */
  let nextAt = 0
  let inFlight = 0
  let fetches = 0
  return {
    fetch: onDone => {
      fetches += 1
      inFlight += 1
      const now = time.getNow()
      nextAt = Math.max(nextAt, now - (limits.burst - 1) * perLoadMs)
      const startAt = Math.max(now, nextAt)
      nextAt += perLoadMs
      const slowdown = Math.max(1, inFlight / limits.fullSpeedInFlight)
      time.scheduleAt(startAt + limits.loadMs * slowdown, () => {
        inFlight -= 1
        onDone()
      })
    },
    getFetchCount: () => fetches
  }
}
