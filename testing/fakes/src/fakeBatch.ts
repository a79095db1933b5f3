/** Continuous batching of the fake engine: a bounded number of requests run concurrently, the others wait in order of priority. */

export interface FakeBatch {
  /** Waits for room in the batch. Resolves with a function that leaves the batch, or with undefined if `isDisconnected` is true by then. */
  readonly enter: (priority: number, isDisconnected: () => boolean) => Promise<(() => void) | undefined>
  readonly getRunning: () => number
  readonly getQueued: () => number
}

interface Waiter {
  readonly priority: number
  readonly order: number
  readonly isDisconnected: () => boolean
  readonly start: (leave: (() => void) | undefined) => void
}

/** Creates a batch of at most `limit` running requests; requests with a lower `priority` value start first. */
export function createFakeBatch (limit: number): FakeBatch {
  const waiters: Waiter[] = []
  let running = 0
  let order = 0

  function beginRequest (): () => void {
    running += 1
    let left = false
    return () => {
      if (left) return
      left = true
      running -= 1
      startNext()
    }
  }

  function startNext (): void {
    while (running < limit) {
      const next = waiters.shift()
      if (next === undefined) return
      next.start(next.isDisconnected() ? undefined : beginRequest())
    }
  }

  return {
    enter: async (priority, isDisconnected) => await new Promise(resolve => {
      waiters.push({ priority, order, isDisconnected, start: resolve })
      order += 1
      waiters.sort((a, b) => a.priority - b.priority || a.order - b.order)
      startNext()
    }),
    getRunning: () => running,
    getQueued: () => waiters.length
  }
}
