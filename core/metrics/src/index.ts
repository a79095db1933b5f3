/** StatsD metrics. */
export {}
