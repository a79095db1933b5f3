/** The clock of the runtime for tests whose relays, endpoints and callers run in this process: time passes by turns of the event loop. */
import { syncBuiltinESMExports } from 'node:module'
import { after } from 'node:test'
import { install } from '@sinonjs/fake-timers'

/** Time that passes with each turn. A request takes about ten turns from its caller to an endpoint and back. */
const TURN_MS = 1

/**
 * Replaces the timers and clocks for all tests of the file. While the process stands still, so does its time, and bytes that have
 * arrived are read before more than a turn has passed: what happens by a time does not depend on the load of the machine.
 */
export function startTurnClock (): void {
  const startTimer = globalThis.setTimeout
  const clock = install({ now: Date.now(), toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
  // Modules that have imported `node:timers/promises` by name get its replaced functions.
  syncBuiltinESMExports()
  let isStopped = false
  const waitForTurn = (): void => {
    if (isStopped) return
    startTimer(() => {
      clock.tick(TURN_MS)
      // Sockets are read before immediates run.
      setImmediate(waitForTurn)
    }, TURN_MS)
  }
  waitForTurn()
  after(() => {
    isStopped = true
    clock.uninstall()
    syncBuiltinESMExports()
  })
}
