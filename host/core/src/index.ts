/** The deterministic host: events in, outputs out. */
export {}
