/** Entry point of the binary. */
export {}
