/** Counters, gauges and latency histograms, rendered as a Prometheus text page. */
export { createMetricsPage } from './metricsPage.ts'
export type { MetricLabels, MetricRow, MetricsPage } from './metricsPage.ts'
