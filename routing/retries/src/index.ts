/** Retry budget, jitter and hedging. */
export {}
