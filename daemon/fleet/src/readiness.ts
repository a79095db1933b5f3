/** Whether an entry host can serve new callers. */
import type { Logger } from '@catkinferry/core.logger'
import type { MetricsPage } from '@catkinferry/core.metrics-page'
import type { DurationMs } from '@catkinferry/core.types'
import type { Directory } from '@catkinferry/fleet.directory'
import type { FleetMembership } from '@catkinferry/fleet.membership'

export interface Readiness {
  readonly check: () => boolean
  /** Resolves once the host knows what it needs to serve, or after the time given. */
  readonly waitUntilKnown: (maxMs: DurationMs) => Promise<void>
  /** Lets those go that wait, where the host knows enough now. */
  readonly wakeWaiting: () => void
  /** The host turns callers away from now on. */
  readonly stop: () => void
}

export interface ReadinessOptions {
  readonly directory: Pick<Directory, 'getHeld' | 'getEndpointCount'>
  readonly membership: Pick<FleetMembership, 'isCurrent'>
  readonly logger: Logger
  readonly page: MetricsPage
}

/** Creates the check. A host that held the newest routes once goes on with what it knows when it is cut off. */
export function createReadiness (opts: ReadinessOptions): Readiness {
  const { directory, membership, logger, page } = opts
  let stopping = false
  let wasCurrent = false
  let waiting: Array<() => void> = []
  let lastObstacle: string | undefined = 'it has just started'

  function findObstacle (): string | undefined {
    const { routesVersion } = directory.getHeld()
    wasCurrent ||= routesVersion > 0 && membership.isCurrent(routesVersion)
    if (stopping) return 'it is stopping'
    if (routesVersion === 0) return 'no routes are known'
    if (!wasCurrent) return 'it is not known whether the routes are the newest'
    return directory.getEndpointCount() === 0 ? 'no endpoints are known' : undefined
  }

  /** What is missing for serving at all; a host serves also while it is not sure of the newest routes. */
  function isKnown (): boolean {
    return directory.getHeld().routesVersion > 0 && directory.getEndpointCount() > 0
  }

  return {
    waitUntilKnown: async maxMs => {
      if (isKnown()) return
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, maxMs)
        waiting.push(() => {
          clearTimeout(timer)
          resolve()
        })
      })
    },
    wakeWaiting: () => {
      if (waiting.length === 0 || !isKnown()) return
      for (const wake of waiting) wake()
      waiting = []
    },
    check: () => {
      const obstacle = findObstacle()
      if (obstacle !== lastObstacle) logger.info(obstacle === undefined ? 'the host is ready' : 'the host is not ready', { step: 'ready', reason: obstacle, ...directory.getHeld() })
      lastObstacle = obstacle
      page.set('ready', obstacle === undefined ? 1 : 0)
      return obstacle === undefined
    },
    stop: () => { stopping = true }
  }
}
