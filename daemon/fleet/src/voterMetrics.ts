/** Copies the metrics of commands that a voter emits to the metrics page. */
import type { Metrics } from '@catkinferry/core.metrics'
import type { MetricsPage } from '@catkinferry/core.metrics-page'

const HISTOGRAMS: ReadonlyMap<string, string> = new Map([
  ['voter.command_queued_ms', 'command_queued_ms'],
  ['voter.command_commit_ms', 'command_commit_ms'],
  ['voter.entries_before', 'command_entries_before']
])

/** Returns metrics that are recorded on the page, where it has them, besides being passed on. */
export function createVoterMetrics (metrics: Metrics, page: MetricsPage): Metrics {
  function recordOnPage (name: string, value: number): void {
    const row = HISTOGRAMS.get(name)
    if (row !== undefined) page.time(row, value)
  }
  return {
    ...metrics,
    gauge: (name, value, tags) => {
      recordOnPage(name, value)
      metrics.gauge(name, value, tags)
    },
    timing: (name, value, tags) => {
      recordOnPage(name, value)
      metrics.timing(name, value, tags)
    }
  }
}
