/** Frames: a length of 32 bits, big-endian, and one value in CBOR. */
import { MAX_FRAME_BYTES } from '@catkinferry/core.constants'
import { createFailed, createOk, ErrorCode } from '@catkinferry/core.errors'
import type { Failure, Result } from '@catkinferry/core.errors'
import { Encoder } from 'cbor-x'
import { checkStructure } from './checkStructure.ts'

const LENGTH_BYTES = 4

/** No structure is shared between frames, so that each can be read without those before it. */
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

function createFrameFailure (message: string): Failure {
  return { code: ErrorCode.BAD_FRAME, message, step: 'frame' }
}

/** Encodes a value as one frame. Fails with `TOO_LARGE` above the size limit. */
export function encodeFrame (value: unknown): Result<Uint8Array> {
  const payload = encoder.encode(value)
  if (payload.byteLength > MAX_FRAME_BYTES) {
    return createFailed({ code: ErrorCode.TOO_LARGE, message: `a frame of ${payload.byteLength} bytes is over the limit of ${MAX_FRAME_BYTES}`, step: 'frame' })
  }
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.byteLength)
  frame.writeUInt32BE(payload.byteLength, 0)
  frame.set(payload, LENGTH_BYTES)
  return createOk(frame)
}

/** Decodes the payload of one frame; the result shares no memory with the input. */
export function decodePayload (payload: Buffer): Result<unknown> {
  if (!checkStructure(payload)) return createFailed(createFrameFailure('a frame does not hold one plain value'))
  try {
    return createOk(encoder.decode(payload))
  } catch (error) {
    return createFailed(createFrameFailure(`a frame cannot be decoded: ${(error as Error).message}`))
  }
}

export interface FrameReader {
  /** Takes bytes as they arrive and gives the frames that are complete. Stays failed after the first failure. */
  readonly read: (chunk: Uint8Array) => Result<readonly unknown[]>
}

export interface FrameReaderOptions {
  readonly maxFrameBytes?: number
}

/** Creates a reader of one stream of frames. It keeps at most one incomplete frame. */
export function createFrameReader ({ maxFrameBytes = MAX_FRAME_BYTES }: FrameReaderOptions = {}): FrameReader {
  let parts: Buffer[] = []
  let bytes = 0
  let needed = LENGTH_BYTES
  let failure: Failure | undefined

  function takeBuffered (): Buffer {
    const joined = parts.length === 1 ? parts[0] as Buffer : Buffer.concat(parts, bytes)
    parts = []
    bytes = 0
    return joined
  }

  function readFrames (values: unknown[]): Failure | undefined {
    if (bytes < needed) return undefined
    let data = takeBuffered()
    for (;;) {
      if (data.byteLength < LENGTH_BYTES) break
      const length = data.readUInt32BE(0)
      if (length > maxFrameBytes) return createFrameFailure(`a frame of ${length} bytes is over the limit of ${maxFrameBytes}`)
      needed = LENGTH_BYTES + length
      if (data.byteLength < needed) break
      const decoded = decodePayload(Buffer.from(data.subarray(LENGTH_BYTES, needed)))
      if (!decoded.ok) return decoded.failure
      values.push(decoded.value)
      data = data.subarray(needed)
      needed = LENGTH_BYTES
    }
    if (data.byteLength > 0) parts = [data]
    bytes = data.byteLength
    return undefined
  }

  return {
    read: chunk => {
      if (failure !== undefined) return createFailed(failure)
      parts.push(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength))
      bytes += chunk.byteLength
      const values: unknown[] = []
      failure = readFrames(values)
      if (failure === undefined) return createOk(values)
      parts = []
      bytes = 0
      return createFailed(failure)
    }
  }
}
