/** Collects the parts of one message in memory that a budget accounts for. */
import { createGrowingBuffer } from './growingBuffer.ts'
import type { MemoryBudget } from './memoryBudget.ts'
import { MemoryLimit } from './memoryBudget.ts'

/** Why a message was refused: it is larger than its kind may be, or a limit of the budget. */
export const BufferLimit = { MESSAGE: 'message', ...MemoryLimit } as const
export type BufferLimit = (typeof BufferLimit)[keyof typeof BufferLimit]

export interface HeldBufferOptions {
  readonly budget: MemoryBudget
  readonly owner: string
  /** Limit on the message. */
  readonly maxBytes: number
  /** Called once another owner needs the memory; the bytes are dropped already. */
  readonly onEvicted: () => void
}

export interface HeldBuffer {
  /** Keeps a copy of the bytes. Undefined if they may be held; otherwise the limit, and all bytes are released. */
  readonly add: (data: Uint8Array) => BufferLimit | undefined
  /** The bytes so far as UTF-8 text; empty after they were released. */
  readonly getText: () => string
  /** The bytes so far, not copied; empty after they were released. */
  readonly getBytes: () => Buffer
  /** Drops all bytes. The buffer is of no use afterwards. */
  readonly release: () => void
}

/** Creates an empty buffer. */
export function createHeldBuffer ({ budget, owner, maxBytes, onEvicted }: HeldBufferOptions): HeldBuffer {
  const content = createGrowingBuffer(maxBytes)
  const holding = budget.open(owner, () => {
    content.drop()
    onEvicted()
  })

  function release (): void {
    holding.release()
    content.drop()
  }

  /** Both copies count while the bytes are moved. */
  function append (data: Uint8Array): BufferLimit | undefined {
    const former = content.getCapacity()
    const capacity = content.findCapacity(data.length)
    if (capacity > maxBytes) return BufferLimit.MESSAGE
    const limit = capacity > former ? holding.add(capacity) : undefined
    if (limit !== undefined) return limit
    content.add(data)
    if (capacity > former) holding.trim(former)
    return undefined
  }

  return {
    add: data => {
      const limit = append(data)
      if (limit !== undefined) release()
      return limit
    },
    getText: () => content.getBytes().toString(),
    getBytes: content.getBytes,
    release
  }
}
