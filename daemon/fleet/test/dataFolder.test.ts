import { createLogger } from '@catkinferry/core.logger'
import { expect } from 'earl'
import { chmodSync, mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { openDataFolder } from '../src/dataFolder.ts'

function createFixture () {
  const lines: string[] = []
  const folder = mkdtempSync(join(tmpdir(), 'catkinferry-data-'))
  const logger = createLogger({ level: 'info', write: line => lines.push(line) })
  return { folder, lines, open: () => openDataFolder({ folder, host: 'h', group: 'g', logger }) }
}

describe('openDataFolder', () => {
  it('restores the stored state under the same incarnation', async () => {
    const { open } = createFixture()
    const first = await open()
    await first.execute({ kind: 'hardState', writeId: 1, state: { term: 7 } })
    await first.close()
    const second = await open()
    expect([second.stored.hardState.term, second.stored.incarnation]).toEqual([7, first.stored.incarnation])
    await second.close()
  })

  it('moves a damaged folder aside and starts as a new incarnation without a vote', async () => {
    const { folder, lines, open } = createFixture()
    const first = await open()
    await first.execute({ kind: 'hardState', writeId: 1, state: { term: 7, votedFor: 'x' } })
    await first.close()
    const identity = readdirSync(folder).find(name => name.includes('identity'))
    if (identity === undefined) throw new Error('there is no identity file')
    const bytes = readFileSync(join(folder, identity))
    bytes[bytes.length - 1] = (bytes.at(-1) ?? 0) ^ 0xff
    chmodSync(join(folder, identity), 0o600)
    writeFileSync(join(folder, identity), bytes)
    const second = await open()
    expect(second.stored.incarnation === first.stored.incarnation).toEqual(false)
    expect([second.stored.hardState.term, readdirSync(join(folder, 'damaged')).includes(identity), lines.length]).toEqual([0, true, 1])
    await second.close()
    const third = await open()
    expect(third.stored.incarnation).toEqual(second.stored.incarnation)
    await third.close()
  })
})
