/** Length-prefixed cbor-x frames. */
export { createFrameReader, decodePayload, encodeFrame } from './frames.ts'
export type { FrameReader, FrameReaderOptions } from './frames.ts'
