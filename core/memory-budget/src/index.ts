/** A limit on the memory that a process holds for others, by owner and in total. */
export * from './growingBuffer.ts'
export * from './heldBuffer.ts'
export * from './memoryBudget.ts'
