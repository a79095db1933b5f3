/** Digests of one length in one buffer, by slot. */
import { DIGEST_BYTES } from './packValues.ts'

/** No digest. */
export const NO_DIGEST = -1

const INITIAL_SLOTS = 16
const GROWTH = 1.25

export interface DigestStore {
  readonly add: (digest: Uint8Array) => number
  readonly remove: (slot: number) => void
  /** A view that the next `add` may leave behind: read at once. */
  readonly get: (slot: number) => Uint8Array
}

/** Creates an empty store. */
export function createDigestStore (): DigestStore {
  let bytes = new Uint8Array(INITIAL_SLOTS * DIGEST_BYTES)
  let slots = 0
  const free: number[] = []

  function takeSlot (): number {
    const reused = free.pop()
    if (reused !== undefined) return reused
    if ((slots + 1) * DIGEST_BYTES > bytes.length) {
      const grown = new Uint8Array(Math.ceil(slots * GROWTH) * DIGEST_BYTES)
      grown.set(bytes)
      bytes = grown
    }
    return slots++
  }

  return {
    add: digest => {
      const slot = takeSlot()
      bytes.set(digest, slot * DIGEST_BYTES)
      return slot
    },
    remove: slot => { free.push(slot) },
    get: slot => bytes.subarray(slot * DIGEST_BYTES, (slot + 1) * DIGEST_BYTES)
  }
}
