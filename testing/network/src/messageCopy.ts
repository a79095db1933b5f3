/** Encoding of messages between simulated hosts: compact form and CBOR bytes, as on the real network. */
import { decodeCompact, encodeCompact } from '@catkinferry/wire.messages'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { decode, encode } from 'cbor-x'

/** Encodes a message as a peer link does, without the length prefix of the frame. */
export function encodeMessage (message: PeerMessage): Uint8Array {
  return encode(encodeCompact(message))
}

export function decodeMessage (bytes: Uint8Array): PeerMessage {
  return decodeCompact(decode(bytes)) as PeerMessage
}
