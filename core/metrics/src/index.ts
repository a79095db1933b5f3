/** StatsD metrics. */
export * from './metrics.ts'
export * from './metricNames.ts'
