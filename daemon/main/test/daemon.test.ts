import { createSystemClock } from '@catkinferry/core.clock'
import { createLogger } from '@catkinferry/core.logger'
import { createMetrics } from '@catkinferry/core.metrics'
import type { Config } from '@catkinferry/daemon.config'
import { startFakeEngine, waitFor } from '@catkinferry/testing.fakes'
import type { FakeEngine } from '@catkinferry/testing.fakes'
import { expect } from 'earl'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { NO_LINKS, startDaemon } from '../src/index.ts'
import type { Daemon } from '../src/index.ts'
import { createRelayingHost } from './relayingHost.ts'

const CONFIG: Config = {
  host: 'a-1',
  zone: 'a',
  region: 'r',
  path: 'fleet/r/a/k/a-1',
  group: 'test',
  listen: { caller: '127.0.0.1:0', operator: '127.0.0.1:0', peer: '127.0.0.1:0' },
  peers: [{ host: 'a-1', zone: 'a', region: 'r', address: '127.0.0.1:0' }],
  voters: ['a-1'],
  leaseVoters: ['a-1'],
  callers: [],
  services: [],
  endpoints: [],
  logs: { level: 'info' },
  allowInsecure: false
}

describe('daemon', () => {
  let engine: FakeEngine
  let daemon: Daemon
  let host: ReturnType<typeof createRelayingHost>
  let lines: string[]

  async function start (): Promise<void> {
    lines = []
    host = createRelayingHost(engine.url)
    const logger = createLogger({ level: 'info', write: line => { lines.push(line) } })
    const metrics = createMetrics({ prefix: '', onError: () => undefined })
    daemon = await startDaemon({ config: CONFIG, clock: createSystemClock(), logger, metrics, host, openLinks: async () => NO_LINKS })
  }

  async function complete (maxTokens: number, signal?: AbortSignal): Promise<Response> {
    const body = JSON.stringify({ model: 'a@1', prompt: 'hello', stream: true, max_tokens: maxTokens })
    return await fetch(daemon.callerUrl + '/v1/completions', { method: 'POST', body, signal })
  }

  beforeEach(async () => {
    engine = await startFakeEngine({ resident: ['a@1'], batchLimit: 64 })
    await start()
  })

  afterEach(async () => {
    daemon.cut()
    await daemon.stopped
    await engine.close()
  })

  it('relays every chunk of many streams in order', async () => {
    const texts = await Promise.all(Array.from({ length: 16 }, async () => await (await complete(50)).text()))
    for (const text of texts) {
      const words = text.trim().split('\n\n').slice(0, -1).map(line => (JSON.parse(line.slice('data: '.length)) as { choices: { text: string }[] }).choices[0]?.text)
      expect(words).toEqual(Array.from({ length: 50 }, (_, index) => `hello-${index} `))
      expect(text.endsWith('data: [DONE]\n\n')).toEqual(true)
    }
  })

  it('cancels the request at the engine when the caller disconnects', async () => {
    const controller = new AbortController()
    const answer = await complete(1_000_000, controller.signal)
    await answer.body?.getReader().read()
    controller.abort()
    await waitFor('the run at the engine is cut', () => engine.runs[0]?.ended === 'cut')
    expect(host.seen.includes('caller.gone')).toEqual(true)
  })

  it('answers operators and stops after the core has stopped', async () => {
    const answer = await fetch(daemon.operatorUrl + '/operator/v1/status', { method: 'POST' })
    expect(await answer.json()).toEqual({ ok: true, body: { kind: 'status' } })
    daemon.stop()
    await daemon.stopped
    expect(lines.some(line => line.includes('"message":"serving"'))).toEqual(true)
  })

  it('closes its peer links when a listener cannot be opened', async () => {
    const conflicting = { ...CONFIG, listen: { ...CONFIG.listen, operator: daemon.operatorUrl.slice('http://'.length) } }
    let closed = 0
    const links = { ...NO_LINKS, close: async () => { closed += 1 } }
    const logger = createLogger({ level: 'error', write: () => undefined })
    const metrics = createMetrics({ prefix: '', onError: () => undefined })
    await expect(startDaemon({ config: conflicting, clock: createSystemClock(), logger, metrics, host, openLinks: async () => links })).toBeRejectedWith('EADDRINUSE')
    expect(closed).toEqual(1)
  })

  it('stops and rejects when the core throws', async () => {
    daemon.cut()
    await daemon.stopped
    host = createRelayingHost(engine.url)
    const broken = { ...host, run: () => { throw new Error('broken') } }
    const logger = createLogger({ level: 'error', write: line => { lines.push(line) } })
    const failed = await startDaemon({ config: CONFIG, clock: createSystemClock(), logger, metrics: createMetrics({ prefix: '', onError: () => undefined }), host: broken, openLinks: async () => NO_LINKS })
    await expect(failed.stopped).toBeRejectedWith('broken')
    expect(lines.some(line => line.includes('host core failed'))).toEqual(true)
  })
})
