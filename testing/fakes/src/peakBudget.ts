/** A memory budget that records the most that it held, for tests of what reads without end may hold. */
import { createMemoryBudget } from '@catkinferry/core.memory-budget'
import type { MemoryBudget, MemoryBudgetOptions } from '@catkinferry/core.memory-budget'

export interface PeakBudget extends MemoryBudget {
  readonly getPeakBytes: () => number
}

export function createPeakBudget (limits: MemoryBudgetOptions): PeakBudget {
  const budget = createMemoryBudget(limits)
  let peakBytes = 0
  return {
    ...budget,
    open: (owner, onEvicted) => {
      const holding = budget.open(owner, onEvicted)
      const add: typeof holding.add = bytes => {
        const limit = holding.add(bytes)
        peakBytes = Math.max(peakBytes, budget.getHeldBytes())
        return limit
      }
      return { ...holding, add }
    },
    getPeakBytes: () => peakBytes
  }
}
