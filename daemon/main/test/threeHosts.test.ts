import type { OperatorCall, OperatorReply } from '@catkinferry/core.types'
import type { Config } from '@catkinferry/daemon.config'
import { findFreePort, startFakeEngine, startFakeService, waitFor } from '@catkinferry/testing.fakes'
import type { FakeEngine, FakeService } from '@catkinferry/testing.fakes'
import { expect } from 'earl'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { startHost } from '../src/index.ts'
import type { Daemon } from '../src/index.ts'
import { createFillableDisk } from './fillableDisk.ts'

const HOSTS = ['a-1', 'a-2', 'a-3'] as const
const LOCATION = { zone: 'a', region: 'r' }

describe('three hosts over loopback', () => {
  const daemons = new Map<string, Daemon>()
  const fullHosts = new Set<string>()
  const logLines: string[] = []
  let configs: Config[]
  let folder: string
  let engine: FakeEngine
  let service: FakeService

  async function start (config: Config): Promise<void> {
    daemons.set(config.host, await startHost({ config, writeLog: line => { logLines.push(line) }, fs: createFillableDisk(() => fullHosts.has(config.host)) }))
  }

  function getDaemon (host: string): Daemon {
    const daemon = daemons.get(host)
    if (daemon === undefined) throw new Error(`host ${host} is not running`)
    return daemon
  }

  async function sendOperatorCall (host: string, { kind, ...fields }: OperatorCall): Promise<OperatorReply> {
    const answer = await fetch(`${getDaemon(host).operatorUrl}/operator/v1/${kind}`, { method: 'POST', body: JSON.stringify(fields) })
    return await answer.json() as OperatorReply
  }

  async function complete (host: string): Promise<Response> {
    const body = JSON.stringify({ model: 'greeter', prompt: 'hi', stream: true, max_tokens: 4 })
    return await fetch(`${getDaemon(host).callerUrl}/v1/completions`, { method: 'POST', body })
  }

  async function waitUntilReady (host: string): Promise<void> {
    await waitFor(`${host} is ready`, async () => {
      const answer = await fetch(`${getDaemon(host).callerUrl}/readyz`)
      await answer.text()
      return answer.ok
    })
  }

  before(async () => {
    folder = await mkdtemp(join(tmpdir(), 'three-hosts-'))
    engine = await startFakeEngine({ pool: 'demo', slots: 2 })
    service = await startFakeService()
    const peers: Config['peers'] = []
    for (const host of HOSTS) peers.push({ host, ...LOCATION, address: `127.0.0.1:${await findFreePort()}` })
    configs = peers.map(({ host, address }) => ({
      host,
      ...LOCATION,
      path: `fleet/r/a/k/${host}`,
      group: 'test',
      listen: { caller: '127.0.0.1:0', operator: '127.0.0.1:0', peer: address },
      peers,
      voters: [...HOSTS],
      leaseVoters: [...HOSTS],
      dataFolder: join(folder, host),
      callers: [],
      services: [{ route: 'filings', pathPrefix: '/filings', idempotent: false }],
      endpoints: [
        { endpoint: 'e1', kind: 'engine', ...LOCATION, url: engine.url, pool: 'demo', model: 'demo' },
        { endpoint: 's1', kind: 'service', ...LOCATION, url: service.url, pool: 'filings' }
      ],
      logs: { level: 'info' },
      allowInsecure: false
    }))
    await Promise.all(configs.map(start))
  })

  after(async () => {
    for (const daemon of daemons.values()) daemon.cut()
    await Promise.allSettled([...daemons.values()].map(async daemon => await daemon.stopped))
    await engine.close()
    await service.close()
    await rm(folder, { recursive: true })
  })

  it('applies a change submitted to one host on all hosts', async () => {
    const changes = [
      { path: 'models/demo', expectedRevision: 0, values: { pool: 'demo' } },
      { path: 'models/demo/greeter', expectedRevision: 0, values: { inForce: 'v1' } },
      { path: 'models/demo/greeter/v1', expectedRevision: 0, values: { weightsUri: 'x:y', digest: 'sha256:z' } }
    ]
    const change = { kind: 'settings.change', changeId: 'c1', changes, dryRun: false, deadlineMs: 10_000 } as const
    const first = await sendOperatorCall('a-2', change)
    expect(first).toEqual(expect.subset({ ok: true, body: expect.subset({ revision: 1, repeated: false }) }))
    expect(await sendOperatorCall('a-3', change)).toEqual(expect.subset({ ok: true, body: expect.subset({ revision: 1, repeated: true }) }))
    await Promise.all(HOSTS.map(waitUntilReady))
    for (const host of HOSTS) {
      const answer = await complete(host)
      expect([host, answer.status, (await answer.text()).trimEnd().endsWith('[DONE]')]).toEqual([host, 200, true])
    }
  })

  it('runs a non-idempotent request once per idempotency key, even if it is sent to several hosts', async () => {
    const headers = { 'idempotency-key': '01930000-0000-7000-8000-000000000001'.replace('01930000-0000', Date.now().toString(16).padStart(12, '0').replace(/^(.{8})/, '$1-')) }
    const answers = await Promise.all(HOSTS.map(async host => await fetch(`${getDaemon(host).callerUrl}/filings/7`, { method: 'POST', body: '{"boat":7}', headers })))
    const statuses = answers.map(({ status }) => status)
    expect(statuses.filter(status => status === 200).length).toEqual(3)
    expect(new Set(await Promise.all(answers.map(async answer => await answer.text()))).size).toEqual(1)
    expect([...service.runs]).toEqual([[headers['idempotency-key'], 1]])
  })

  // Guards against a group whose disks were full one after the other and that accepts no change any more, though all have room.
  it('accepts changes while the disk of each host is full in turn, and after that', async () => {
    const submit = async (host: string, name: string): Promise<OperatorReply> => await sendOperatorCall(host, { kind: 'settings.change', changeId: name, changes: [{ path: `models/${name}`, expectedRevision: 0, values: { pool: 'demo' } }], dryRun: false, deadlineMs: 20_000 })
    const waitForLine = async (host: string, text: string): Promise<void> => {
      await waitFor(`the line '${text}' of ${host}`, () => logLines.some(line => line.includes(text) && line.includes(`"${host}"`)))
    }
    for (const [at, host] of HOSTS.entries()) {
      fullHosts.add(host)
      const other = HOSTS[(at + 1) % HOSTS.length] ?? host
      expect([host, await submit(other, `during-${host}`)]).toEqual([host, expect.subset({ ok: true })])
      await waitForLine(host, 'disk write failed')
      const answer = await complete(host)
      expect([host, answer.status, (await answer.text()).trimEnd().endsWith('[DONE]')]).toEqual([host, 200, true])
      fullHosts.delete(host)
      await waitForLine(host, 'the disk accepts writes again')
      expect([host, await submit(host, `after-${host}`)]).toEqual([host, expect.subset({ ok: true })])
    }
  })

  it('continues to serve and to accept changes after one host stops', async () => {
    const daemon = getDaemon('a-1')
    daemon.stop()
    await daemon.stopped
    daemons.delete('a-1')
    for (const host of ['a-2', 'a-3']) {
      const answer = await complete(host)
      expect([host, answer.status, (await answer.text()).trimEnd().endsWith('[DONE]')]).toEqual([host, 200, true])
    }
    const change = { kind: 'settings.change', changeId: 'c2', changes: [{ path: 'fleet', expectedRevision: 0, values: { 'queue.limit': 77 } }], dryRun: false, deadlineMs: 10_000 } as const
    expect(await sendOperatorCall('a-3', change)).toEqual(expect.subset({ ok: true }))
  })

  it('brings a restarted host up to date with the settings that it missed', async () => {
    const config = configs.find(({ host }) => host === 'a-1')
    if (config === undefined) throw new Error('host a-1 has no configuration')
    await start(config)
    await waitUntilReady('a-1')
    const got = await sendOperatorCall('a-1', { kind: 'settings.get', path: 'fleet', effective: false, explain: false, fresh: true })
    expect(got).toEqual(expect.subset({ ok: true, body: expect.subset({ values: { 'queue.limit': 77 } }) }))
    expect((await complete('a-1')).status).toEqual(200)
  })

  it('completes running streams when all hosts stop at once', async () => {
    const streams = await Promise.all(HOSTS.map(complete))
    const all = [...daemons.values()]
    daemons.clear()
    for (const daemon of all) daemon.stop()
    const ends = await Promise.all(streams.map(async stream => [stream.status, (await stream.text()).trimEnd().slice(-400)]))
    await Promise.all(all.map(async daemon => { await daemon.stopped }))
    expect(ends.filter(([status, end]) => status !== 200 || !String(end).endsWith('[DONE]'))).toEqual([])
  })
})
