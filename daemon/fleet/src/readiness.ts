/** Whether an entry host can serve new callers. */
import type { Logger } from '@catkinferry/core.logger'
import type { MetricsPage } from '@catkinferry/core.metrics-page'
import type { Directory } from '@catkinferry/fleet.directory'
import type { FleetMembership } from '@catkinferry/fleet.membership'

export interface Readiness {
  readonly check: () => boolean
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
  let lastObstacle: string | undefined = 'it has just started'

  function findObstacle (): string | undefined {
    const { routesVersion } = directory.getHeld()
    wasCurrent ||= routesVersion > 0 && membership.isCurrent(routesVersion)
    if (stopping) return 'it is stopping'
    if (routesVersion === 0) return 'no routes are known'
    if (!wasCurrent) return 'it is not known whether the routes are the newest'
    return directory.getEndpointCount() === 0 ? 'no endpoints are known' : undefined
  }

  return {
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
