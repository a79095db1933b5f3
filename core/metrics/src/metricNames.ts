/** All metrics that a host sends by StatsD, with type, unit and meaning; a test compares the documentation for operators with it. */

export interface MetricDescription {
  readonly type: 'count' | 'gauge' | 'timing'
  readonly unit: string
  readonly description: string
}

/** Descriptions by metric name; `docs/operators/metrics-and-logs.md` has the same list. */
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
  'loop.run_ms': { type: 'timing', unit: 'ms', description: 'Time of a turn of the loop, where it is over 5 ms' },
  'host.pause_ms': { type: 'timing', unit: 'ms', description: 'Pauses of the process beyond the threshold, after which leases and grants count as expired' },
  'requests.totalMs': { type: 'timing', unit: 'ms', description: 'Time from admission to the end of an answer, by `class`' },
  'requests.refused': { type: 'count', unit: 'requests', description: 'Requests refused on arrival, by `code`' },
  'requests.failed': { type: 'count', unit: 'requests', description: 'Admitted requests that failed, by `code` and `ran`' },
  'requests.spilled': { type: 'count', unit: 'requests', description: 'Requests sent to another zone, by `zone`' },
  'grants.refused': { type: 'count', unit: 'grants', description: 'Grants that an owner refused, by `reason`' },
  'answers.dropped': { type: 'count', unit: 'answers', description: 'Answers dropped for a wrong attempt, adapter or version, by `reason`' },
  'settings.longLinkBytes': { type: 'count', unit: 'bytes', description: 'Settings sent to other regions' },
  'voter.catch_up_ms': { type: 'timing', unit: 'ms', description: 'Time in which the leader brought a member up to date that lacked entries, `by` snapshot or log' },
  'voter.command_commit_ms': { type: 'timing', unit: 'ms', description: 'Time from appending a log entry with commands to applying it; on the leader' },
  'voter.command_queued_ms': { type: 'timing', unit: 'ms', description: 'Time that the first command of a log entry waited on the leader before it was appended' },
  'voter.entries_before': { type: 'gauge', unit: 'entries', description: 'Log entries not applied yet when the last entry with commands was appended; on the leader' },
  'voter.log_bytes': { type: 'gauge', unit: 'bytes', description: 'Log entries in memory when a snapshot was taken, estimated' },
  'voter.snapshot_bytes': { type: 'gauge', unit: 'bytes', description: 'Size of the last snapshot that this host took' },
  'voter.leader': { type: 'gauge', unit: '0 or 1', description: '1 while this host leads the voters' },
  'platform.unreachable': { type: 'count', unit: 'polls', description: 'Polls of the platform list that failed' },
  'peer.failed_message': { type: 'count', unit: 'messages', description: 'Messages that could not be handled, such as malformed ones' },
  'peer.unknown_message': { type: 'count', unit: 'messages', description: 'Messages of a kind that this version does not know' },
  'peer.links': { type: 'gauge', unit: 'links', description: 'Peer links that are up' },
  'process.heap_mb': { type: 'gauge', unit: 'MB', description: 'Heap in use' }
}
