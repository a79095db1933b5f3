/** Writes log lines to a file descriptor without ever blocking; what does not fit is dropped and counted. */
import { write } from 'node:fs'

export interface LineWriter {
  readonly write: (line: string) => void
  /** Lines dropped so far. */
  readonly getDropped: () => number
  /** Writes what is left; resolves when it is written, fails or has taken too long. */
  readonly close: () => Promise<void>
}

export interface LineWriterOptions {
  readonly descriptor: number
  /** Bytes that wait at most. */
  readonly maxBytes: number
  readonly flushIntervalMs: number
}

const CLOSE_TIMEOUT_MS = 200

/** Creates a writer. Writes run in the thread pool, one at a time. */
export function createLineWriter (opts: LineWriterOptions): LineWriter {
  let lines: string[] = []
  let waitingBytes = 0
  let writing = false
  let dropped = 0
  let reportedDropped = 0
  let timer: NodeJS.Timeout | undefined
  let onIdle: (() => void) | undefined

  function takeText (): string {
    if (dropped > reportedDropped) {
      lines.push(JSON.stringify({ time: new Date().toISOString(), level: 'warn', message: 'log lines were dropped', step: 'log', dropped: dropped - reportedDropped }) + '\n')
      reportedDropped = dropped
    }
    const text = lines.join('')
    lines = []
    waitingBytes = 0
    return text
  }

  function writeAll (bytes: Buffer): void {
    write(opts.descriptor, bytes, 0, bytes.length, null, (error, written) => {
      const isPassing = error?.code === 'EAGAIN'
      if (isPassing) setTimeout(() => writeAll(bytes), opts.flushIntervalMs).unref()
      else if (error === null && written < bytes.length) writeAll(bytes.subarray(written))
      else finishWrite()
    })
  }

  function finishWrite (): void {
    writing = false
    if (lines.length > 0) writeWaiting()
    else onIdle?.()
  }

  function writeWaiting (): void {
    clearTimeout(timer)
    timer = undefined
    if (writing || lines.length === 0) return
    writing = true
    writeAll(Buffer.from(takeText()))
  }

  return {
    write: line => {
      if (waitingBytes + line.length > opts.maxBytes) {
        dropped += 1
        return
      }
      lines.push(line)
      waitingBytes += line.length
      timer ??= setTimeout(writeWaiting, opts.flushIntervalMs)
    },
    getDropped: () => dropped,
    close: () => new Promise(resolve => {
      const limit = setTimeout(resolve, CLOSE_TIMEOUT_MS)
      onIdle = () => {
        clearTimeout(limit)
        resolve()
      }
      writeWaiting()
      if (!writing) onIdle()
    })
  }
}
