/** Counters and latency histograms as a text page. */
export { createMetricsPage } from './metricsPage.ts'
export type { MetricLabels, MetricRow, MetricsPage } from './metricsPage.ts'
