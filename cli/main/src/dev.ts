/** `catkinferry dev`: runs one host that is its own voter, with two fake engines and data in a temporary folder. Tests start this host too. */
import { mkdtemp, open, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import type { FileOperations } from '@catkinferry/consensus.durable-log'
import { createLineWriter } from '@catkinferry/core.logger'
import { createDisposableStore } from '@catkinferry/core.tables'
import type { DisposableStore } from '@catkinferry/core.tables'
import type { Config } from '@catkinferry/daemon.config'
import { startHost } from '@catkinferry/daemon.main'
import type { Daemon } from '@catkinferry/daemon.main'
import { createFakeStore, startFakeEngine } from '@catkinferry/testing.fakes'
import { createOperatorClient } from './operatorClient.ts'
import { ExitCode } from './exitCode.ts'
import { sendFirstRequest } from './firstRequest.ts'
import type { FirstAnswer } from './firstRequest.ts'

export interface DevOptions {
  /** Stops after the first answer. */
  readonly once: boolean
  readonly print: (line: string) => void
  /** File operations of the data folder; tests inject failures of the disk. */
  readonly fs?: FileOperations
}

/** Ports of the development host; 0 picks a free one. */
export interface DevPorts {
  readonly caller: number
  readonly operator: number
}

export interface DevHost {
  readonly daemon: Daemon
  readonly folder: string
  readonly store: DisposableStore
}

const MODEL = 'demo'
const ADAPTER = 'greeter'
const VERSION = 'v1'
const POOL = 'demo'
const ENGINE_COUNT = 2
const TOKEN_INTERVAL_MS = 20
const WEIGHTS_FETCH_MS = 250
const READY_TIMEOUT_MS = 20_000
const READY_POLL_INTERVAL_MS = 50
const CHANGE_DEADLINE_MS = 10_000
/** Bytes of log lines that wait to be written; further lines are dropped. */
const MAX_LOG_BYTES = 1024 * 1024
/** How long lines are collected for one write. */
const LOG_FLUSH_MS = 100
const DEFAULT_PORTS: DevPorts = { caller: 8080, operator: 8081 }

function buildConfig (opts: { readonly folder: string, readonly urls: readonly string[], readonly ports: DevPorts }): Config {
  const location = { zone: 'dev-a', region: 'dev' }
  return {
    host: 'dev-a-1',
    ...location,
    path: 'fleet/dev/dev-a/rack-1/dev-a-1',
    group: 'dev',
    listen: { caller: `127.0.0.1:${opts.ports.caller}`, operator: `127.0.0.1:${opts.ports.operator}`, peer: '127.0.0.1:0' },
    peers: [{ host: 'dev-a-1', ...location, address: '127.0.0.1:0' }],
    voters: ['dev-a-1'],
    leaseVoters: ['dev-a-1'],
    dataFolder: join(opts.folder, 'data'),
    callers: [],
    services: [],
    endpoints: opts.urls.map((url, index) => ({ endpoint: `engine-${index + 1}`, kind: 'engine', ...location, url, pool: POOL, model: MODEL })),
    logs: { level: 'info' },
    allowInsecure: false
  }
}

async function startEngines (store: DisposableStore): Promise<string[]> {
  const weights = createFakeStore({ fetchMs: WEIGHTS_FETCH_MS, fullSpeedInFlight: 2 })
  const urls: string[] = []
  for (let index = 0; index < ENGINE_COUNT; index += 1) {
    const engine = await startFakeEngine({ pool: POOL, tokenMs: TOKEN_INTERVAL_MS, store: weights })
    store.add(engine.close)
    urls.push(engine.url)
  }
  return urls
}

/** Starts the host, and the engines unless their URLs are given. `store` disposes of the engines, the log file and the folder. */
export async function startDevHost (ports: DevPorts, engineUrls?: readonly string[], fs?: FileOperations): Promise<DevHost> {
  const store = createDisposableStore()
  const folder = await mkdtemp(join(tmpdir(), 'catkinferry-dev-'))
  store.add(async () => { await rm(folder, { recursive: true, force: true }) })
  const urls = engineUrls ?? await startEngines(store)
  const file = await open(join(folder, 'log.jsonl'), 'w')
  store.add(async () => await file.close())
  const log = createLineWriter({ descriptor: file.fd, maxBytes: MAX_LOG_BYTES, flushIntervalMs: LOG_FLUSH_MS })
  store.add(log.close)
  try {
    const daemon = await startHost({ config: buildConfig({ folder, urls, ports }), writeLog: log.write, waitsForDisk: false, fs })
    return { daemon, folder, store }
  } catch (error) {
    await store.dispose()
    throw error
  }
}

/** Creates the demo model, adapter and version. */
export async function createDemoAdapter (operatorUrl: string): Promise<void> {
  const client = createOperatorClient({ url: operatorUrl, token: undefined })
  const changes = [
    { path: `models/${MODEL}`, expectedRevision: 0, values: { pool: POOL } },
    { path: `models/${MODEL}/${ADAPTER}`, expectedRevision: 0, values: { inForce: VERSION } },
    { path: `models/${MODEL}/${ADAPTER}/${VERSION}`, expectedRevision: 0, values: { weightsUri: 'demo:weights', digest: 'sha256:demo' } }
  ]
  const reply = await client.request({ kind: 'settings.change', changeId: 'demo-adapter', changes, dryRun: false, deadlineMs: CHANGE_DEADLINE_MS })
  if (!reply.ok) throw new Error(`the demo adapter was not accepted: ${reply.failure.message}`)
}

/** Polls `/readyz` until the host is ready for callers; throws after a time limit. */
export async function waitUntilReady (callerUrl: string): Promise<void> {
  for (let waitedMs = 0; waitedMs < READY_TIMEOUT_MS; waitedMs += READY_POLL_INTERVAL_MS) {
    const answer = await fetch(`${callerUrl}/readyz`)
    await answer.text()
    if (answer.ok) return
    await sleep(READY_POLL_INTERVAL_MS)
  }
  throw new Error(`the host was not ready within ${READY_TIMEOUT_MS} ms`)
}

function renderAnswer (answer: FirstAnswer): string[] {
  return [
    `answer      ${answer.text}`,
    `adapter     ${answer.adapter}`,
    `version     ${answer.version}`,
    `request id  ${answer.requestId}`,
    `timings     first chunk ${answer.firstChunkMs} ms, whole ${answer.wholeMs} ms, load stall ${answer.loadStallMs} ms, queue ${answer.queueMs} ms`
  ]
}

function renderNextSteps (host: DevHost): string[] {
  const { callerUrl, operatorUrl } = host.daemon
  return [
    '',
    `Serving callers at ${callerUrl}, operators at ${operatorUrl}; logs in ${join(host.folder, 'log.jsonl')}. Stop with Ctrl-C. Try next:`,
    `  curl -N ${callerUrl}/v1/completions -d '{"model":"${ADAPTER}","prompt":"hello","stream":true}'`,
    `  curl ${callerUrl}/v1/models`,
    `  node cli/main/dist/catkinferry.js --url ${operatorUrl} status`,
    `  node cli/main/dist/catkinferry.js --url ${operatorUrl} endpoints`,
    `  node cli/main/dist/catkinferry.js --url ${operatorUrl} settings get fleet --effective --explain`
  ]
}

/** Serves until a signal arrives: the first one stops the host gracefully, the second one at once. */
async function serveUntilStopped (daemon: Daemon): Promise<void> {
  const onSignal = (): void => {
    process.off('SIGINT', onSignal)
    process.off('SIGTERM', onSignal)
    process.once('SIGINT', daemon.cut)
    process.once('SIGTERM', daemon.cut)
    daemon.stop()
  }
  process.on('SIGINT', onSignal)
  process.on('SIGTERM', onSignal)
  await daemon.stopped
}

export async function runDev (opts: DevOptions): Promise<ExitCode> {
  const host = await startDevHost(opts.once ? { caller: 0, operator: 0 } : DEFAULT_PORTS, undefined, opts.fs).catch((error: unknown) => { opts.print((error as Error).message) })
  if (host === undefined) return ExitCode.REFUSED
  const { daemon } = host
  try {
    await createDemoAdapter(daemon.operatorUrl)
    await waitUntilReady(daemon.callerUrl)
    const answer = await sendFirstRequest(daemon.callerUrl, ADAPTER)
    renderAnswer(answer).forEach(opts.print)
    if (!opts.once) {
      renderNextSteps(host).forEach(opts.print)
      await serveUntilStopped(daemon)
      return ExitCode.OK
    }
    daemon.stop()
    await daemon.stopped
    return ExitCode.OK
  } catch (error) {
    opts.print((error as Error).message)
    daemon.cut()
    return ExitCode.REFUSED
  } finally {
    await host.store.dispose()
  }
}
