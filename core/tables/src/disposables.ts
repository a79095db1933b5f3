/** Owns resources and disposes of them together, last added first. */

export type Dispose = () => void | Promise<void>

export interface DisposableStore {
  /** Adds a resource; disposes of it at once when the store is already disposed of. */
  readonly add: (dispose: Dispose) => void
  /** Disposes of everything. Failures do not stop the others and are thrown together at the end. */
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
