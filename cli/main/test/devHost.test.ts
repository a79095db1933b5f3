import type { CliFlags } from '../src/commandContext.ts'
import { createFileOperations } from '@catkinferry/consensus.durable-log'
import type { FileOperations } from '@catkinferry/consensus.durable-log'
import { expect } from 'earl'
import { after, before, describe, it } from 'node:test'
import { createDemoAdapter, runDev, startDevHost, waitUntilReady } from '../src/dev.ts'
import type { DevHost } from '../src/dev.ts'
import { sendFirstRequest } from '../src/firstRequest.ts'
import { ExitCode, runCli } from '../src/index.ts'

// Guards against a stack trace in place of what is wrong.
it('ends with one line that names the folder if the disk has no room for its data', async () => {
  const lines: string[] = []
  const createFile: FileOperations['createFile'] = () => Promise.reject(Object.assign(new Error('ENOSPC: no space left on device, open'), { code: 'ENOSPC' }))
  const code = await runDev({ once: true, print: line => { lines.push(line) }, fs: { ...createFileOperations(), createFile } })
  expect([code, lines.length]).toEqual([ExitCode.REFUSED, 1])
  expect(lines[0]).toEqual(expect.regex(/^the data folder '.*\/data' cannot be opened: the disk is full \(ENOSPC\)/))
})

describe('dev host', () => {
  let host: DevHost
  let stopped = false
  const out: string[] = []

  async function runCommand (words: string, flags: CliFlags = {}): Promise<number> {
    out.length = 0
    const print = (line: string): void => { out.push(line) }
    return await runCli({ words: words.split(' '), flags: { json: true, ...flags }, url: host.daemon.operatorUrl, token: undefined, print, printError: print })
  }

  async function post (path: string, body: unknown): Promise<Response> {
    return await fetch(host.daemon.callerUrl + path, { method: 'POST', body: JSON.stringify(body) })
  }

  before(async () => {
    host = await startDevHost({ caller: 0, operator: 0 })
    await createDemoAdapter(host.daemon.operatorUrl)
    await waitUntilReady(host.daemon.callerUrl)
  })

  after(async () => {
    if (!stopped) host.daemon.cut()
    await host.daemon.stopped
    await host.store.dispose()
  })

  it('answers a streamed request with the adapter and version in force', async () => {
    const answer = await sendFirstRequest(host.daemon.callerUrl, 'greeter')
    expect([answer.adapter, answer.version, answer.text.split(' ').length]).toEqual(['greeter', 'v1', 12])
  })

  it('answers a chat completion of a named version without streaming', async () => {
    const answer = await post('/v1/chat/completions', { model: 'greeter@v1', messages: [{ role: 'user', content: 'hello' }], max_tokens: 3 })
    const body = await answer.json() as { model: string, choices: { message: { content: string } }[] }
    expect([answer.status, body.model, body.choices[0]?.message.content]).toEqual([200, 'greeter@v1', 'hello-0 hello-1 hello-2 '])
  })

  it('refuses unknown adapters and versions, and reports that the request did not run', async () => {
    for (const model of ['nobody', 'greeter@v9']) {
      const answer = await post('/v1/completions', { model, prompt: 'x' })
      const { error } = await answer.json() as { error: { ran: string } }
      expect([answer.status, error.ran]).toEqual([404, 'no'])
    }
  })

  it('lists changes in the audit trail and refuses one at an old revision', async () => {
    expect(await runCommand('settings set fleet queue.limit=50')).toEqual(ExitCode.OK)
    expect(await runCommand('settings get fleet', { effective: true })).toEqual(ExitCode.OK)
    const node = JSON.parse(out[0] ?? '') as { values: unknown, effective: { key: string, value: unknown }[] }
    expect(node.values).toEqual({ 'queue.limit': 50 })
    expect(node.effective.find(({ key }) => key === 'queue.limit')?.value).toEqual(50)
    expect(await runCommand('adapters create demo/greeter')).toEqual(ExitCode.CONFLICT)
    expect(await runCommand('audit')).toEqual(ExitCode.OK)
    const { entries } = JSON.parse(out[0] ?? '') as { entries: { outcome: string }[] }
    expect(entries.map(({ outcome }) => outcome)).toEqual(['accepted', 'accepted', 'refused'])
  })

  it('completes a running stream before it stops', async () => {
    const stream = await post('/v1/completions', { model: 'greeter', prompt: 'bye', stream: true, max_tokens: 20 })
    stopped = true
    host.daemon.stop()
    const text = await stream.text()
    expect(text.trimEnd().endsWith('data: [DONE]')).toEqual(true)
    expect(text.match(/bye-/g)?.length).toEqual(20)
    await host.daemon.stopped
  })
})
