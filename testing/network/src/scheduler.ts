/** Scheduler of the virtual time: runs callbacks in order of due time; callbacks with equal due times run in the order they were added. */
import TinyQueue from 'tinyqueue'

interface Scheduled {
  readonly at: number
  readonly sequence: number
  readonly run: () => void
}

export interface Scheduler {
  readonly getNow: () => number
  /** Schedules a callback after a delay in ms. */
  readonly add: (delayMs: number, run: () => void) => void
  /** Runs everything due up to and including `until`, then sets the time to `until`. */
  readonly runUntil: (until: number) => void
}

/** Creates a scheduler at time 0. */
export function createScheduler (): Scheduler {
  const queue = new TinyQueue<Scheduled>([], (a, b) => a.at - b.at || a.sequence - b.sequence)
  let now = 0
  let sequence = 0
  return {
    getNow: () => now,
    add: (delayMs, run) => { queue.push({ at: now + Math.max(0, delayMs), sequence: sequence++, run }) },
    runUntil: until => {
      for (let top = queue.peek(); top !== undefined && top.at <= until; top = queue.peek()) {
        queue.pop()
        now = top.at
        top.run()
      }
      now = until
    }
  }
}
