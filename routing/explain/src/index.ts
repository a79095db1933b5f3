/** Bounded record of decisions per request. */
export {}
