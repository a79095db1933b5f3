/** Bounded deadline-first queues with ageing. */
export * from './queue.ts'
