import { expect } from 'earl'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { findRequestHistory, parseLogLines } from '../src/explainLogs.ts'
import { runCli } from '../src/runCli.ts'

const LINES = [
  { time: '2026-01-01T00:00:01.000Z', level: 'info', message: 'a load begins', host: 'core-1', step: 'placement', peer: 'e1', adapter: 'm/a', version: 1 },
  { time: '2026-01-01T00:00:01.100Z', level: 'info', message: 'a request is offered', host: 'entry-1', step: 'offer', requestId: 'r1', peer: 'e1', adapter: 'm/a@1' },
  { time: '2026-01-01T00:00:01.200Z', level: 'info', message: 'an endpoint is gone', host: 'entry-1', step: 'endpoints', peer: 'e1' },
  { time: '2026-01-01T00:00:01.250Z', level: 'info', message: 'a request is offered', host: 'entry-1', step: 'offer', requestId: 'r2', peer: 'e1' },
  { time: '2026-01-01T00:00:01.300Z', level: 'info', message: 'a request has ended', host: 'entry-1', step: 'end', requestId: 'r1', status: 502 },
  { time: '2026-01-01T00:00:01.300Z', level: 'warn', message: 'the host was paused', host: 'entry-9', step: 'run' }
]

const TEXT = `some noise\n${LINES.map(line => `  12.5 collector ${JSON.stringify(line)}`).join('\n')}\n{"time":"cut o`

describe('findRequestHistory', () => {
  it('returns the decisions of the request, and the lines about its hosts, endpoints and adapter', () => {
    const history = findRequestHistory(parseLogLines(TEXT), 'r1')
    expect(history?.decisions.map(({ step }) => step)).toEqual(['offer', 'end'])
    expect(history?.circumstances.map(({ message }) => message)).toEqual(['a load begins', 'an endpoint is gone'])
  })

  it('returns undefined for a request that no line names', () => {
    expect(findRequestHistory(parseLogLines(TEXT), 'r9')).toEqual(undefined)
  })
})

describe('explain --file', () => {
  const file = join(mkdtempSync(join(tmpdir(), 'catkinferry-explain-')), 'log')
  writeFileSync(file, TEXT)

  async function run (id: string, flags: { json?: boolean } = {}): Promise<{ code: number, out: string, err: string }> {
    let out = ''
    let err = ''
    const code = await runCli({ words: ['explain', id], flags: { file, ...flags }, url: 'http://127.0.0.1:1', token: undefined, print: line => { out += line }, printError: line => { err += line } })
    return { code, out, err }
  }

  it('prints the history as text and as JSON', async () => {
    expect((await run('r1')).out.includes('status=502')).toEqual(true)
    expect((JSON.parse((await run('r1', { json: true })).out) as { decisions: unknown[] }).decisions.length).toEqual(2)
  })

  it('fails with a message if no line names the request', async () => {
    const { code, err } = await run('r9')
    expect([code === 0, err.includes('no line of')]).toEqual([false, true])
  })
})
