import { expect } from 'earl'
import { afterEach, describe, it } from 'node:test'
import { startFakeEngine } from '../src/index.ts'
import type { FakeEngine, FakeEngineOptions } from '../src/index.ts'

let engine: FakeEngine

async function postJson (path: string, body: unknown, headers: Record<string, string> = {}): Promise<Response> {
  return await fetch(engine.url + path, { method: 'POST', body: JSON.stringify(body), headers })
}

async function start (opts: FakeEngineOptions): Promise<void> {
  engine = await startFakeEngine(opts)
}

describe('fake engine', () => {
  afterEach(async () => { await engine.close() })

  it('streams chunks that contain the attempt id and the model, then an end marker', async () => {
    await start({ resident: ['a@1'] })
    const answer = await postJson('/v1/completions', { model: 'a@1', prompt: 'x', stream: true, max_tokens: 3 }, { 'x-catkinferry-attempt': 'r1.0' })
    const events = (await answer.text()).trim().split('\n\n').map(line => line.slice('data: '.length))
    expect(events.length).toEqual(4)
    expect(JSON.parse(events[0] ?? '')).toEqual(expect.subset({ id: 'r1.0', model: 'a@1' }))
    expect(events[3]).toEqual('[DONE]')
    expect(engine.runs).toEqual([{ attemptId: 'r1.0', adapterKey: 'a@1', ended: 'whole', evictedWhileRunning: false }])
  })

  it('refuses requests for an adapter until it is loaded', async () => {
    await start({})
    const body = { model: 'a@1', prompt: 'x', max_tokens: 1 }
    expect((await postJson('/v1/completions', body)).status).toEqual(404)
    expect((await postJson('/v1/load_lora_adapter', { lora_name: 'a@1' })).status).toEqual(200)
    expect((await postJson('/v1/completions', body)).status).toEqual(200)
  })

  it('refuses an outdated fencing token only if it checks fencing tokens', async () => {
    for (const checksFencing of [true, false]) {
      await start({ checksFencing })
      await postJson('/v1/load_lora_adapter', { lora_name: 'a@1' }, { 'x-catkinferry-fencing': '7' })
      const old = await postJson('/v1/unload_lora_adapter', { lora_name: 'a@1' }, { 'x-catkinferry-fencing': '6' })
      expect(old.status).toEqual(checksFencing ? 409 : 200)
      if (checksFencing) await engine.close()
    }
  })

  it('has a new instance id and no resident adapters after a restart', async () => {
    await start({ resident: ['a@1'] })
    const before = await (await fetch(engine.url + '/v1/report')).json() as { instance_id: string }
    engine.restart()
    const after = await (await fetch(engine.url + '/v1/report')).json() as { instance_id: string, resident: string[] }
    expect(after.instance_id === before.instance_id).toEqual(false)
    expect(after.resident).toEqual([])
  })

  it('records that an adapter was evicted while it ran a request', async () => {
    await start({ resident: ['a@1'], faults: { silentAfterChunks: 1 } })
    const answer = await postJson('/v1/completions', { model: 'a@1', prompt: 'x', stream: true })
    await postJson('/v1/unload_lora_adapter', { lora_name: 'a@1' })
    expect(engine.runs[0]?.evictedWhileRunning).toEqual(true)
    await answer.body?.cancel()
  })
})
