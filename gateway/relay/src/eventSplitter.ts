/**
 * Splits a stream of server-sent events into complete events, so that an interrupted stream can be resumed after the last
 * one. The relay creates one for each streamed response of a resumable route.
 */

const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const ID_FIELD = /^id:[ ]?(.*)$/m

export interface EventSplitter {
  /** Returns the bytes of the events that `chunk` completes. */
  readonly add: (chunk: Buffer) => Buffer
  /** Returns and clears the bytes after the last complete event. */
  readonly takeRest: () => Buffer
  /** ID of the last complete event that has one; before the first, the ID that the splitter was created with. */
  readonly getLastEventId: () => string | undefined
}

/** Index after the last blank line; 0 if there is none. */
function findEndOfEvents (bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1
    if (bytes[before] === LINE_FEED) return index + 1
  }
  return 0
}

function readLastId (events: string): string | undefined {
  return events.split(/\r?\n\r?\n/).map(event => ID_FIELD.exec(event)?.[1]?.trim()).findLast(id => id !== undefined)
}

function isAfter (id: string | undefined, last: string): boolean {
  return id === undefined || !(Number(id) <= Number(last))
}

/** Creates a splitter. Events up to `lastEventId`, which the caller already has, are dropped. */
export function createEventSplitter (lastEventId?: string): EventSplitter {
  let rest: Buffer = Buffer.alloc(0)
  let lastId = lastEventId

  function dropDelivered (events: Buffer): Buffer {
    if (lastEventId === undefined) return events
    const text = events.toString('latin1')
    const kept = text.split(/(?<=\n\r?\n)/).filter(event => isAfter(ID_FIELD.exec(event)?.[1]?.trim(), lastEventId)).join('')
    return kept.length === text.length ? events : Buffer.from(kept, 'latin1')
  }

  return {
    add: chunk => {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
      const end = findEndOfEvents(bytes)
      rest = bytes.subarray(end)
      if (end === 0) return Buffer.alloc(0)
      const events = dropDelivered(bytes.subarray(0, end))
      lastId = readLastId(events.toString('latin1')) ?? lastId
      return events
    },
    takeRest: () => {
      const left = rest
      rest = Buffer.alloc(0)
      return left
    },
    getLastEventId: () => lastId
  }
}
