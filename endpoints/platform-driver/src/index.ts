/** The platform list over HTTP. */
export {}
