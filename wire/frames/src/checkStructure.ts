/** Validates encoded CBOR before it is decoded, so that a forged length can cause neither a large allocation nor a stack overflow. */

/** Maximum nesting depth of lists and maps. */
export const MAX_DEPTH = 64

const MajorType = { UNSIGNED: 0, NEGATIVE: 1, BYTES: 2, TEXT: 3, LIST: 4, MAP: 5, TAG: 6, SIMPLE: 7 } as const

/** From 24 to 27, a head's additional information means that the argument follows in 1, 2, 4 or 8 bytes. */
const MIN_INFO_WITH_BYTES = 24
const MAX_INFO_WITH_BYTES = 27

interface Head {
  readonly major: number
  readonly argument: number
  readonly next: number
}

function readHead (data: Buffer, offset: number): Head | undefined {
  const first = data[offset]
  if (first === undefined) return undefined
  const major = first >> 5
  const info = first & 31
  if (info < MIN_INFO_WITH_BYTES) return { major, argument: info, next: offset + 1 }
  if (info > MAX_INFO_WITH_BYTES) return undefined
  const bytes = 1 << (info - MIN_INFO_WITH_BYTES)
  const next = offset + 1 + bytes
  if (next > data.byteLength) return undefined
  const argument = bytes === 8 ? Number(data.readBigUInt64BE(offset + 1)) : data.readUIntBE(offset + 1, bytes)
  return { major, argument, next }
}

/** Whether the data is exactly one value made of numbers, text, bytes, lists, maps and simple values. Tags are refused. */
export function checkStructure (data: Buffer): boolean {
  const remainingByLevel: number[] = [1]
  let offset = 0
  while (remainingByLevel.length > 0) {
    const remaining = remainingByLevel.pop() as number
    if (remaining === 0) continue
    remainingByLevel.push(remaining - 1)
    const head = readHead(data, offset)
    if (head === undefined) return false
    const content = measureContent(head, data.byteLength)
    if (content === undefined) return false
    offset = head.next + content.bytes
    if (content.items === 0) continue
    if (remainingByLevel.length > MAX_DEPTH) return false
    remainingByLevel.push(content.items)
  }
  return offset === data.byteLength
}

/** Number of bytes and nested items that follow a head; undefined for a tag, or when the data is too short for them. */
function measureContent ({ major, argument, next }: Head, end: number): { bytes: number, items: number } | undefined {
  const remainingBytes = end - next
  switch (major) {
    case MajorType.BYTES:
    case MajorType.TEXT: return argument <= remainingBytes ? { bytes: argument, items: 0 } : undefined
    case MajorType.LIST: return argument <= remainingBytes ? { bytes: 0, items: argument } : undefined
    case MajorType.MAP: return argument * 2 <= remainingBytes ? { bytes: 0, items: argument * 2 } : undefined
    case MajorType.TAG: return undefined
    default: return { bytes: 0, items: 0 }
  }
}
