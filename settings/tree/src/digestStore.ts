/** Stores the fixed-length digests of settings nodes by slot in one buffer. */
import { DIGEST_BYTES } from './packValues.ts'

/** Slot number of a node without a digest. */
export const NO_DIGEST = -1

const INITIAL_SLOT_COUNT = 16
const GROWTH_FACTOR = 1.25

export interface DigestStore {
  readonly add: (digest: Uint8Array) => number
  readonly remove: (slot: number) => void
  /** Returns a view into the buffer. `add` may replace the buffer, so read the view before the next `add`. */
  readonly get: (slot: number) => Uint8Array
}

/** Creates an empty store. */
export function createDigestStore (): DigestStore {
  let bytes = new Uint8Array(INITIAL_SLOT_COUNT * DIGEST_BYTES)
  let slotCount = 0
  const freeSlots: number[] = []

  function allocateSlot (): number {
    const reused = freeSlots.pop()
    if (reused !== undefined) return reused
    if ((slotCount + 1) * DIGEST_BYTES > bytes.length) {
      const grown = new Uint8Array(Math.ceil(slotCount * GROWTH_FACTOR) * DIGEST_BYTES)
      grown.set(bytes)
      bytes = grown
    }
    return slotCount++
  }

  return {
    add: digest => {
      const slot = allocateSlot()
      bytes.set(digest, slot * DIGEST_BYTES)
      return slot
    },
    remove: slot => { freeSlots.push(slot) },
    get: slot => bytes.subarray(slot * DIGEST_BYTES, (slot + 1) * DIGEST_BYTES)
  }
}
