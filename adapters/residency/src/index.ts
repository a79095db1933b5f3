/** Slots of an endpoint and the choice of what to evict. */
export {}
