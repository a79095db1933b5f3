/** HTTP API for operators. */
export {}
