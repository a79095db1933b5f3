/** The budget for what the drivers of a process hold of responses. */
import { createMemoryBudget } from '@catkinferry/core.memory-budget'
import type { MemoryBudget } from '@catkinferry/core.memory-budget'

/** Limit on the body of a response that is read whole. */
export const MAX_RESPONSE_BYTES = 16 * 1024 * 1024
/** About a fifth of a host with 350 MB. A response counts up to twice while it grows, so that an endpoint has room for one of the largest. */
const MEMORY = { maxBytes: 4 * MAX_RESPONSE_BYTES, maxOwnerBytes: 2 * MAX_RESPONSE_BYTES } as const

/** About a tenth of such a host, and many times what the responses of one endpoint have. */
const CONTROL_MEMORY = { maxBytes: 32 * 1024 * 1024, maxOwnerBytes: 8 * 1024 * 1024 } as const

/** Creates the budget that all drivers of a process share. Owners are endpoints. */
export function createResponseBudget (): MemoryBudget {
  return createMemoryBudget(MEMORY)
}

/** Creates the budget for responses to orders and polls, which large responses to attempts must not hold up. Owners are endpoints. */
export function createControlBudget (): MemoryBudget {
  return createMemoryBudget(CONTROL_MEMORY)
}
