/**
 * Splits a stream of server-sent events into complete events, so that a stream that is broken off inside an event does not look
 * complete, and can be resumed after the last one. The relay creates one for each stream that it forwards.
 */
import { hash } from 'node:crypto'
import { MAX_EVENT_ID_BYTES, MAX_REMEMBERED_IDS, MAX_REMEMBERED_IDS_IN_ALL, REMEMBERED_ID_BYTES } from './constants.ts'

const LINE_FEED = 10
const CARRIAGE_RETURN = 13
/** Factor by which a buffer that is full grows. */
const GROWTH = 2
/** The end of an event and the position after it. Lines end with a line feed, a carriage return or both. */
const EVENT_END = /(?:\r\n|\n|\r(?!\n)){2}/
const AFTER_EVENT = /(?<=(?:\r\n|\n|\r(?!\n)){2})/
const ID_FIELD = /^id:[ ]?(.*)$/m
const DATA_FIELD = /^data(?::|$)/m
const LINE_END = /\r\n|\n|\r/
/** A line of an event stream: a field, a comment, or the blank line after an event. */
const EVENT_LINE = /^(?:id|data|event|retry)?(?::|$)/
/** The value of a header (RFC 9110, section 5.5). */
const HEADER_VALUE = /^[\t\u0020-\u007e\u0080-\u00ff]*$/

export interface EventSplitter {
  /** Returns the bytes of the events that `chunk` completes. */
  readonly add: (chunk: Buffer) => Buffer
  /** Returns and clears the bytes after the last complete event. */
  readonly takeRest: () => Buffer
  /** Bytes after the last complete event. */
  readonly getOpenBytes: () => number
  /** Bytes in memory for the open event. */
  readonly getHeldBytes: () => number
  /** Whether the bytes so far end inside an event. */
  readonly isInsideEvent: () => boolean
  readonly hasEvents: () => boolean
  /** Whether the endpoint has sent the stream again from an earlier event, and not yet the last one that the caller has. */
  readonly isBehind: () => boolean
  /** Whether the first bytes with the end of an event have text that is none. Always false if the type of the stream is known. */
  readonly hasOtherText: () => boolean
  /** ID of the last complete event that has one that a request can name; before the first, the ID that the splitter was created with. */
  readonly getLastEventId: () => string | undefined
}

/** Index in `chunk` after the last blank line that ends there; 0 if there is none. `earlier`: the bytes before the chunk. */
function findEndOfEvents (chunk: Buffer, earlier: Buffer): number {
  const getByte = (index: number): number | undefined => index < 0 ? earlier.at(index) : chunk[index]
  for (let index = chunk.length - 1; index >= 0; index -= 1) {
    const byte = chunk[index]
    if (byte === CARRIAGE_RETURN && getByte(index - 1) === CARRIAGE_RETURN) return index + 1
    if (byte !== LINE_FEED) continue
    const before = getByte(index - 1) === CARRIAGE_RETURN ? index - 2 : index - 1
    if (getByte(before) === LINE_FEED) return index + 1
  }
  return 0
}

/** Bytes that grow by small chunks, each copied a constant number of times, without a reference to the chunks. */
interface GrowingBytes {
  readonly append: (chunk: Buffer) => void
  readonly get: () => Buffer
  /** Bytes in memory. */
  readonly getCapacity: () => number
  /** Returns and clears the bytes. */
  readonly take: () => Buffer
}

function createGrowingBytes (): GrowingBytes {
  let buffer: Buffer = Buffer.alloc(0)
  let length = 0
  return {
    append: chunk => {
      if (length + chunk.length > buffer.length) {
        const grown = Buffer.allocUnsafeSlow(Math.max(GROWTH * buffer.length, length + chunk.length))
        buffer.copy(grown, 0, 0, length)
        buffer = grown
      }
      chunk.copy(buffer, length)
      length += chunk.length
    },
    get: () => buffer.subarray(0, length),
    getCapacity: () => buffer.length,
    take: () => {
      const bytes = buffer.subarray(0, length)
      buffer = Buffer.alloc(0)
      length = 0
      return bytes
    }
  }
}

/** The events of a stream that its caller has. Kept for the whole request, over all endpoints that continue the stream. */
export interface DeliveredEvents {
  readonly has: (id: string) => boolean
  /** An event without an id is added as undefined. */
  readonly add: (id: string | undefined) => void
  /** Whether the stream can be resumed after its last event: a request can name that event, and all events with an id are remembered. */
  readonly isResumable: () => boolean
  /** Gives back what the events took of the limit of all streams. */
  readonly release: () => void
}

/** Limit on the event IDs that are remembered for all streams together. */
export interface IdLimit {
  readonly tryTake: () => boolean
  readonly release: (count: number) => void
  readonly getHeldBytes: () => number
}

/** Nothing gives way at the limit: what is remembered keeps events from coming twice in a stream that goes on. */
export function createIdLimit (maxIds = MAX_REMEMBERED_IDS_IN_ALL): IdLimit {
  let count = 0
  return {
    tryTake: () => {
      if (count >= maxIds) return false
      count += 1
      return true
    },
    release: released => { count -= released },
    getHeldBytes: () => count * REMEMBERED_ID_BYTES
  }
}

function computeDigest (id: string): string {
  return hash('sha256', id, 'base64url')
}

/** A copy that is no slice of the text that it was found in, which it would keep in memory. */
function copyText (text: string | undefined): string | undefined {
  return text === undefined ? undefined : Buffer.from(text, 'latin1').toString('latin1')
}

/** Whether a request can name the event with this id, and the relay remembers it. */
function isUsableId (id: string): boolean {
  return id.length <= MAX_EVENT_ID_BYTES && HEADER_VALUE.test(id)
}

