/** What one host relays: chunks a second with many streams, and the latency added to the first chunk. */
import type { Experiment, Figures } from '../experiment.ts'
import { startMeasuredHost } from '../relay/measuredHost.ts'
import { startClientThread, startEngineThread } from '../relay/threads.ts'
import type { ClientThread } from '../relay/threads.ts'

const STREAMS = 64
const ENGINES = 2
const TOKENS = 20_000
/** Chunks come one by one, as from engines that generate them; the pacing then bounds the rate, not the host. */
const PACED_TOKEN_MS = 1
const WARM_UP_MS = 2_000
const MEASURED_MS = 4_000
const ROUNDS = 400
const WARM_UP_ROUNDS = 100

function findMedian (values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? NaN
}

function roundTo (value: number, digits: number): number {
  return Number(value.toFixed(digits))
}

interface Bench {
  readonly client: ClientThread
  readonly callerUrl: string
  readonly engineUrl: string
  readonly stop: () => Promise<void>
}

interface Throughput {
  readonly chunksPerSecond: number
  readonly directChunksPerSecond: number
  readonly failedStreams: number
  /** Share of the time that the host's thread was busy. */
  readonly hostLoopUtilization: number
}

/** Starts engines with `tokenMs` between chunks and a host before them. */
async function startBench (tokenMs: number): Promise<Bench> {
  const engines = await Promise.all(Array.from({ length: ENGINES }, async () => await startEngineThread({ resident: ['greeter@v1'], batchLimit: STREAMS, pool: 'demo', tokenMs })))
  const host = await startMeasuredHost(engines.map(({ url }) => url))
  const client = startClientThread()
  return {
    client,
    callerUrl: host.callerUrl,
    engineUrl: engines[0]?.url ?? '',
    stop: async () => {
      await client.stop()
      await host.stop()
      await Promise.all(engines.map(async engine => { await engine.stop() }))
    }
  }
}

async function measureThroughput (tokenMs: number): Promise<Throughput> {
  const bench = await startBench(tokenMs)
  try {
    const load = { kind: 'throughput', streams: STREAMS, tokens: TOKENS, warmUpMs: WARM_UP_MS, forMs: MEASURED_MS } as const
    const loopBefore = performance.eventLoopUtilization()
    const relayed = await bench.client.run({ ...load, url: bench.callerUrl })
    const { utilization } = performance.eventLoopUtilization(loopBefore)
    const direct = await bench.client.run({ ...load, url: bench.engineUrl })
    return {
      chunksPerSecond: Math.round(relayed.chunksPerSecond),
      directChunksPerSecond: Math.round(direct.chunksPerSecond),
      failedStreams: relayed.failed,
      hostLoopUtilization: roundTo(utilization, 2)
    }
  } finally {
    await bench.stop()
  }
}

async function measureFirstChunks (): Promise<Figures> {
  const bench = await startBench(0)
  try {
    const first = await bench.client.run({ kind: 'firstChunks', urls: [bench.engineUrl, bench.callerUrl], rounds: ROUNDS, warmUpRounds: WARM_UP_ROUNDS })
    const [directMs = NaN, relayedMs = NaN] = first.times.map(findMedian)
    return {
      addedFirstChunkMsP50: roundTo(relayedMs - directMs, 3),
      directFirstChunkMsP50: roundTo(directMs, 3),
      relayedFirstChunkMsP50: roundTo(relayedMs, 3)
    }
  } finally {
    await bench.stop()
  }
}

async function run (): Promise<Figures> {
  const firstChunks = await measureFirstChunks()
  const paced = await measureThroughput(PACED_TOKEN_MS)
  const unpaced = await measureThroughput(0)
  return { streams: STREAMS, engines: ENGINES, ...unpaced, ...firstChunks, paced }
}

export const relay: Experiment = {
  name: 'relay',
  description: 'chunks a second relayed by one host, and latency added to the first chunk',
  targets: [
    { key: 'chunksPerSecond', bound: 'atLeast', value: 34_000, unit: 'chunks/s' },
    { key: 'addedFirstChunkMsP50', bound: 'atMost', value: 1, unit: 'ms' }
  ],
  run
}
