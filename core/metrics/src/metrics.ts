/** Sends the metrics of a process to a StatsD agent over UDP. */
import { StatsD } from 'hot-shots'

export type MetricTags = Readonly<Record<string, string>>

export interface Metrics {
  readonly count: (name: string, value: number, tags?: MetricTags) => void
  readonly gauge: (name: string, value: number, tags?: MetricTags) => void
  /** `value` in milliseconds. */
  readonly timing: (name: string, value: number, tags?: MetricTags) => void
  readonly close: () => Promise<void>
}

export interface MetricsOptions {
  /** Address of the StatsD agent; without one, metrics are dropped. */
  readonly agent?: { readonly host: string, readonly port: number }
  readonly prefix: string
  /** Tags added to every metric. */
  readonly tags?: MetricTags
  readonly onError: (error: Error) => void
}

/** Largest UDP payload that fits the usual MTU of 1,500 bytes without fragmentation. */
const MAX_DATAGRAM_BYTES = 1_400
const FLUSH_INTERVAL_MS = 1_000

const NOOP_METRICS: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  close: async () => undefined
}

/** Opens the socket to the agent. Send failures are reported to `onError` and never thrown. */
export function createMetrics (opts: MetricsOptions): Metrics {
  if (opts.agent === undefined) return NOOP_METRICS
  const client = new StatsD({
    host: opts.agent.host,
    port: opts.agent.port,
    prefix: opts.prefix,
    globalTags: opts.tags,
    maxBufferSize: MAX_DATAGRAM_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    errorHandler: opts.onError
  })
  return {
    count: (name, value, tags) => client.increment(name, value, tags),
    gauge: (name, value, tags) => client.gauge(name, value, tags),
    timing: (name, value, tags) => client.timing(name, value, tags),
    close: async () => await new Promise(resolve => client.close(() => resolve()))
  }
}
