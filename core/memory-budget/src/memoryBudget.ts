/**
 * Accounts for the bytes that a process buffers for others, such as responses of endpoints and bodies of callers. A limit
 * on one message does not bound a process that reads many; this bounds the sum, by owner and over all owners.
 */

export interface MemoryBudgetOptions {
  /** Bytes that may be held for all owners together. */
  readonly maxBytes: number
  /** Bytes that may be held for one owner. */
  readonly maxOwnerBytes: number
}

/** Why bytes could not be held: the owner has reached its limit, or the budget is used up and no other owner holds more. */
export const MemoryLimit = { OWNER: 'owner', TOTAL: 'total' } as const
export type MemoryLimit = (typeof MemoryLimit)[keyof typeof MemoryLimit]

/** Bytes that are held for one message of an owner. */
export interface MemoryHolding {
  /** Adds bytes. Undefined if they may be held; otherwise the limit, and the holding is released. */
  readonly add: (bytes: number) => MemoryLimit | undefined
  /** Gives part of the bytes back, such as those that have been passed on. */
  readonly trim: (bytes: number) => void
  /** Gives all bytes back. The holding is of no use afterwards. */
  readonly release: () => void
}

export interface MemoryBudget {
  /**
   * Opens a holding without bytes. `onEvicted` is called, after its bytes were given back, if another owner needs them; the
   * holder must drop them at once. It is not called from an `add` of the same holding.
   */
  readonly open: (owner: string, onEvicted: () => void) => MemoryHolding
  readonly getHeldBytes: () => number
  readonly getOwnerBytes: (owner: string) => number
  /** Holdings that gave way to other owners so far. */
  readonly getEvictedCount: () => number
}

interface Entry {
  readonly owner: string
  readonly onEvicted: () => void
  bytes: number
  isOpen: boolean
}

interface Owner {
  bytes: number
  readonly entries: Set<Entry>
}

/** Creates a budget that holds nothing. */
export function createMemoryBudget ({ maxBytes, maxOwnerBytes }: MemoryBudgetOptions): MemoryBudget {
  const owners = new Map<string, Owner>()
  let heldBytes = 0
  let evictedCount = 0

  function adjust (entry: Entry, bytes: number): void {
    const owner = owners.get(entry.owner) ?? { bytes: 0, entries: new Set() }
    owner.bytes += bytes
    entry.bytes += bytes
    heldBytes += bytes
    if (entry.bytes > 0) owner.entries.add(entry)
    else owner.entries.delete(entry)
    if (owner.entries.size > 0) owners.set(entry.owner, owner)
    else owners.delete(entry.owner)
  }

  function release (entry: Entry): void {
    entry.isOpen = false
    adjust(entry, -entry.bytes)
  }

  /** Releases the largest holding of the owner that holds most; false if no owner holds more than `bytes`. */
  function evictLargest (bytes: number): boolean {
    let largest: Owner | undefined
    for (const owner of owners.values()) if (owner.bytes > (largest?.bytes ?? bytes)) largest = owner
    if (largest === undefined) return false
    const entry = [...largest.entries].reduce((found, next) => next.bytes > found.bytes ? next : found)
    release(entry)
    evictedCount += 1
    entry.onEvicted()
    return true
  }

  function hasRoom (bytes: number): boolean {
    return heldBytes + bytes <= maxBytes
  }

  function findLimit (entry: Entry, bytes: number): MemoryLimit | undefined {
    const ownerBytes = (owners.get(entry.owner)?.bytes ?? 0) + bytes
    if (ownerBytes > maxOwnerBytes) return MemoryLimit.OWNER
    while (!hasRoom(bytes)) if (!evictLargest(ownerBytes)) return MemoryLimit.TOTAL
    return undefined
  }

  return {
    open: (owner, onEvicted) => {
      const entry: Entry = { owner, onEvicted, bytes: 0, isOpen: true }
      return {
        add: bytes => {
          const limit = entry.isOpen ? findLimit(entry, bytes) : MemoryLimit.TOTAL
          if (limit === undefined && entry.isOpen) {
            adjust(entry, bytes)
            return undefined
          }
          // The holder of an evicted message may have released this one, too.
          release(entry)
          return limit ?? MemoryLimit.TOTAL
        },
        trim: bytes => adjust(entry, -Math.min(bytes, entry.bytes)),
        release: () => release(entry)
      }
    },
    getHeldBytes: () => heldBytes,
    getOwnerBytes: owner => owners.get(owner)?.bytes ?? 0,
    getEvictedCount: () => evictedCount
  }
}
