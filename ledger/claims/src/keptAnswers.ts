/**
 * Tracks the sizes of the answers kept for resends, oldest first, so that the claim store can drop the oldest beyond a
 * limit, on each recorded outcome and on expiry.
 */
import type { ClaimKey } from '@catkinferry/core.types'

export interface KeptAnswers {
  readonly add: (claimKey: ClaimKey, bytes: number) => void
  readonly remove: (claimKey: ClaimKey) => void
  /** Removes and returns the oldest keys until the rest fits `maxBytes`. */
  readonly takeExcess: (maxBytes: number) => ClaimKey[]
  readonly getBytes: () => number
  readonly listKeys: () => ClaimKey[]
  readonly clear: () => void
}

/** Creates an empty list of answers. */
export function createKeptAnswers (): KeptAnswers {
  const sizes = new Map<ClaimKey, number>()
  let total = 0

  function remove (claimKey: ClaimKey): void {
    total -= sizes.get(claimKey) ?? 0
    sizes.delete(claimKey)
  }

  return {
    add: (claimKey, bytes) => {
      remove(claimKey)
      sizes.set(claimKey, bytes)
      total += bytes
    },
    remove,
    takeExcess: maxBytes => {
      const taken: ClaimKey[] = []
      for (const claimKey of sizes.keys()) {
        if (total <= maxBytes) break
        remove(claimKey)
        taken.push(claimKey)
      }
      return taken
    },
    getBytes: () => total,
    listKeys: () => [...sizes.keys()],
    clear: () => {
      sizes.clear()
      total = 0
    }
  }
}
