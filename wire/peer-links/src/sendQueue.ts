/** The frames queued for one link: control messages are sent before bulk messages, and the size of both is limited. */
import type { MonotonicMs } from '@catkinferry/core.types'
import { MAX_BULK_QUEUE_BYTES, MAX_CONTROL_QUEUE_BYTES, MAX_QUEUE_AGE_MS } from './constants.ts'

interface QueuedFrame {
  readonly frame: Uint8Array
  readonly queuedAt: MonotonicMs
}

interface Lane {
  readonly maxBytes: number
  frames: QueuedFrame[]
  bytes: number
}

export interface SendQueue {
  /** Returns false if the queue is full and the frame was dropped. */
  readonly add: (frame: Uint8Array, isBulk: boolean, now: MonotonicMs) => boolean
  /** Removes and returns the next frame to send; drops those that were queued for too long. */
  readonly take: (now: MonotonicMs) => Uint8Array | undefined
  readonly getDropped: () => number
  readonly isEmpty: () => boolean
}

export function createSendQueue (): SendQueue {
  const control: Lane = { maxBytes: MAX_CONTROL_QUEUE_BYTES, frames: [], bytes: 0 }
  const bulk: Lane = { maxBytes: MAX_BULK_QUEUE_BYTES, frames: [], bytes: 0 }
  let dropped = 0

  function takeFrom (lane: Lane, now: MonotonicMs): Uint8Array | undefined {
    for (let first = lane.frames.shift(); first !== undefined; first = lane.frames.shift()) {
      lane.bytes -= first.frame.byteLength
      if (now - first.queuedAt <= MAX_QUEUE_AGE_MS) return first.frame
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
      lane.frames.push({ frame, queuedAt: now })
      lane.bytes += frame.byteLength
      return true
    },
    take: now => takeFrom(control, now) ?? takeFrom(bulk, now),
    getDropped: () => dropped,
    isEmpty: () => control.frames.length + bulk.frames.length === 0
  }
}
