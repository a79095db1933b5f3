/** Length-prefixed CBOR frames of the links between hosts. */
export { createFrameReader, decodePayload, encodeFrame } from './frames.ts'
export type { FrameReader, FrameReaderOptions } from './frames.ts'
