/** Checks encoded data before it is decoded, so that a lying length can neither allocate nor overflow. */

/** Deepest nesting of lists and maps that is taken. */
export const MAX_DEPTH = 64

const MajorType = { UNSIGNED: 0, NEGATIVE: 1, BYTES: 2, TEXT: 3, LIST: 4, MAP: 5, TAG: 6, SIMPLE: 7 } as const

const FIRST_ARGUMENT_WITH_BYTES = 24
const LAST_ARGUMENT_WITH_BYTES = 27

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
  if (info < FIRST_ARGUMENT_WITH_BYTES) return { major, argument: info, next: offset + 1 }
  if (info > LAST_ARGUMENT_WITH_BYTES) return undefined
  const bytes = 1 << (info - FIRST_ARGUMENT_WITH_BYTES)
  const next = offset + 1 + bytes
  if (next > data.byteLength) return undefined
  const argument = bytes === 8 ? Number(data.readBigUInt64BE(offset + 1)) : data.readUIntBE(offset + 1, bytes)
  return { major, argument, next }
}

/** Whether the bytes are exactly one value of numbers, text, bytes, lists, maps and simple values; tags are refused. */
export function checkStructure (data: Buffer): boolean {
  const open: number[] = [1]
  let offset = 0
  while (open.length > 0) {
    const left = open.pop() as number
    if (left === 0) continue
    open.push(left - 1)
    const head = readHead(data, offset)
    if (head === undefined) return false
    const inner = measureHead(head, data.byteLength)
    if (inner === undefined) return false
    offset = head.next + inner.bytes
    if (inner.items === 0) continue
    if (open.length > MAX_DEPTH) return false
    open.push(inner.items)
  }
  return offset === data.byteLength
}

/** How many bytes and items follow a head; undefined when that cannot be. */
function measureHead ({ major, argument, next }: Head, end: number): { bytes: number, items: number } | undefined {
  const left = end - next
  switch (major) {
    case MajorType.BYTES:
    case MajorType.TEXT: return argument <= left ? { bytes: argument, items: 0 } : undefined
    case MajorType.LIST: return argument <= left ? { bytes: 0, items: argument } : undefined
    case MajorType.MAP: return argument * 2 <= left ? { bytes: 0, items: argument * 2 } : undefined
    case MajorType.TAG: return undefined
    default: return { bytes: 0, items: 0 }
  }
}
