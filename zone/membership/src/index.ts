/** Hosts and endpoints from the platform list and heartbeats. */
export {}
