/** Experiment: chunks per second that one host relays over many streams, and the latency it adds to the first chunk. */
import type { Experiment, ExperimentResults } from '../experiment.ts'
import { startMeasuredHost } from '../relay/measuredHost.ts'
import { startClientThread, startEngineThread } from '../relay/threads.ts'
import type { ClientThread } from '../relay/threads.ts'

const STREAMS = 64
const ENGINES = 2
const TOKENS = 20_000
/** Paced engines send chunks one by one, as when generating tokens; their pace then limits the rate, not the host. */
const PACED_CHUNK_INTERVAL_MS = 1
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

interface Fixture {
  readonly client: ClientThread
  readonly callerUrl: string
  readonly engineUrl: string
  readonly stop: () => Promise<void>
}

interface Throughput {
  readonly chunksPerSecond: number
  readonly directChunksPerSecond: number
  readonly failedStreams: number
  /** Share of the time that the event loop of the host's thread was busy, 0 to 1. */
  readonly hostLoopUtilization: number
}

/** Starts engines that send a chunk every `tokenMs`, and a host in front of them. */
async function startFixture (tokenMs: number): Promise<Fixture> {
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
  const fixture = await startFixture(tokenMs)
  try {
    const load = { kind: 'throughput', streams: STREAMS, tokens: TOKENS, warmUpMs: WARM_UP_MS, forMs: MEASURED_MS } as const
    const loopBefore = performance.eventLoopUtilization()
    const relayed = await fixture.client.run({ ...load, url: fixture.callerUrl })
    const { utilization } = performance.eventLoopUtilization(loopBefore)
    const direct = await fixture.client.run({ ...load, url: fixture.engineUrl })
    return {
      chunksPerSecond: Math.round(relayed.chunksPerSecond),
      directChunksPerSecond: Math.round(direct.chunksPerSecond),
      failedStreams: relayed.failed,
      hostLoopUtilization: roundTo(utilization, 2)
    }
  } finally {
    await fixture.stop()
  }
}

async function measureFirstChunks (): Promise<ExperimentResults> {
  const fixture = await startFixture(0)
  try {
    const first = await fixture.client.run({ kind: 'firstChunks', urls: [fixture.engineUrl, fixture.callerUrl], rounds: ROUNDS, warmUpRounds: WARM_UP_ROUNDS })
    const [directMs = NaN, relayedMs = NaN] = first.times.map(findMedian)
    return {
      addedFirstChunkMsP50: roundTo(relayedMs - directMs, 3),
      directFirstChunkMsP50: roundTo(directMs, 3),
      relayedFirstChunkMsP50: roundTo(relayedMs, 3)
    }
  } finally {
    await fixture.stop()
  }
}

async function run (): Promise<ExperimentResults> {
  const firstChunks = await measureFirstChunks()
  const paced = await measureThroughput(PACED_CHUNK_INTERVAL_MS)
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
