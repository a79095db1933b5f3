/** Length-prefixed cbor-x frames. */
export {}
