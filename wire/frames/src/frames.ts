/** Encodes and decodes the frames of peer links: a 32-bit big-endian length, followed by one CBOR value. */
import { MAX_FRAME_BYTES } from '@catkinferry/core.constants'
import { createFailed, createOk, ErrorCode } from '@catkinferry/core.errors'
import type { Failure, Result } from '@catkinferry/core.errors'
import { Encoder } from 'cbor-x'
import { checkStructure } from './checkStructure.ts'

const LENGTH_BYTES = 4

/** Records (structures shared between values) are off, so that each frame can be decoded without the frames before it. */
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

/** Decodes the payload of one frame; the result shares no memory with `payload`. */
export function decodePayload (payload: Buffer): Result<unknown> {
  if (!checkStructure(payload)) return createFailed(createFrameFailure('a frame is not exactly one well-formed CBOR value without tags'))
  try {
    return createOk(encoder.decode(payload))
  } catch (error) {
    return createFailed(createFrameFailure(`a frame cannot be decoded: ${(error as Error).message}`))
  }
}

export interface FrameReader {
  /** Adds received bytes and returns the values of the frames that are now complete. After a failure, all later calls fail too. */
  readonly read: (chunk: Uint8Array) => Result<readonly unknown[]>
}

export interface FrameReaderOptions {
  readonly maxFrameBytes?: number
}

/** Creates a reader for one byte stream. It buffers at most one incomplete frame. */
export function createFrameReader ({ maxFrameBytes = MAX_FRAME_BYTES }: FrameReaderOptions = {}): FrameReader {
  let bufferedChunks: Buffer[] = []
  let bufferedBytes = 0
  let neededBytes = LENGTH_BYTES
  let failure: Failure | undefined

  function takeBuffered (): Buffer {
    const data = bufferedChunks.length === 1 ? bufferedChunks[0] as Buffer : Buffer.concat(bufferedChunks, bufferedBytes)
    bufferedChunks = []
    bufferedBytes = 0
    return data
  }

  function readFrames (values: unknown[]): Failure | undefined {
    if (bufferedBytes < neededBytes) return undefined
    let data = takeBuffered()
    for (;;) {
      if (data.byteLength < LENGTH_BYTES) break
      const length = data.readUInt32BE(0)
      if (length > maxFrameBytes) return createFrameFailure(`a frame of ${length} bytes is over the limit of ${maxFrameBytes}`)
      neededBytes = LENGTH_BYTES + length
      if (data.byteLength < neededBytes) break
      const decoded = decodePayload(Buffer.from(data.subarray(LENGTH_BYTES, neededBytes)))
      if (!decoded.ok) return decoded.failure
      values.push(decoded.value)
      data = data.subarray(neededBytes)
      neededBytes = LENGTH_BYTES
    }
    if (data.byteLength > 0) bufferedChunks = [data]
    bufferedBytes = data.byteLength
    return undefined
  }

  return {
    read: chunk => {
      if (failure !== undefined) return createFailed(failure)
      bufferedChunks.push(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength))
      bufferedBytes += chunk.byteLength
      const values: unknown[] = []
      failure = readFrames(values)
      if (failure === undefined) return createOk(values)
      bufferedChunks = []
      bufferedBytes = 0
      return createFailed(failure)
    }
  }
}
