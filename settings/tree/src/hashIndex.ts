/** Hash index from node names to node ids. Uses open addressing in one typed array to save memory: it has many entries and most are rarely read. */

const INITIAL_SLOT_COUNT = 64
/** Fraction of used slots above which the table grows. */
const MAX_LOAD_FACTOR = 0.75
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Hash of a name under a parent, as a signed 32-bit number. */
export function hashName (parent: number, name: string): number {
  let hash = FNV_OFFSET ^ parent
  hash = Math.imul(hash ^ (parent >>> 16), FNV_PRIME)
  for (let index = 0; index < name.length; index++) {
    hash = Math.imul(hash ^ name.charCodeAt(index), FNV_PRIME)
  }
  return hash ^ (hash >>> 15)
}

export interface HashIndex {
  /** Returns the first id in the probe sequence of `hash` that `isMatch` accepts, or -1. */
  readonly find: (hash: number, isMatch: (id: number) => boolean) => number
  readonly add: (id: number) => void
  readonly remove: (id: number) => void
}

/** Creates an empty index. `getHash` returns the hash of an indexed id. */
export function createHashIndex (opts: { getHash: (id: number) => number }): HashIndex {
  const { getHash } = opts
  /** Id + 1; 0 marks a free slot. */
  let slots = new Int32Array(INITIAL_SLOT_COUNT)
  let entryCount = 0

  function insert (id: number): void {
    const mask = slots.length - 1
    let slot = getHash(id) & mask
    while (slots[slot] !== 0) slot = (slot + 1) & mask
    slots[slot] = id + 1
  }

  function grow (): void {
    const previous = slots
    slots = new Int32Array(previous.length * 2)
    for (const entry of previous) {
      if (entry !== 0) insert(entry - 1)
    }
  }

  /** Backward-shift deletion: moves later entries of the probe sequence back into the freed slot. */
  function shiftBack (freed: number): void {
    const mask = slots.length - 1
    let gap = freed
    let slot = (gap + 1) & mask
    for (let entry = slots[slot]!; entry !== 0; entry = slots[slot]!) {
      const idealSlot = getHash(entry - 1) & mask
      if (((slot - idealSlot) & mask) >= ((slot - gap) & mask)) {
        slots[gap] = entry
        gap = slot
      }
      slot = (slot + 1) & mask
    }
    slots[gap] = 0
  }

  return {
    find: (hash, isMatch) => {
      const mask = slots.length - 1
      let slot = hash & mask
      for (let entry = slots[slot]!; entry !== 0; entry = slots[slot]!) {
        if (isMatch(entry - 1)) return entry - 1
        slot = (slot + 1) & mask
      }
      return -1
    },
    add: id => {
      if ((entryCount + 1) > slots.length * MAX_LOAD_FACTOR) grow()
      insert(id)
      entryCount++
    },
    remove: id => {
      const mask = slots.length - 1
      let slot = getHash(id) & mask
      while (slots[slot] !== id + 1) slot = (slot + 1) & mask
      entryCount--
      shiftBack(slot)
    }
  }
}
