/** Copies the metrics of commands and of the log that a voter emits to the metrics page. */
import type { Metrics } from '@catkinferry/core.metrics'
import type { MetricLabels, MetricsPage } from '@catkinferry/core.metrics-page'

const HISTOGRAMS: ReadonlyMap<string, string> = new Map([
  ['voter.command_queued_ms', 'command_queued_ms'],
  ['voter.command_commit_ms', 'command_commit_ms'],
  ['voter.entries_before', 'command_entries_before'],
  ['voter.catch_up_ms', 'catch_up_ms']
])

const GAUGES: ReadonlyMap<string, string> = new Map([
  ['voter.log_bytes', 'log_bytes'],
  ['voter.snapshot_bytes', 'snapshot_bytes']
])

/** Returns metrics that are recorded on the page, where it has them, besides being passed on. */
export function createVoterMetrics (metrics: Metrics, page: MetricsPage): Metrics {
  function recordOnPage (name: string, value: number, labels: MetricLabels | undefined): void {
    const histogram = HISTOGRAMS.get(name)
    if (histogram !== undefined) page.time(histogram, value, labels)
    const gauge = GAUGES.get(name)
    if (gauge !== undefined) page.set(gauge, value, labels)
  }
  return {
    ...metrics,
    gauge: (name, value, tags) => {
      recordOnPage(name, value, tags)
      metrics.gauge(name, value, tags)
    },
    timing: (name, value, tags) => {
      recordOnPage(name, value, tags)
      metrics.timing(name, value, tags)
    }
  }
}
