/** Peer links over TCP and mutual TLS. */
export { createPeerLinks } from './peerLinks.ts'
export type { PeerAddress, PeerLinks, PeerLinksOptions } from './peerLinks.ts'
export type { LinkStatus } from './outgoingLink.ts'
export type { TlsFiles } from './certificates.ts'
