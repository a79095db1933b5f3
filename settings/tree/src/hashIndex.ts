/** A hash index from names to node ids: open addressing in one typed array, since most of its many entries are idle. */

const MINIMUM_SLOTS = 64
const MAX_LOAD = 0.75
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
  /** The id for which `isMatch` holds among those that may have this hash, or -1. */
  readonly find: (hash: number, isMatch: (id: number) => boolean) => number
  readonly add: (id: number) => void
  readonly remove: (id: number) => void
}

/** Creates an empty index. `getHash` gives the hash of an id that is in the index. */
export function createHashIndex (opts: { getHash: (id: number) => number }): HashIndex {
  const { getHash } = opts
  /** Id + 1; 0 marks a free slot. */
  let slots = new Int32Array(MINIMUM_SLOTS)
  let used = 0

  function put (id: number): void {
    const mask = slots.length - 1
    let slot = getHash(id) & mask
    while (slots[slot] !== 0) slot = (slot + 1) & mask
    slots[slot] = id + 1
  }

  function grow (): void {
    const old = slots
    slots = new Int32Array(old.length * 2)
    for (const entry of old) {
      if (entry !== 0) put(entry - 1)
    }
  }

  /** Moves later entries of the probe run back over a freed slot. */
  function closeGap (freed: number): void {
    const mask = slots.length - 1
    let gap = freed
    let slot = (gap + 1) & mask
    for (let entry = slots[slot]!; entry !== 0; entry = slots[slot]!) {
      const home = getHash(entry - 1) & mask
      if (((slot - home) & mask) >= ((slot - gap) & mask)) {
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
      if ((used + 1) > slots.length * MAX_LOAD) grow()
      put(id)
      used++
    },
    remove: id => {
      const mask = slots.length - 1
      let slot = getHash(id) & mask
      while (slots[slot] !== id + 1) slot = (slot + 1) & mask
      used--
      closeGap(slot)
    }
  }
}
