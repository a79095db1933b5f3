/** Sends metrics by StatsD, and lists all metrics that hosts send. */
export * from './metrics.ts'
export * from './metricNames.ts'
