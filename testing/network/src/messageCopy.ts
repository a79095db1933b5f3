/** Messages cross the simulated network as bytes, as they do the real one. */
import type { PeerMessage } from '@catkinferry/wire.messages'
import { decode, encode } from 'cbor-x'

export const encodeMessage = {
  encode: (message: PeerMessage): Uint8Array => encode(message),
  decode: (bytes: Uint8Array): PeerMessage => decode(bytes) as PeerMessage
}
