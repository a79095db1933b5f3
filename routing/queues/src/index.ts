/** Bounded queues of requests, ordered by service class and deadline, with ageing. */
export * from './queue.ts'
