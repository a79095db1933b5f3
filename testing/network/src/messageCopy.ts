/** Messages cross the simulated network as bytes and in the compact form, as they do the real one. */
import { decodeCompact, encodeCompact } from '@catkinferry/wire.messages'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { decode, encode } from 'cbor-x'

/** Encodes a message as a peer link would, without the frame's length. */
export function encodeMessage (message: PeerMessage): Uint8Array {
  return encode(encodeCompact(message))
}

/** Decodes what `encodeMessage` gave. */
export function decodeMessage (bytes: Uint8Array): PeerMessage {
  return decodeCompact(decode(bytes)) as PeerMessage
}
