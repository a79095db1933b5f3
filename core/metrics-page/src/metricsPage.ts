/** Metrics of one process from a fixed table of names, rendered in the Prometheus text format for scraping over HTTP. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

export type MetricLabels = Readonly<Record<string, string>>

/** One metric: its type, and its unit and meaning as described to operators. */
export interface MetricRow {
  readonly type: 'counter' | 'gauge' | 'histogram'
  readonly help: string
  readonly labels?: readonly string[]
}

export interface MetricsPage {
  /** Adds to a counter, 1 by default. */
  readonly count: (name: string, labels?: MetricLabels, amount?: number) => void
  readonly set: (name: string, value: number, labels?: MetricLabels) => void
  /** Removes one series of a gauge. */
  readonly remove: (name: string, labels: MetricLabels) => void
  /** Records a duration in a histogram. */
  readonly time: (name: string, valueMs: number, labels?: MetricLabels) => void
  readonly render: () => Promise<string>
}

/** Upper bounds of the histogram buckets. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 750, 1_000, 2_000, 5_000, 10_000, 20_000]

/** Creates the page. Recording a metric that is not in `rows` throws a `RangeError`. */
export function createMetricsPage (opts: { readonly prefix: string, readonly rows: Readonly<Record<string, MetricRow>> }): MetricsPage {
  const registry = new Registry()
  const counters = new Map<string, Counter>()
  const gauges = new Map<string, Gauge>()
  const histograms = new Map<string, Histogram>()
  for (const [key, { type, help, labels = [] }] of Object.entries(opts.rows)) {
    const shared = { name: opts.prefix + key, help, labelNames: labels, registers: [registry] }
    if (type === 'counter') counters.set(key, new Counter(shared))
    else if (type === 'gauge') gauges.set(key, new Gauge(shared))
    else histograms.set(key, new Histogram({ ...shared, buckets: BUCKETS_MS }))
  }

  function find<Metric> (metrics: ReadonlyMap<string, Metric>, name: string): Metric {
    const metric = metrics.get(name)
    if (metric === undefined) throw new RangeError(`the metric '${name}' is not in the table`)
    return metric
  }

  return {
    count: (name, labels = {}, amount = 1) => find(counters, name).inc(labels, amount),
    set: (name, value, labels = {}) => find(gauges, name).set(labels, value),
    remove: (name, labels) => find(gauges, name).remove(labels),
    time: (name, valueMs, labels = {}) => find(histograms, name).observe(labels, valueMs),
    render: () => registry.metrics()
  }
}
