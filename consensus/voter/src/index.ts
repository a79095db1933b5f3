/** A voter: log machine, state machine and command intake. */
export {}
