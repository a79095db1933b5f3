/** Starts the worker threads of the relay experiment: fake engines and load clients. */
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import type { FakeEngineOptions } from '@catkinferry/testing.fakes'
import type { ClientCommand, ClientReport } from './commands.ts'

export interface EngineThread {
  readonly url: string
  readonly stop: () => Promise<void>
}

export interface ClientThread {
  readonly run: <K extends ClientCommand['kind']>(command: Extract<ClientCommand, { kind: K }>) => Promise<Extract<ClientReport, { kind: K }>>
  readonly stop: () => Promise<void>
}

/** On Node.js 20, worker threads do not inherit the TypeScript loader of the main thread. */
function buildBootstrap (file: string): string {
  const url = new URL(file, import.meta.url).href
  return `import('tsx/esm/api').then(({ register }) => { register(); return import(${JSON.stringify(url)}) })`
}

function startThread (file: string, workerData?: unknown): Worker {
  return new Worker(buildBootstrap(file), { eval: true, workerData, execArgv: [] })
}

/** Starts a fake engine; `opts` must be plain data. */
export async function startEngineThread (opts: FakeEngineOptions): Promise<EngineThread> {
  const worker = startThread('./engineThread.ts', opts)
  const [url] = await once(worker, 'message') as [string]
  return { url, stop: async () => { await worker.terminate() } }
}

/** Starts a load client. */
export function startClientThread (): ClientThread {
  const worker = startThread('./streamClient.ts')
  return {
    run: async command => {
      const answered = once(worker, 'message')
      worker.postMessage(command)
      const [report] = await answered as [ClientReport]
      if (report.kind === 'error') throw new Error(report.message)
      return report as never
    },
    stop: async () => { await worker.terminate() }
  }
}
