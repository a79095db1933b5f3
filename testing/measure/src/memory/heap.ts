/** Reads the memory that the runtime holds after a full collection. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

const BYTES_PER_MB = 1_000_000
const COLLECTIONS = 3

/** Makes a function that forces a full collection. */
function createCollector (): () => void {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
}

export interface Heap {
  /** Megabytes (10^6 bytes) of the JavaScript heap and of buffers outside it, after a full collection. */
  readonly readMb: () => number
}

/** Creates a reader of this process's heap. */
export function createHeap (): Heap {
  const collect = createCollector()
  return {
    readMb: () => {
      for (let round = 0; round < COLLECTIONS; round++) collect()
      const { heapUsed, external } = process.memoryUsage()
      return (heapUsed + external) / BYTES_PER_MB
    }
  }
}
