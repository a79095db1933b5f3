/** Adaptive concurrency limits. */
export {}
