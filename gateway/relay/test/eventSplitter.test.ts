import { expect } from 'earl'
import { describe, it } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { MAX_EVENT_BYTES, MAX_EVENT_ID_BYTES, MAX_REMEMBERED_IDS } from '../src/constants.ts'
import { createDeliveredEvents, createEventSplitter, createIdLimit } from '../src/eventSplitter.ts'
import type { DeliveredEvents, EventSplitter } from '../src/eventSplitter.ts'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function buildEvents (ids: readonly string[]): Buffer {
  return Buffer.from(ids.map(id => `id: ${id}\ndata: ${id}\n\n`).join(''))
}

/** An endpoint that does not know `Last-Event-Id` sends the whole stream again. */
describe('a stream that another endpoint sends again from its start', () => {
  for (const [name, ids] of [['numbers', ['8', '9', '10', '11']], ['texts', ['x-b', 'x-a', 'x-d', 'x-c']]] as const) {
    it(`is delivered once if its event IDs are ${name}`, () => {
      const delivered = createDeliveredEvents()
      const first = createEventSplitter(delivered).add(buildEvents(ids.slice(0, 2)))
      const again = createEventSplitter(delivered, ids[1]).add(buildEvents(ids))
      expect(Buffer.concat([first, again]).toString()).toEqual(buildEvents(ids).toString())
    })
  }

  // Guards against an event that is dropped although its caller does not have it: its ID was rounded to that of the event before.
  for (const [name, ids] of [
    ['numbers above 2^53', ['9007199254740991', '9007199254740992', '9007199254740993', '9007199254740994']],
    ['numbers with many digits', ['99999999999999999998', '99999999999999999999', '100000000000000000000', '100000000000000000001']],
    ['fractions with many digits', ['1767225600.1234567', '1767225600.12345678', '1767225600.12345679', '1767225601']],
    ['a word for a number', ['1', 'Infinity', '2', '3']]
  ] as const) {
    it(`is delivered whole, and once, if its event IDs are ${name}`, () => {
      const delivered = createDeliveredEvents()
      const first = createEventSplitter(delivered).add(buildEvents(ids.slice(0, 2)))
      const again = createEventSplitter(delivered, ids[1]).add(buildEvents(ids))
      expect(Buffer.concat([first, again]).toString()).toEqual(buildEvents(ids).toString())
    })
  }

  // Guards against an event that comes twice: only the first of several events was found, so the stream was resumed after that.
  for (const [name, lineEnd] of [['line feeds', '\n'], ['both', '\r\n'], ['carriage returns', '\r']] as const) {
    it(`is delivered once if its lines end with ${name}`, () => {
      const build = (ids: readonly string[]): Buffer => Buffer.from(buildEvents(ids).toString().replaceAll('\n', lineEnd))
      const delivered = createDeliveredEvents()
      const splitter = createEventSplitter(delivered)
      const first = splitter.add(build(['1', '2']))
      const again = createEventSplitter(delivered, '2').add(build(['1', '2', '3']))
      expect([splitter.getLastEventId(), Buffer.concat([first, again]).toString()]).toEqual(['2', build(['1', '2', '3']).toString()])
    })
  }

  it('is delivered after the event that the caller names', () => {
    const splitter = createEventSplitter(createDeliveredEvents('2'), '2')
    expect([splitter.add(buildEvents(['1', '2', '3'])).toString(), splitter.getLastEventId()]).toEqual([buildEvents(['3']).toString(), '3'])
  })
})

/** `count` events with IDs that are no numbers, of `idBytes` each. */
function addEvents (delivered: DeliveredEvents, count: number, idBytes: number, build = (id: string): Buffer => buildEvents([id])): EventSplitter {
  const splitter = createEventSplitter(delivered)
  for (let index = 0; index < count; index += 1) {
    const events = build(`x-${index}-`.padEnd(idBytes, 'y'))
    expect(splitter.add(events).equals(events)).toEqual(true)
  }
  return splitter
}

