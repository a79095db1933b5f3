/** Virtual clock of the policy experiment: runs callbacks in order of time, and in order of scheduling at equal times. */
import TinyQueue from 'tinyqueue'
import type { MonotonicMs } from '@catkinferry/core.types'

interface ScheduledCallback {
  readonly at: MonotonicMs
  readonly order: number
  readonly callback: () => void
}

export interface VirtualTime {
  readonly getNow: () => MonotonicMs
  readonly scheduleAt: (at: MonotonicMs, callback: () => void) => void
  readonly scheduleAfter: (ms: number, callback: () => void) => void
  readonly runUntil: (end: MonotonicMs) => void
}

/** Creates a clock at 0. */
export function createVirtualTime (): VirtualTime {
  const queue = new TinyQueue<ScheduledCallback>([], (a, b) => a.at - b.at || a.order - b.order)
  let now = 0
  let order = 0
  const scheduleAt = (time: MonotonicMs, callback: () => void): void => {
    order += 1
    queue.push({ at: Math.max(now, time), order, callback })
  }
  return {
    getNow: () => now,
    scheduleAt,
    scheduleAfter: (ms, callback) => scheduleAt(now + ms, callback),
    runUntil: end => {
      for (let item = queue.peek(); item !== undefined && item.at <= end; item = queue.peek()) {
        queue.pop()
        now = item.at
        item.callback()
      }
      now = end
    }
  }
}
