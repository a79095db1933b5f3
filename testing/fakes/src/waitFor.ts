/** Waits of tests for states that tell no event. */
import { setTimeout as sleep } from 'node:timers/promises'

const POLL_MS = 5
/** A state that is never reached ends the test, and not only the run of all tests. */
const MAX_WAIT_MS = 60_000

export interface WaitOptions {
  readonly maxMs?: number
  /** Time between two checks. */
  readonly pollMs?: number
}

/** Waits until `check` returns true; throws an error that says `what` it waited for after `maxMs`, by default a minute. */
export async function waitFor (what: string, check: () => Promise<boolean> | boolean, { maxMs = MAX_WAIT_MS, pollMs = POLL_MS }: WaitOptions = {}): Promise<void> {
  for (const end = performance.now() + maxMs; performance.now() < end;) {
    if (await check()) return
    await sleep(pollMs)
  }
  throw new Error(`not reached within ${maxMs} ms: ${what}`)
}
