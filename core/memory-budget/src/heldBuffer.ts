/** Collects the parts of one message in memory that a budget accounts for. */
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
  /** Drops all bytes. The buffer is of no use afterwards. */
  readonly release: () => void
}

/** Avoids copying small messages several times. */
const MIN_CAPACITY_BYTES = 1_024

/**
 * Creates an empty buffer. Bytes are copied: a part that is kept by reference keeps all that was read from the socket with
 * it, so that small parts with much framing hold many times their length.
 */
export function createHeldBuffer ({ budget, owner, maxBytes, onEvicted }: HeldBufferOptions): HeldBuffer {
  let content = Buffer.alloc(0)
  let length = 0

  function drop (): void {
    content = Buffer.alloc(0)
    length = 0
  }

  const holding = budget.open(owner, () => {
    drop()
    onEvicted()
  })

  function release (): void {
    holding.release()
    drop()
  }

  /** Both copies count while the bytes are moved. */
  function allocate (bytes: number): BufferLimit | undefined {
    if (bytes > maxBytes) return BufferLimit.MESSAGE
    if (bytes <= content.length) return undefined
    const capacity = Math.min(maxBytes, Math.max(bytes, 2 * content.length, MIN_CAPACITY_BYTES))
    const limit = holding.add(capacity)
    if (limit !== undefined) return limit
    const former = content
    content = Buffer.allocUnsafeSlow(capacity)
    former.copy(content, 0, 0, length)
    holding.trim(former.length)
    return undefined
  }

  return {
    add: data => {
      const limit = allocate(length + data.length)
      if (limit !== undefined) {
        release()
        return limit
      }
      content.set(data, length)
      length += data.length
      return undefined
    },
    getText: () => content.toString('utf8', 0, length),
    release
  }
}
