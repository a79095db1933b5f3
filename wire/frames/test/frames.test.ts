import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { createFrameReader, decodePayload, encodeFrame } from '../src/index.ts'

const plainValue = fc.letrec(tie => ({
  value: fc.oneof({ maxDepth: 5 }, fc.string(), fc.integer(), fc.double({ noNaN: true }), fc.boolean(), fc.constant(null), fc.constant(undefined), fc.array(tie('value')), fc.dictionary(fc.string().filter(key => key !== '__proto__'), tie('value'), { noNullPrototype: true }))
})).value

function encode (value: unknown): Uint8Array {
  const result = encodeFrame(value)
  if (!result.ok) throw new Error(result.failure.message)
  return result.value
}

describe('frames', () => {
  it('decode to the encoded values, however the bytes are split into chunks', () => {
    fc.assert(fc.property(fc.array(plainValue, { maxLength: 5 }), fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1 }), (values, chunkSizes) => {
      const bytes = Buffer.concat(values.map(encode))
      const reader = createFrameReader()
      const read: unknown[] = []
      let offset = 0
      for (let index = 0; offset < bytes.byteLength; index++) {
        const end = offset + (chunkSizes[index % chunkSizes.length] ?? 1)
        const result = reader.read(bytes.subarray(offset, end))
        if (!result.ok) throw new Error(result.failure.message)
        read.push(...result.value)
        offset = end
      }
      expect(read).toEqual(values)
    }), { seed: 1, numRuns: 300 })
  })

  it('preserve byte strings and integers of more than 32 bits', () => {
    const value = { data: Buffer.from([1, 2, 3]), at: 1_800_000_000_123, small: -5 }
    const read = createFrameReader().read(encode(value))
    expect(read.ok && read.value).toEqual([value])
  })

  it('never throw on arbitrary bytes, and keep failing after the first failure', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 300 }), bytes => {
      const reader = createFrameReader({ maxFrameBytes: 200 })
      const first = reader.read(bytes)
      if (!first.ok) expect(reader.read(encode(1)).ok).toEqual(false)
      decodePayload(Buffer.from(bytes))
    }), { seed: 1, numRuns: 3_000 })
  })

  it('never throw on corrupted frames', () => {
    fc.assert(fc.property(plainValue, fc.nat(), fc.integer({ min: 1, max: 255 }), (value, at, mask) => {
      const payload = Buffer.from(encode(value)).subarray(4)
      payload[at % payload.byteLength] = (payload[at % payload.byteLength] ?? 0) ^ mask
      decodePayload(payload)
    }), { seed: 1, numRuns: 2_000 })
  })

  it('refuse lengths larger than the data, deep nesting and tags before allocating memory for them', () => {
    const hugeList = Buffer.from('9affffffff', 'hex')
    const hugeMap = Buffer.from('bbffffffffffffffff', 'hex')
    const nested = Buffer.alloc(100_000, 0x81)
    const tagged = Buffer.from('d81c80', 'hex')
    for (const payload of [hugeList, hugeMap, nested, tagged]) expect(decodePayload(payload).ok).toEqual(false)
  })

  it('refuse a frame above the size limit by its length prefix alone, and refuse to encode one', () => {
    const reader = createFrameReader()
    const result = reader.read(Buffer.from('7fffffff', 'hex'))
    expect(result.ok ? '' : result.failure.code).toEqual('ERR_CATKINFERRY_BAD_FRAME')
    const large = encodeFrame(Buffer.alloc(9 * 1024 * 1024))
    expect(large.ok ? '' : large.failure.code).toEqual('ERR_CATKINFERRY_TOO_LARGE')
  })
})
