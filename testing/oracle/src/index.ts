/** Checks what must always hold from observations alone. */
export {}