const DECIMAL = /^(-?\d+|\d+\.\d+)$/

/** An event ID that is a number, in a form that compares exactly: doubles round numbers above 2^53, and fractions of 16 digits. */
interface NumericId {
  readonly whole: bigint | number
  /** Digits behind the point, without zeros at their end. */
  readonly fraction: string
}

function parseNumericId (id: string): NumericId | undefined {
  // A caller or endpoint may send any number of digits, whose conversion takes more than linear time.
  if (id.length > MAX_EVENT_ID_BYTES) return undefined
  if (!DECIMAL.test(id)) return Number.isFinite(Number(id)) ? { whole: Number(id), fraction: '' } : undefined
  const [whole = '', fraction = ''] = id.split('.')
  return { whole: BigInt(whole), fraction: fraction.replace(/0+$/, '') }
}

function isAtMost (left: NumericId, right: NumericId): boolean {
  return left.whole < right.whole || (left.whole <= right.whole && left.fraction <= right.fraction)
}

/**
 * `lastEventId`: last event that the caller has from an earlier request. Numeric IDs increase; others are compared one by one, by
 * their digests: an ID may be a slice of a text, which it would keep in memory.
 */
export function createDeliveredEvents (lastEventId?: string, limit = createIdLimit()): DeliveredEvents {
  const digests = new Set<string>()
  let takenCount = 0
  let lastNumber: NumericId = { whole: Number.NEGATIVE_INFINITY, fraction: '' }
  let endsWithId = true
  let isComplete = true
  const addNumber = (id: string): boolean => {
    const number = parseNumericId(id)
    if (number === undefined) return false
    if (!isAtMost(number, lastNumber)) lastNumber = { ...number, fraction: copyText(number.fraction) ?? '' }
    return true
  }
  const remember = (id: string): void => {
    if (addNumber(id)) return
    if (isComplete && takenCount < MAX_REMEMBERED_IDS && limit.tryTake()) {
      takenCount += 1
      digests.add(computeDigest(id))
    } else isComplete = false
  }
  // Came in a header, so a header can carry it.
  if (lastEventId !== undefined && !addNumber(lastEventId)) digests.add(computeDigest(lastEventId))
  return {
    add: id => {
      endsWithId = id !== undefined
      if (id === undefined) return
      if (isUsableId(id)) remember(id)
      else isComplete = false
    },
    has: id => {
      const number = parseNumericId(id)
      return number === undefined ? digests.size > 0 && digests.has(computeDigest(id)) : isAtMost(number, lastNumber)
    },
    isResumable: () => endsWithId && isComplete,
    release: () => {
      limit.release(takenCount)
      takenCount = 0
    }
  }
}

/** IDs of the events, undefined for those that have data and no ID. What has neither, such as a comment, is no event. */
function listIds (events: string): Array<string | undefined> {
  const blocks = events.split(EVENT_END).map(text => ({ text, id: ID_FIELD.exec(text)?.[1]?.trim() }))
  return blocks.filter(({ text, id }) => id !== undefined || DATA_FIELD.test(text)).map(({ id }) => id)
}

/** What has an ID is an event, whatever else it has; text without one must consist of lines of events. */
function hasOnlyEvents (text: string): boolean {
  return text.split(EVENT_END).every(block => ID_FIELD.test(block) || block.split(LINE_END).every(line => EVENT_LINE.test(line)))
}

function isLineEnd (byte: number): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN
}

/** Creates a splitter for the response of one endpoint. Events in `delivered` at its start, which the caller already has, are dropped; undefined where a stream is not resumed. `isTypeKnown`: the response states that it is a stream of events. */
export function createEventSplitter (delivered: DeliveredEvents | undefined, lastEventId?: string, isTypeKnown = true): EventSplitter {
  const rest = createGrowingBytes()
  let lastId = lastEventId
  let hasEvents = false
  let hasOtherText = false
  let isBehind = false

  function dropDelivered (events: Buffer, delivered: DeliveredEvents): Buffer {
    const text = events.toString('latin1')
    const kept = text.split(AFTER_EVENT).filter(event => {
      const id = ID_FIELD.exec(event)?.[1]?.trim()
      const isDropped = id !== undefined && delivered.has(id)
      if (id !== undefined) isBehind = isDropped && id !== lastEventId
      return !isDropped
    }).join('')
    return kept.length === text.length ? events : Buffer.from(kept, 'latin1')
  }

  function completeEvents (end: Buffer): Buffer {
    if (rest.get().length === 0) return end
    rest.append(end)
    return rest.take()
  }

  return {
    add: chunk => {
      const end = findEndOfEvents(chunk, rest.get())
      if (end === 0) {
        rest.append(chunk)
        return Buffer.alloc(0)
      }
      const bytes = completeEvents(chunk.subarray(0, end))
      rest.append(chunk.subarray(end))
      if (!hasEvents && !isTypeKnown) hasOtherText = !hasOnlyEvents(bytes.toString('latin1'))
      hasEvents = true
      if (delivered === undefined || hasOtherText) return bytes
      const events = dropDelivered(bytes, delivered)
      const ids = listIds(events.toString('latin1'))
      for (const id of ids) delivered.add(id)
      lastId = copyText(ids.findLast(id => id !== undefined && isUsableId(id))) ?? lastId
      return events
    },
    takeRest: rest.take,
    getOpenBytes: () => rest.get().length,
    getHeldBytes: rest.getCapacity,
    isInsideEvent: () => !rest.get().every(isLineEnd),
    hasEvents: () => hasEvents,
    isBehind: () => isBehind,
    hasOtherText: () => hasOtherText,
    getLastEventId: () => lastId
  }
}
