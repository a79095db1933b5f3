/** When a host that drains ends the requests that still run, in virtual time. */
import { expect } from 'earl'
import { syncBuiltinESMExports } from 'node:module'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { install } from '@sinonjs/fake-timers'
import type { Clock as FakeClock } from '@sinonjs/fake-timers'
import type { CallerServer } from '../src/callerServer.ts'
import { drainListeners } from '../src/drainListeners.ts'

const START_MS = 1_000_000
const MAX_MS = 60_000

let timers: FakeClock
beforeEach(() => {
  timers = install({ now: START_MS, toFake: ['setTimeout', 'clearTimeout'] })
  // Modules that have imported `node:timers/promises` by name get its replaced functions.
  syncBuiltinESMExports()
})
afterEach(() => {
  timers.uninstall()
  syncBuiltinESMExports()
})

interface Drained {
  /** When requests that still run were to be aborted, and when the host went on to do so. */
  readonly endsAt: number
  readonly endedAt: number
  readonly acceptMs: number
}

/** Drains a host on which a request runs all the time. `hasFlood`: callers open connections and send requests all the time. */
async function drain (graceMs: number, hasFlood: boolean): Promise<Drained> {
  let endsAt = 0
  let acceptMs = 0
  let endedAt = 0
  const callers: CallerServer = {
    setLimits: () => undefined,
    address: '',
    closeIdle: async () => undefined,
    stopAccepting: async (maxMs = 0) => {
      acceptMs = maxMs
      if (hasFlood) await sleep(maxMs)
    },
    close: async () => undefined
  }
  void drainListeners({
    callers,
    relay: { drain: times => { endsAt = times?.endsAt ?? 0 }, getActiveCount: () => 1, getLastTakenAt: () => hasFlood ? timers.now : 0 },
    clock: { getMonotonicMs: () => timers.now, getWallMs: () => timers.now },
    graceMs
  }).then(() => { endedAt = timers.now })
  await timers.tickAsync(MAX_MS)
  return { endsAt: endsAt - START_MS, endedAt: endedAt - START_MS, acceptMs }
}

// Guards against a host that ends its requests later than it has planned, and is killed before they are answered.
describe('a host that drains', () => {
  for (const graceMs of [2_000, 3_000, 4_000, 8_000]) {
    for (const hasFlood of [false, true]) {
      it(`ends its requests in time with a grace time of ${graceMs} ms${hasFlood ? ', under a flood of connections' : ''}`, async () => {
        const { endsAt, endedAt, acceptMs } = await drain(graceMs, hasFlood)
        expect({ endedAt, isBeforeEnd: endsAt < graceMs, hasAccepted: acceptMs > 0 }).toEqual({ endedAt: endsAt, isBeforeEnd: true, hasAccepted: true })
      })
    }
  }
})
