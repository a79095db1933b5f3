/** Settings deltas from leader to zone relay to host. */
export {}
