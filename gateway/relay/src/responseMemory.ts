/** Counts the bytes that the host holds of the response to one attempt. The attempt that exceeds a limit, or has to give way to others, ends. */
import type { MemoryBudget } from '@catkinferry/core.memory-budget'
import { MemoryLimit } from '@catkinferry/core.memory-budget'

/** Why bytes of a response may not be held. */
export const MemoryRefusal = { ...MemoryLimit, EVICTED: 'evicted' } as const
export type MemoryRefusal = typeof MemoryRefusal[keyof typeof MemoryRefusal]

export interface ResponseMemory {
  /** Sets the number of bytes held. False if they may not be held: `onRefused` was called, and the bytes must be dropped. */
  readonly resize: (bytes: number) => boolean
  readonly release: () => void
}

export interface ResponseMemoryOptions {
  readonly budget: MemoryBudget
  /** Address of the endpoint or peer. */
  readonly owner: string
  /** Called at most once; nothing is held any more. */
  readonly onRefused: (refusal: MemoryRefusal) => void
}

export function openResponseMemory ({ budget, owner, onRefused }: ResponseMemoryOptions): ResponseMemory {
  let heldBytes = 0
  let isOpen = true
  const refuse = (refusal: MemoryRefusal): void => {
    isOpen = false
    onRefused(refusal)
  }
  const holding = budget.open(owner, () => refuse(MemoryRefusal.EVICTED))
  return {
    resize: bytes => {
      if (!isOpen) return false
      const addedBytes = bytes - heldBytes
      heldBytes = bytes
      if (addedBytes < 0) holding.trim(-addedBytes)
      const limit = addedBytes > 0 ? holding.add(addedBytes) : undefined
      if (limit !== undefined) refuse(limit)
      return limit === undefined
    },
    release: () => {
      isOpen = false
      holding.release()
    }
  }
}
