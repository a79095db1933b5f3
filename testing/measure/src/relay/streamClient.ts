/** Worker thread of the relay experiment: a load client that streams completions and counts chunks, or times first chunks. */
import { parentPort } from 'node:worker_threads'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import type { ClientCommand, ClientReport } from './commands.ts'

const NEWLINE = 10
const MODEL = 'greeter@v1'

interface StreamOptions {
  readonly pool: Dispatcher
  readonly tokens: number
  readonly onData: (data: Buffer) => void
}

/** Counts server-sent events by the empty line that ends each. */
function createEventCounter (): (data: Buffer) => number {
  let lastByte = 0
  return data => {
    let count = 0
    for (let at = data.indexOf(NEWLINE); at !== -1; at = data.indexOf(NEWLINE, at + 1)) {
      const previousByte = at === 0 ? lastByte : data[at - 1]
      if (previousByte === NEWLINE) count += 1
    }
    lastByte = data.at(-1) ?? lastByte
    return count
  }
}

async function runStream (opts: StreamOptions): Promise<number> {
  const body = JSON.stringify({ model: MODEL, prompt: 'measure', stream: true, max_tokens: opts.tokens })
  return await new Promise((resolve, reject) => {
    let status = 0
    opts.pool.dispatch({ method: 'POST', path: '/v1/completions', headers: { 'content-type': 'application/json', 'x-catkinferry-attempt': 'direct' }, body }, {
      onRequestStart: () => undefined,
      onResponseStart: (_controller, value) => { status = value },
      onResponseData: (_controller, data) => opts.onData(data),
      onResponseEnd: () => resolve(status),
      onResponseError: (_controller, error) => reject(error)
    })
  })
}

function openPool (url: string): Pool {
  return new Pool(url, { pipelining: 1, bodyTimeout: 0, headersTimeout: 0 })
}

/** Keeps `streams` streams running and counts the chunks that arrive in the `forMs` after the warm-up. */
async function measureThroughput (command: Extract<ClientCommand, { kind: 'throughput' }>): Promise<ClientReport> {
  const pool = openPool(command.url)
  let chunks = 0
  let failed = 0
  const stop = new AbortController()

  async function keepStreaming (): Promise<void> {
    while (!stop.signal.aborted) {
      const count = createEventCounter()
      const status = await runStream({ pool, tokens: command.tokens, onData: data => { chunks += count(data) } }).catch(() => 0)
      if (status !== 200 && !stop.signal.aborted) failed += 1
    }
  }

  const streams = Array.from({ length: command.streams }, keepStreaming)
  await new Promise(resolve => setTimeout(resolve, command.warmUpMs))
  const chunksBefore = chunks
  const startedAt = performance.now()
  await new Promise(resolve => setTimeout(resolve, command.forMs))
  const counted = chunks - chunksBefore
  const tookMs = performance.now() - startedAt
  stop.abort()
  await pool.destroy()
  await Promise.allSettled(streams)
  return { kind: 'throughput', chunksPerSecond: counted * 1_000 / tookMs, failed }
}

async function timeFirstChunk (pool: Dispatcher): Promise<number> {
  const startedAt = performance.now()
  let firstMs = NaN
  const status = await runStream({ pool, tokens: 2, onData: () => { if (Number.isNaN(firstMs)) firstMs = performance.now() - startedAt } })
  if (status !== 200) throw new Error(`status ${status}`)
  return firstMs
}

/** Alternates between the URLs, so that other load on the machine affects all alike. */
async function measureFirstChunks (command: Extract<ClientCommand, { kind: 'firstChunks' }>): Promise<ClientReport> {
  const pools = command.urls.map(openPool)
  const times: number[][] = pools.map(() => [])
  for (let round = 0; round < command.rounds + command.warmUpRounds; round += 1) {
    for (const [index, pool] of pools.entries()) {
      const ms = await timeFirstChunk(pool)
      if (round >= command.warmUpRounds) times[index]?.push(ms)
    }
  }
  await Promise.all(pools.map(async pool => { await pool.close() }))
  return { kind: 'firstChunks', times }
}

parentPort?.on('message', (command: ClientCommand) => {
  const work = command.kind === 'throughput' ? measureThroughput(command) : measureFirstChunks(command)
  work.then(report => parentPort?.postMessage(report), error => parentPort?.postMessage({ kind: 'error', message: String(error) }))
})
