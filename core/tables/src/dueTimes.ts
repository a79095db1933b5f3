/** Due times by key, in a heap, for timers of the deterministic core. A new time for a key replaces the old one. */
import TinyQueue from 'tinyqueue'

interface DueItem<Key> {
  readonly key: Key
  readonly at: number
}

export interface DueTimes<Key> {
  /** Sets or moves the due time of a key, in milliseconds on the host's monotonic clock. */
  readonly set: (key: Key, at: number) => void
  readonly clear: (key: Key) => void
  /** Removes and returns the keys due at `now`, earliest first. */
  readonly takeDue: (now: number) => Key[]
  readonly getNextAt: () => number | undefined
  readonly getSize: () => number
}

/** Creates an empty heap of due times. */
export function createDueTimes<Key> (): DueTimes<Key> {
  const heap = new TinyQueue<DueItem<Key>>([], (a, b) => a.at - b.at)
  const current = new Map<Key, number>()

  function dropSuperseded (): void {
    for (let top = heap.peek(); top !== undefined; top = heap.peek()) {
      if (current.get(top.key) === top.at) return
      heap.pop()
    }
  }

  return {
    set: (key, at) => {
      if (current.get(key) === at) return
      current.set(key, at)
      heap.push({ key, at })
    },
    clear: key => { current.delete(key) },
    takeDue: now => {
      const due: Key[] = []
      for (;;) {
        dropSuperseded()
        const top = heap.peek()
        if (top === undefined || top.at > now) return due
        heap.pop()
        current.delete(top.key)
        due.push(top.key)
      }
    },
    getNextAt: () => {
      dropSuperseded()
      return heap.peek()?.at
    },
    getSize: () => current.size
  }
}
