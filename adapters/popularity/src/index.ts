/** Decayed request rates per adapter. */
export {}
