/** Claims for non-idempotent requests. */
export {}
