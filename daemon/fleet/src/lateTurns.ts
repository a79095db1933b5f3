/** Reports late turns of an entry host's event loop to the log and the metrics, so that they can be told from silence of other hosts. */
import type { Clock, LoopWatch } from '@catkinferry/core.clock'
import type { Logger } from '@catkinferry/core.logger'
import type { MetricsPage } from '@catkinferry/core.metrics-page'

/** Least time between two log lines; turns between them are counted in the next. */
const LOG_INTERVAL_MS = 1_000

export interface LateTurnOptions {
  readonly loop: LoopWatch
  readonly clock: Clock
  readonly logger: Logger
  readonly page: MetricsPage
}

/** Returns a function that ends the reports. */
export function reportLateTurns ({ loop, clock, logger, page }: LateTurnOptions): () => void {
  let loggedAt = Number.NEGATIVE_INFINITY
  let unlogged = 0
  return loop.watch({
    onLate: ({ lateMs, step, stepMs }) => {
      page.time('late_turn_ms', lateMs)
      const now = clock.getMonotonicMs()
      if (now - loggedAt < LOG_INTERVAL_MS) {
        unlogged += 1
        return
      }
      logger.warn('the event loop turned late', { step: 'loop', lateMs: Math.round(lateMs), work: step, workMs: stepMs === undefined ? undefined : Math.round(stepMs), unlogged })
      loggedAt = now
      unlogged = 0
    }
  })
}
