/** In-memory network of host cores on virtual time. */
export {}
