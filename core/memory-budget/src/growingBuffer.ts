/** Collects the parts of one message in one piece of memory. */

export interface GrowingBuffer {
  /** Bytes of memory that it takes. */
  readonly getCapacity: () => number
  /** The capacity that it needs to hold so many bytes more. */
  readonly findCapacity: (bytes: number) => number
  readonly add: (data: Uint8Array) => void
  /** What was added so far, not copied. */
  readonly getBytes: () => Buffer
  /** Drops all bytes. */
  readonly drop: () => void
}

/** Avoids copying small messages several times. */
const MIN_CAPACITY_BYTES = 1_024

/**
 * Creates an empty buffer for up to `maxBytes`. Parts are copied: one that is kept by reference takes an object of its own and
 * keeps all that was read from the socket with it, so that small parts take many times their length.
 */
export function createGrowingBuffer (maxBytes: number): GrowingBuffer {
  let content = Buffer.alloc(0)
  let length = 0

  function findCapacity (bytes: number): number {
    const needed = length + bytes
    if (needed <= content.length) return content.length
    return Math.max(needed, Math.min(maxBytes, Math.max(2 * content.length, MIN_CAPACITY_BYTES)))
  }

  return {
    getCapacity: () => content.length,
    findCapacity,
    add: data => {
      const capacity = findCapacity(data.length)
      if (capacity > content.length) {
        const former = content
        content = Buffer.allocUnsafeSlow(capacity)
        former.copy(content, 0, 0, length)
      }
      content.set(data, length)
      length += data.length
    },
    getBytes: () => content.subarray(0, length),
    drop: () => {
      content = Buffer.alloc(0)
      length = 0
    }
  }
}