describe('a stream whose event IDs', () => {
  // Guards against IDs without end in the memory of the host, in requests and in logs, and against events that come twice as their IDs were not remembered.
  for (const [name, count, idBytes, isResumable] of [
    ['are as long as a request can carry is resumed', 3, MAX_EVENT_ID_BYTES, true],
    ['are longer is delivered unchanged and not resumed', 3, MAX_EVENT_ID_BYTES + 1, false],
    ['are as many as are remembered is resumed', MAX_REMEMBERED_IDS, 16, true],
    ['are more is delivered unchanged and not resumed', MAX_REMEMBERED_IDS + 1, 16, false]
  ] as const) {
    it(name, () => {
      const delivered = createDeliveredEvents()
      const lastId = addEvents(delivered, count, idBytes).getLastEventId()
      expect([delivered.isResumable(), lastId?.length]).toEqual([isResumable, idBytes > MAX_EVENT_ID_BYTES ? undefined : idBytes])
    })
  }

  // Guards against streams that are cut because of their IDs, and against events that come twice: what is remembered stays so.
  it('exceed the limit of all streams is delivered and not resumed', () => {
    const limit = createIdLimit(3)
    const [first, second] = [createDeliveredEvents(undefined, limit), createDeliveredEvents(undefined, limit)]
    addEvents(first, 2, 16)
    addEvents(second, 2, 16)
    expect([first.isResumable(), second.isResumable(), second.has('x-0-'.padEnd(16, 'y'))]).toEqual([true, false, true])
    first.release()
    second.release()
    expect(limit.getHeldBytes()).toEqual(0)
  })

  // Guards against a few bytes of ID that keep the whole text of their event in memory, as a slice of it.
  it('are remembered takes no memory for their data', () => {
    const data = Buffer.from(`data: ${'d'.repeat(64 * 1024)}\n\n`)
    const getHeapBytes = (): number => { collectGarbage(); return process.memoryUsage().heapUsed }
    const before = getHeapBytes()
    const delivered = createDeliveredEvents()
    addEvents(delivered, 200, 20, id => Buffer.concat([Buffer.from(`id: ${id}\n`), data]))
    const heldBytes = getHeapBytes() - before
    expect([delivered.isResumable(), heldBytes < 20 * data.length]).toEqual([true, true])
  })
})

describe('a stream that arrives in small chunks', () => {
  // Guards against a cost that grows with the square of an event: all that had come of it was joined anew with each chunk.
  it('is copied a constant number of times', t => {
    let copiedBytes = 0
    const { concat } = Buffer

    const { copy } = Buffer.prototype
    t.mock.method(Buffer, 'concat', (chunks: Buffer[]) => {
      for (const chunk of chunks) copiedBytes += chunk.length
      return concat(chunks)
    })
    t.mock.method(Buffer.prototype, 'copy', function (this: Buffer, ...args: Parameters<Buffer['copy']>) {
      const copied = copy.apply(this, args)
      copiedBytes += copied
      return copied
    })
    const splitter = createEventSplitter(createDeliveredEvents())
    const chunk = Buffer.alloc(256, 'x')
    for (let bytes = 0; bytes < MAX_EVENT_BYTES; bytes += chunk.length) splitter.add(chunk)
    expect([splitter.add(Buffer.from('\n\n')).length, copiedBytes < 4 * MAX_EVENT_BYTES]).toEqual([MAX_EVENT_BYTES + 2, true])
  })

  // Guards against the end of an event that is not found, as it begins in one chunk and ends in the next.
  for (const lineEnd of ['\n', '\r\n', '\r']) {
    it(`has the same events as in one, with lines that end with ${JSON.stringify(lineEnd)}`, () => {
      const bytes = Buffer.from('id: 1\ndata: a\n\n: b\n\n\ndata: c\ndata\n\nid: 2\n'.replaceAll('\n', lineEnd))
      for (let size = 1; size <= bytes.length; size += 1) {
        const splitter = createEventSplitter(createDeliveredEvents())
        const events: Buffer[] = []
        for (let start = 0; start < bytes.length; start += size) events.push(splitter.add(bytes.subarray(start, start + size)))
        expect([Buffer.concat(events).toString(), splitter.takeRest().toString(), splitter.getLastEventId()]).toEqual([bytes.toString().slice(0, bytes.lastIndexOf('id')), `id: 2${lineEnd}`, '1'])
      }
    })
  }
})
