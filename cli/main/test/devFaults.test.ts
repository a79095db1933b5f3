import type { FakeEngine } from '@catkinferry/testing.fakes'
import { createFakeFaults, startFakeEngine } from '@catkinferry/testing.fakes'
import { expect } from 'earl'
import { after, afterEach, before, describe, it } from 'node:test'
import { createDemoAdapter, startDevHost, waitUntilReady } from '../src/dev.ts'
import type { DevHost } from '../src/dev.ts'
import { runCli } from '../src/index.ts'

const WORDS = 12

interface Answer {
  readonly status: number
  readonly words: readonly string[]
  readonly hasEndMarker: boolean
  readonly error: { readonly code: string, readonly ran: string } | undefined
}

describe('dev host with faulty engines', () => {
  let host: DevHost
  const engines: FakeEngine[] = []

  function parseEvents (status: number, text: string): Answer {
    const error = /\{"error":(\{.*\})\}/.exec(text)?.[1]
    const data = [...text.matchAll(/^data: (\{"id".*\})$/gm)].map(match => JSON.parse(match[1] ?? '') as { choices: { text: string }[] })
    return {
      status,
      words: data.map(({ choices }) => choices[0]?.text.trim() ?? ''),
      hasEndMarker: text.trimEnd().endsWith('data: [DONE]'),
      error: error === undefined ? undefined : JSON.parse(error) as Answer['error']
    }
  }

  async function complete (prompt: string): Promise<Answer> {
    const body = JSON.stringify({ model: 'greeter', prompt, stream: true, max_tokens: WORDS })
    const answer = await fetch(`${host.daemon.callerUrl}/v1/completions`, { method: 'POST', body })
    return parseEvents(answer.status, await answer.text())
  }

  function buildWords (prompt: string): string[] {
    return Array.from({ length: WORDS }, (_, index) => `${prompt}-${index}`)
  }

  /** The words are right, and the answer has either all of them and the end marker, or an error and no end marker. */
  function checkAnswer (prompt: string, answer: Answer): void {
    expect(answer.words).toEqual(buildWords(prompt).slice(0, answer.words.length))
    expect(answer.hasEndMarker).toEqual(answer.error === undefined)
    if (answer.hasEndMarker) expect(answer.words.length).toEqual(WORDS)
  }

  before(async () => {
    for (let index = 0; index < 2; index += 1) engines.push(await startFakeEngine({ pool: 'demo', tokenMs: 2 }))
    host = await startDevHost({ caller: 0, operator: 0 }, engines.map(({ url }) => url))
    await createDemoAdapter(host.daemon.operatorUrl)
    await waitUntilReady(host.daemon.callerUrl)
    const words = ['settings', 'set', 'fleet', 'stream.progressTimeoutMs=300', 'breaker.openMs=100', 'retry.maxAttempts=2']
    await runCli({ words, flags: {}, url: host.daemon.operatorUrl, token: undefined, print: () => undefined, printError: line => { throw new Error(line) } })
  })

  afterEach(() => {
    for (const engine of engines) Object.assign(engine.faults, createFakeFaults())
  })

  after(async () => {
    host.daemon.cut()
    await host.daemon.stopped
    await host.store.dispose()
    await Promise.all(engines.map(async engine => { await engine.close() }))
  })

  it('loads the adapter at another engine when a load fails', async () => {
    if (engines[0] !== undefined) engines[0].faults.loadFails = true
    const answer = await complete('load')
    checkAnswer('load', answer)
    expect(answer.hasEndMarker).toEqual(true)
  })

  it('delivers nothing of an answer that names another attempt or version', async () => {
    for (const engine of engines) engine.faults.crossedAttemptId = 'other.0'
    const crossed = await complete('crossed')
    expect([crossed.words, crossed.hasEndMarker]).toEqual([[], false])
    for (const engine of engines) Object.assign(engine.faults, createFakeFaults(), { wrongVersion: 'v9' })
    const wrong = await complete('wrong')
    expect([wrong.words, wrong.hasEndMarker]).toEqual([[], false])
  })

  it('never sends the end marker for a stream that is cut or falls silent', async () => {
    for (const [fault, prompt] of [['cutAfterChunks', 'cut'], ['silentAfterChunks', 'silent']] as const) {
      for (const engine of engines) Object.assign(engine.faults, createFakeFaults(), { [fault]: 5 })
      const answer = await complete(prompt)
      checkAnswer(prompt, answer)
      expect(answer.error?.ran).toEqual('yes')
    }
  })

  it('serves again after all engines have restarted without adapters', async () => {
    for (const engine of engines) engine.restart()
    const answer = await complete('again')
    checkAnswer('again', answer)
    expect(answer.hasEndMarker).toEqual(true)
  })

  it('has evicted no adapter that a running request was using', () => {
    expect(engines.flatMap(({ runs }) => runs.filter(run => run.evictedWhileRunning))).toEqual([])
  })
})
