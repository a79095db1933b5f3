/** Every metric that a host sends, with its type, unit and meaning. */

export interface MetricDescription {
  readonly type: 'count' | 'gauge' | 'timing'
  readonly unit: string
  readonly description: string
}

/** Metrics of the shells; the systems' own are listed in `docs/operators/metrics-and-logs.md` beside them. */
export const METRIC_DESCRIPTIONS: Readonly<Record<string, MetricDescription>> = {
  'caller.requests': { type: 'count', unit: 'requests', description: 'Answers to callers, by `status`' },
  'caller.request_ms': { type: 'timing', unit: 'ms', description: 'Time from a request\'s arrival to the end of its answer' },
  'caller.first_chunk_ms': { type: 'timing', unit: 'ms', description: 'Time from a request\'s arrival to the first part of its answer' },
  'caller.chunks': { type: 'count', unit: 'chunks', description: 'Stream chunks handed to callers' },
  'caller.gone': { type: 'count', unit: 'requests', description: 'Callers that left or stopped reading before the end, by `reason`' },
  'caller.paused': { type: 'count', unit: 'streams', description: 'Times that an engine\'s stream was paused for a slow caller' },
  'attempt.started': { type: 'count', unit: 'attempts', description: 'Dispatches whose answer began' },
  'attempt.failed': { type: 'count', unit: 'attempts', description: 'Failed dispatches, by `sent`' },
  'order.result': { type: 'count', unit: 'orders', description: 'Orders to engines, by `outcome`' },
  'loop.run_ms': { type: 'timing', unit: 'ms', description: 'Time that one run of the host core took' },
  'loop.pauses': { type: 'count', unit: 'pauses', description: 'Pauses of the process beyond the threshold' },
  'peer.links': { type: 'gauge', unit: 'links', description: 'Peer links that are up' },
  'process.heap_mb': { type: 'gauge', unit: 'MB', description: 'Heap in use' }
}
