/** Reads the memory in use after full garbage collections, for the memory experiment. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

const BYTES_PER_MB = 1_000_000
const GC_ROUNDS = 3

/** Creates a function that forces a full garbage collection. */
function createCollector (): () => void {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
}

export interface Heap {
  /** Megabytes (10^6 bytes) of the JavaScript heap and of buffers outside it, after full garbage collections. */
  readonly readMb: () => number
}

/** Creates a reader of this process's heap. */
export function createHeap (): Heap {
  const collect = createCollector()
  return {
    readMb: () => {
      for (let round = 0; round < GC_ROUNDS; round++) collect()
      const { heapUsed, external } = process.memoryUsage()
      return (heapUsed + external) / BYTES_PER_MB
    }
  }
}
