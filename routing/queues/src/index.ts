/** Bounded deadline-first queues with ageing. */
export {}
