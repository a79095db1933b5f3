import type { OperatorReply } from '@catkinferry/core.types'
import { expect } from 'earl'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ExitCode, runCli } from '../src/index.ts'

interface ReceivedRequest {
  readonly kind: string
  readonly body: Record<string, unknown>
  readonly authorization: string | undefined
}

describe('command line', () => {
  let server: Server
  let url: string
  let folder: string
  let received: ReceivedRequest[]
  let replies: Record<string, OperatorReply | 'lost'>
  let out: string[]
  let errors: string[]

  beforeEach(async () => {
    received = []
    out = []
    errors = []
    replies = { 'settings.get': { ok: true, body: { revision: 7, exists: true, values: { 'queue.limit': 5, 'caller.burst': 1 } } }, 'settings.change': { ok: true, body: { revision: 8 } } }
    folder = mkdtempSync(join(tmpdir(), 'cli-'))
    server = createServer((req, res) => {
      let text = ''
      req.on('data', part => { text += String(part) })
      req.on('end', () => {
        const kind = req.url?.split('/').at(-1) ?? ''
        received.push({ kind, body: JSON.parse(text) as Record<string, unknown>, authorization: req.headers.authorization })
        const reply = replies[kind]
        if (reply === 'lost' || reply === undefined) res.destroy()
        else res.end(JSON.stringify(reply))
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
    rmSync(folder, { recursive: true })
  })

  async function run (words: string, flags: Record<string, unknown> = {}): Promise<number> {
    return await runCli({ words: words.split(' '), flags, url, token: 't.s', print: line => { out.push(line) }, printError: line => { errors.push(line) } })
  }

  it('sets keys at the revision that it has read, and sends the token', async () => {
    expect(await run('settings set fleet queue.limit=9 hedge.enabled=true')).toEqual(ExitCode.OK)
    expect(received[1]?.body).toEqual(expect.subset({ changes: [{ path: 'fleet', expectedRevision: 7, values: { 'queue.limit': 9, 'hedge.enabled': true } }] }))
    expect(received[1]?.authorization).toEqual('Bearer t.s')
  })

  it('applies a file as one change, which unsets the keys that the file omits', async () => {
    const file = join(folder, 'nodes.yaml')
    writeFileSync(file, 'fleet:\n  queue.limit: 6\nfleet/amman: null\n')
    expect(await run('settings apply', { file, changeId: 'c9' })).toEqual(ExitCode.OK)
    const changes = [{ path: 'fleet', expectedRevision: 7, values: { 'queue.limit': 6 }, unset: ['caller.burst'] }, { path: 'fleet/amman', expectedRevision: 7, remove: true }]
    expect(received.at(-1)?.body).toEqual(expect.subset({ changeId: 'c9', changes }))
  })

  it('exits with its own code and prints the change id when the answer is lost', async () => {
    replies['settings.change'] = 'lost'
    expect(await run('versions activate m/a/v2')).toEqual(ExitCode.OUTCOME_UNKNOWN)
    const { changeId } = received.at(-1)?.body as { changeId: string }
    expect(errors.join('\n').includes(`--change-id ${changeId} --expect 7`)).toEqual(true)
  })

  it('exits with different codes for a conflict, a refusal, an unreachable host and invalid arguments', async () => {
    const failure = { code: 'ERR_CATKINFERRY_CONFLICT', message: 'revision is 8', step: 'change' } as const
    replies['settings.change'] = { ok: false, outcome: 'refused', failure, body: { current: { revision: 8 } } }
    expect(await run('settings set fleet queue.limit=9', { expect: 7 })).toEqual(ExitCode.CONFLICT)
    replies.status = { ok: false, outcome: 'refused', failure: { ...failure, code: 'ERR_CATKINFERRY_FORBIDDEN' } }
    expect(await run('status')).toEqual(ExitCode.REFUSED)
    expect(await run('settings set')).toEqual(ExitCode.BAD_ARGUMENT)
    expect(await run('nonsense')).toEqual(ExitCode.BAD_ARGUMENT)
    url = 'http://127.0.0.1:1'
    expect(await run('status')).toEqual(ExitCode.UNREACHABLE)
    expect(await run('settings set fleet queue.limit=9', { expect: 7 })).toEqual(ExitCode.UNREACHABLE)
  })

  it('prints tables, or JSON with --json', async () => {
    replies['endpoints.list'] = { ok: true, body: [{ endpoint: 'e1', running: 2 }, { endpoint: 'engine-2', running: 0 }] }
    await run('endpoints')
    await run('endpoints', { json: true })
    expect(out).toEqual(['endpoint  running\ne1        2\nengine-2  0', '[{"endpoint":"e1","running":2},{"endpoint":"engine-2","running":0}]'])
  })

  it('exports the audit trail page by page as JSON lines', async () => {
    replies['audit.list'] = { ok: true, body: { entries: [{ sequence: 1 }, { sequence: 2 }], nextAfter: 2, lastSequence: 2 } }
    expect(await run('audit', { export: true })).toEqual(ExitCode.OK)
    expect(out).toEqual(['{"sequence":1}', '{"sequence":2}'])
  })
})
