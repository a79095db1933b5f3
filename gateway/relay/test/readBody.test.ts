import { expect } from 'earl'
import { PassThrough } from 'node:stream'
import { describe, it } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import type { Exchange } from '../src/exchange.ts'
import { createBodyReader } from '../src/readBody.ts'
import { MAX_BUFFERED_BODY_BYTES } from '../src/constants.ts'

function createUpload (): { readonly exchange: Exchange, readonly req: PassThrough } {
  const req = new PassThrough({ highWaterMark: 1 << 20 })
  return { req, exchange: { req, interrupt: undefined } as unknown as Exchange }
}

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

const TURNS = 50

/** Memory of this process that is in use, once streams have passed on what they hold. Array buffers are freed after the collection that finds them. */
async function measureUsedBytes (): Promise<number> {
  for (let turn = 0; turn < TURNS; turn += 1) await new Promise(resolve => setImmediate(resolve))
  collectGarbage()
  await new Promise(resolve => setTimeout(resolve, TURNS))
  collectGarbage()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

const BODY_BYTES = 1024 * 1024
/** What else the process may take between two measurements. */
const NOISE_BYTES = BODY_BYTES / 2

describe('the buffer of request bodies', () => {
  // Guards against an entry host that ends for want of heap: each chunk of a body was kept as an object of some hundred bytes.
  for (const chunkBytes of [2, 16, 1024]) {
    it(`takes no more than twice the memory of a body in chunks of ${chunkBytes} B`, async () => {
      const { exchange, req } = createUpload()
      const read = createBodyReader().read(exchange, 4 * BODY_BYTES)
      const before = await measureUsedBytes()
      for (let sent = 0; sent < BODY_BYTES; sent += chunkBytes) {
        req.write(Buffer.alloc(chunkBytes, 'x'))
        if (sent % 0x8000 === 0) await new Promise(resolve => setImmediate(resolve))
      }
      const takenBytes = await measureUsedBytes() - before
      expect(takenBytes < 2 * BODY_BYTES + NOISE_BYTES ? 0 : takenBytes).toEqual(0)
      req.end()
      expect((await read)).toEqual({ kind: 'read', body: Buffer.alloc(BODY_BYTES, 'x') })
    })
  }

  // Guards against an entry host that exceeds its memory: what was read of a refused body stayed in memory, uncounted, until its caller had sent the rest.
  it('drops what was read of a body that is refused', async () => {
    const reader = createBodyReader()
    const uploads = Array.from({ length: 20 }, createUpload)
    const before = await measureUsedBytes()
    const reads = uploads.map(({ exchange }) => reader.read(exchange, Infinity))
    for (let sent = 0; sent < 8 * BODY_BYTES; sent += BODY_BYTES) {
      for (const { req } of uploads) req.write(Buffer.alloc(BODY_BYTES))
      await new Promise(resolve => setImmediate(resolve))
    }
    const takenBytes = await measureUsedBytes() - before
    expect(takenBytes < MAX_BUFFERED_BODY_BYTES + NOISE_BYTES ? 0 : takenBytes).toEqual(0)
    for (const { req } of uploads) req.end()
    expect((await Promise.all(reads)).some(({ kind }) => kind === 'noRoom')).toEqual(true)
  })

  it('refuses a body that is longer than it may be before it has come', async () => {
    const { exchange, req } = createUpload()
    Object.assign(req, { headers: { 'content-length': String(BODY_BYTES) } })
    expect(await createBodyReader().read(exchange, BODY_BYTES - 1)).toEqual({ kind: 'tooLarge' })
  })

  /** Callers go on sending after their deadline; what they send then must not take room from others. */
  it('does not count what arrives after the read has ended', async () => {
    const reader = createBodyReader()
    const chunk = Buffer.alloc(1024 * 1024)
    for (let sent = 0; sent <= MAX_BUFFERED_BODY_BYTES; sent += chunk.length) {
      const { exchange, req } = createUpload()
      const read = reader.read(exchange, Infinity)
      exchange.interrupt?.()
      expect(await read).toEqual({ kind: 'ended' })
      reader.release(exchange)
      req.write(chunk)
      await new Promise(resolve => setImmediate(resolve))
    }
    const { exchange, req } = createUpload()
    const read = reader.read(exchange, Infinity)
    req.end('x')
    expect((await read).kind).toEqual('read')
  })
})
