/** HTTP API for callers. */
export {}
