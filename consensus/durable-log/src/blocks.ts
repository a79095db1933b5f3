/**
 * Encodes and reads blocks, the checksummed unit in which the files of a data folder are written.
 * A segment gets one block at a time, each synced before the next, so a crash can tear only the last block of a segment;
 * other files are complete once they have their name. Encoding runs on each write, reading when the folder is opened.
 */
import { crc32 } from 'node:zlib'
import { CatkinferryError, ErrorCode } from '@catkinferry/core.errors'
import { Encoder } from 'cbor-x'

/** Payload length, CRC-32 of the payload, CRC-32 of these eight bytes; each 32 bits, big-endian. */
export const BLOCK_HEADER_BYTES = 12

/** Disks write whole sectors; a sector that was not written reads as zeros. */
const SECTOR_BYTES = 512

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

export function encodeValue (value: unknown): Uint8Array {
  return encoder.encode(value)
}

/** Frames a payload as one block. */
export function encodeBlock (payload: Uint8Array): Buffer {
  const block = Buffer.allocUnsafe(BLOCK_HEADER_BYTES + payload.byteLength)
  block.writeUInt32BE(payload.byteLength, 0)
  block.writeUInt32BE(crc32(payload), 4)
  block.writeUInt32BE(crc32(block.subarray(0, 8)), 8)
  block.set(payload, BLOCK_HEADER_BYTES)
  return block
}

export interface Block {
  readonly offset: number
  readonly payload: Uint8Array
}

export interface BlockScan {
  readonly blocks: readonly Block[]
  /** Offset of a torn last block; undefined when the file ends with a complete block. */
  readonly tornAt?: number
}

/** Creates the error for a file that cannot be trusted; the message names the file and the offset. */
export function createDamagedError (file: string, offset: number, reason: string): CatkinferryError {
  return new CatkinferryError({
    code: ErrorCode.DAMAGED_FILE,
    message: `'${file}' is damaged at offset ${offset}: ${reason}`,
    step: 'openDataFolder',
    hint: 'Move the data folder away and replace this voter: see docs/operators/voters.md.'
  })
}

/** Reads all blocks of a file. Throws `DAMAGED_FILE` for any fault that a torn last write does not explain. */
export function readBlocks (file: string, contents: Uint8Array): BlockScan {
  const data = Buffer.from(contents.buffer, contents.byteOffset, contents.byteLength)
  const blocks: Block[] = []
  let offset = 0
  while (offset < data.byteLength) {
    const found = readBlock(data, offset)
    if (found === 'torn') return { blocks, tornAt: offset }
    if (typeof found === 'string') throw createDamagedError(file, offset, found)
    blocks.push({ offset, payload: found })
    offset += BLOCK_HEADER_BYTES + found.byteLength
  }
  return { blocks }
}

function isZero (data: Buffer): boolean {
  return data.every(byte => byte === 0)
}

function readBlock (data: Buffer, offset: number): Uint8Array | string {
  const rest = data.subarray(offset)
  if (rest.byteLength < BLOCK_HEADER_BYTES) return 'torn'
  if (crc32(rest.subarray(0, 8)) !== rest.readUInt32BE(8)) return isZero(rest) ? 'torn' : 'block header checksum mismatch'
  const length = rest.readUInt32BE(0)
  const end = BLOCK_HEADER_BYTES + length
  if (end > rest.byteLength) return 'torn'
  const payload = rest.subarray(BLOCK_HEADER_BYTES, end)
  if (crc32(payload) === rest.readUInt32BE(4)) return payload
  const isLast = end === rest.byteLength
  return isLast && hasZeroSector(data, offset, offset + end) ? 'torn' : 'block payload checksum mismatch'
}

/**
 * Whether a whole sector of the range, or the partial sector at its end, holds only zeros: the mark of an incomplete
 * write.
 */
function hasZeroSector (data: Buffer, from: number, to: number): boolean {
  let start = from
  while (start < to) {
    const end = Math.min(to, (Math.floor(start / SECTOR_BYTES) + 1) * SECTOR_BYTES)
    const isWhole = end - start === SECTOR_BYTES
    if ((isWhole || end === to) && end - start >= BLOCK_HEADER_BYTES && isZero(data.subarray(start, end))) return true
    start = end
  }
  return false
}

/** Decodes a payload that passed its checksum. */
export function decodeValue (file: string, { offset, payload }: Block): unknown {
  try {
    return encoder.decode(payload)
  } catch {
    throw createDamagedError(file, offset, 'block payload has a valid checksum but cannot be decoded')
  }
}
