/** A store that owns resources and disposes of them together, in reverse order of addition. */

export type Dispose = () => void | Promise<void>

export interface DisposableStore {
  /** Adds a resource by its dispose function, which is called at once if the store is already disposed of. */
  readonly add: (dispose: Dispose) => void
  /** Disposes of all resources. A failure does not stop the others; all failures are thrown together as an `AggregateError`. */
  readonly dispose: () => Promise<void>
}

/** Creates an empty store. */
export function createDisposableStore (): DisposableStore {
  const owned: Dispose[] = []
  let disposed = false
  return {
    add: dispose => {
      if (disposed) {
        void dispose()
        return
      }
      owned.push(dispose)
    },
    dispose: async () => {
      disposed = true
      const errors: unknown[] = []
      for (let dispose = owned.pop(); dispose !== undefined; dispose = owned.pop()) {
        try {
          await dispose()
        } catch (error) {
          errors.push(error)
        }
      }
      if (errors.length > 0) throw new AggregateError(errors, 'disposal failed')
    }
  }
}
