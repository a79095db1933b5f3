/** Frames that wait for a link: control messages go before bulk ones, both bounded. */
import type { MonotonicMs } from '@catkinferry/core.types'
import { MAX_BULK_QUEUE_BYTES, MAX_CONTROL_QUEUE_BYTES, MAX_QUEUE_AGE_MS } from './constants.ts'

interface Waiting {
  readonly frame: Uint8Array
  readonly at: MonotonicMs
}

interface Lane {
  readonly maxBytes: number
  waiting: Waiting[]
  bytes: number
}

export interface SendQueue {
  /** False when the bound is reached and the frame was dropped. */
  readonly add: (frame: Uint8Array, isBulk: boolean, now: MonotonicMs) => boolean
  /** Next frame to be sent; those that waited too long are dropped. */
  readonly take: (now: MonotonicMs) => Uint8Array | undefined
  readonly getDropped: () => number
  readonly isEmpty: () => boolean
}

export function createSendQueue (): SendQueue {
  const control: Lane = { maxBytes: MAX_CONTROL_QUEUE_BYTES, waiting: [], bytes: 0 }
  const bulk: Lane = { maxBytes: MAX_BULK_QUEUE_BYTES, waiting: [], bytes: 0 }
  let dropped = 0

  function takeFrom (lane: Lane, now: MonotonicMs): Uint8Array | undefined {
    for (let first = lane.waiting.shift(); first !== undefined; first = lane.waiting.shift()) {
      lane.bytes -= first.frame.byteLength
      if (now - first.at <= MAX_QUEUE_AGE_MS) return first.frame
      dropped++
    }
    return undefined
  }

  return {
    add: (frame, isBulk, now) => {
      const lane = isBulk ? bulk : control
      if (lane.bytes + frame.byteLength > lane.maxBytes) {
        dropped++
        return false
      }
      lane.waiting.push({ frame, at: now })
      lane.bytes += frame.byteLength
      return true
    },
    take: now => takeFrom(control, now) ?? takeFrom(bulk, now),
    getDropped: () => dropped,
    isEmpty: () => control.waiting.length + bulk.waiting.length === 0
  }
}
