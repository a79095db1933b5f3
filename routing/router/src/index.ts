/** Choice of endpoint by cost. */
export {}
