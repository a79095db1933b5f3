import { createLineWriter } from '@catkinferry/core.logger'
import { expect } from 'earl'
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'

describe('createLineWriter', () => {
  const children: ChildProcess[] = []
  after(() => { for (const child of children) child.kill('SIGKILL') })

  it('writes whole lines in order', async () => {
    const file = join(mkdtempSync(join(tmpdir(), 'catkinferry-lines-')), 'log')
    const writer = createLineWriter({ descriptor: openSync(file, 'w'), maxBytes: 10_000, flushIntervalMs: 5 })
    for (let index = 0; index < 100; index += 1) writer.write(`${index}\n`)
    await writer.close()
    expect(readFileSync(file, 'utf8').trim().split('\n').map(Number)).toEqual(Array.from({ length: 100 }, (_, index) => index))
  })

  it('counts the bytes of a line as written, not its characters', () => {
    const file = join(mkdtempSync(join(tmpdir(), 'catkinferry-lines-')), 'log')
    const writer = createLineWriter({ descriptor: openSync(file, 'w'), maxBytes: 40, flushIntervalMs: 5 })
    for (let count = 0; count < 3; count += 1) writer.write('ççççççççç\n')
    expect(writer.getDropped()).toEqual(1)
  })

  // Guards against lines that are lost uncounted while the disk of the log is full.
  it('counts the lines that a full disk did not take, and does not fail', async () => {
    const writer = createLineWriter({ descriptor: openSync('/dev/full', 'w'), maxBytes: 1_000, flushIntervalMs: 5 })
    for (let count = 0; count < 3; count += 1) writer.write('line\n')
    await writer.close()
    expect(writer.getDropped()).toEqual(3)
  })

  it('neither blocks nor exceeds its buffer when nobody reads, and counts the dropped lines', async () => {
    const child = spawn(process.execPath, ['-e', 'setInterval(() => undefined, 1000)'], { stdio: ['pipe', 'ignore', 'ignore'] })
    children.push(child)
    const { fd } = (child.stdin as unknown as { _handle: { fd: number } })._handle
    const writer = createLineWriter({ descriptor: fd, maxBytes: 50_000, flushIntervalMs: 5 })
    const line = `${'x'.repeat(999)}\n`
    let longestMs = 0
    for (let round = 0; round < 50; round += 1) {
      const startedAt = performance.now()
      for (let count = 0; count < 100; count += 1) writer.write(line)
      longestMs = Math.max(longestMs, performance.now() - startedAt)
      await sleep(5)
    }
    expect(writer.getDropped() > 3_000).toEqual(true)
    expect(longestMs < 200).toEqual(true)
  })
})
