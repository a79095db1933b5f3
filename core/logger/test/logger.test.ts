import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createLogger } from '../src/index.ts'

function createCollector (): { lines: Record<string, unknown>[], write: (line: string) => void } {
  const lines: Record<string, unknown>[] = []
  return { lines, write: line => { lines.push(JSON.parse(line) as Record<string, unknown>) } }
}

describe('logger', () => {
  it('writes each entry as one line of JSON with level, message and fields', () => {
    const { lines, write } = createCollector()
    const logger = createLogger({ level: 'info', fields: { host: 'a-1' }, write })
    logger.warn('link lost', { step: 'peer.send', peer: 'a-2', requestId: 'r1' })
    expect(lines.length).toEqual(1)
    expect(lines[0]).toEqual(expect.subset({ level: 'warn', message: 'link lost', host: 'a-1', step: 'peer.send', peer: 'a-2', requestId: 'r1' }))
  })

  it('drops entries below its level, which can be changed', () => {
    const { lines, write } = createCollector()
    const logger = createLogger({ level: 'warn', write })
    logger.info('not written')
    logger.setLevel('debug')
    logger.debug('written')
    expect(lines.map(line => line.message)).toEqual(['written'])
  })

  it('writes the name and message of an error in a field', () => {
    const { lines, write } = createCollector()
    createLogger({ level: 'info', write }).error('failed', { cause: new RangeError('too far') })
    expect(lines[0]?.cause).toEqual(expect.subset({ name: 'RangeError', message: 'too far' }))
  })
})
