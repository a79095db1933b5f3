/** Writes log lines to a file descriptor without blocking the process; lines that exceed the buffer limit or cannot be written are dropped and counted. */
import { write } from 'node:fs'

export interface LineWriter {
  readonly write: (line: string) => void
  /** Lines dropped so far. */
  readonly getDropped: () => number
  /** Writes the buffered lines; resolves when they are written, when writing fails or after a timeout. */
  readonly close: () => Promise<void>
}

export interface LineWriterOptions {
  readonly descriptor: number
  /** Maximum size of the buffered lines, as written. */
  readonly maxBytes: number
  readonly flushIntervalMs: number
}

/** Longest time that `close` waits for the last write. */
const CLOSE_TIMEOUT_MS = 200

/** Creates a writer. Writes run in the thread pool of Node.js, one at a time. */
export function createLineWriter (opts: LineWriterOptions): LineWriter {
  let lines: string[] = []
  let bufferedBytes = 0
  let writing = false
  let dropped = 0
  let reportedDropped = 0
  let timer: NodeJS.Timeout | undefined
  let onIdle: (() => void) | undefined

  function takeBuffered (): string {
    if (dropped > reportedDropped) {
      lines.push(JSON.stringify({ time: new Date().toISOString(), level: 'warn', message: 'log lines were dropped', step: 'log', dropped: dropped - reportedDropped }) + '\n')
      reportedDropped = dropped
    }
    const text = lines.join('')
    lines = []
    bufferedBytes = 0
    return text
  }

  function writeAll (bytes: Buffer, onLost: () => void): void {
    write(opts.descriptor, bytes, 0, bytes.length, null, (error, written) => {
      const isTemporary = error?.code === 'EAGAIN'
      if (isTemporary) setTimeout(() => writeAll(bytes, onLost), opts.flushIntervalMs).unref()
      else if (error === null && written < bytes.length) writeAll(bytes.subarray(written), onLost)
      else {
        if (error !== null) onLost()
        finishWrite()
      }
    })
  }

  function finishWrite (): void {
    writing = false
    if (lines.length > 0) writeBuffered()
    else onIdle?.()
  }

  function writeBuffered (): void {
    clearTimeout(timer)
    timer = undefined
    if (writing || lines.length === 0) return
    writing = true
    const { length } = lines
    const reportedBefore = reportedDropped
    writeAll(Buffer.from(takeBuffered()), () => {
      dropped += length
      reportedDropped = reportedBefore
    })
  }

  return {
    write: line => {
      const bytes = Buffer.byteLength(line)
      if (bufferedBytes + bytes > opts.maxBytes) {
        dropped += 1
        return
      }
      lines.push(line)
      bufferedBytes += bytes
      timer ??= setTimeout(writeBuffered, opts.flushIntervalMs)
    },
    getDropped: () => dropped,
    close: () => new Promise(resolve => {
      const timeout = setTimeout(resolve, CLOSE_TIMEOUT_MS)
      onIdle = () => {
        clearTimeout(timeout)
        resolve()
      }
      writeBuffered()
      if (!writing) onIdle()
    })
  }
}
