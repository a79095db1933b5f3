/** Peer links over TCP and mutual TLS. */
export {}
