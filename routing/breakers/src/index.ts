/** Circuit breakers per endpoint. */
export {}
