import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createDeliveredEvents, createEventSplitter } from '../src/eventSplitter.ts'

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
