/** A clock that tests move: callbacks in order of time, first come first served at equal times. */
import TinyQueue from 'tinyqueue'
import type { MonotonicMs } from '@catkinferry/core.types'

interface Item {
  readonly at: MonotonicMs
  readonly order: number
  readonly callback: () => void
}

export interface VirtualTime {
  readonly getNow: () => MonotonicMs
  readonly at: (at: MonotonicMs, callback: () => void) => void
  readonly after: (ms: number, callback: () => void) => void
  readonly runUntil: (end: MonotonicMs) => void
}

/** Creates a clock at 0. */
export function createVirtualTime (): VirtualTime {
  const queue = new TinyQueue<Item>([], (a, b) => a.at - b.at || a.order - b.order)
  let now = 0
  let order = 0
  const at = (time: MonotonicMs, callback: () => void): void => {
    order += 1
    queue.push({ at: Math.max(now, time), order, callback })
  }
  return {
    getNow: () => now,
    at,
    after: (ms, callback) => at(now + ms, callback),
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
