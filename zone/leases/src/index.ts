/** Majority lease of an availability zone. */
export {}
