/** Decides whether an entry host reports ready to the load balancer, and holds requests until the host can serve. */
import type { Logger } from '@catkinferry/core.logger'
import type { MetricsPage } from '@catkinferry/core.metrics-page'
import type { DurationMs } from '@catkinferry/core.types'
import type { Directory } from '@catkinferry/fleet.directory'
import type { FleetMembership } from '@catkinferry/fleet.membership'

export interface Readiness {
  readonly check: () => boolean
  /** Resolves once routes and endpoints are known, or after `maxMs`. */
  readonly waitUntilServable: (maxMs: DurationMs) => Promise<void>
  /** Resolves pending `waitUntilServable` calls if routes and endpoints are known now. */
  readonly resolveWaiting: () => void
  /** The host reports not ready from now on. */
  readonly stop: () => void
}

export interface ReadinessOptions {
  readonly directory: Pick<Directory, 'getHeld' | 'getEndpointCount'>
  readonly membership: Pick<FleetMembership, 'isRoutesVersionCurrent'>
  /** Why keys of callers cannot be checked; undefined if they can, or need not be. */
  readonly findUnconfirmedReason: () => string | undefined
  readonly logger: Logger
  readonly page: MetricsPage
}

/** Creates the check. A host that has had the newest routes once stays ready with its last known state while it is disconnected, as long as it needs no confirmation of keys. */
export function createReadiness (opts: ReadinessOptions): Readiness {
  const { directory, membership, logger, page } = opts
  let stopping = false
  let hasBeenCurrent = false
  let waiting: Array<() => void> = []
  let lastReason: string | undefined = 'the host has just started'

  function findUnreadyReason (): string | undefined {
    const { routesVersion } = directory.getHeld()
    hasBeenCurrent ||= routesVersion > 0 && membership.isRoutesVersionCurrent(routesVersion)
    if (stopping) return 'the host is stopping'
    if (routesVersion === 0) return 'no routes are known'
    if (!hasBeenCurrent) return 'no core host has confirmed that the routes are the newest'
    if (directory.getEndpointCount() === 0) return 'no endpoints are known'
    return opts.findUnconfirmedReason()
  }

  /** Whether the host can serve at all, even if its routes may be outdated. */
  function canServe (): boolean {
    return directory.getHeld().routesVersion > 0 && directory.getEndpointCount() > 0
  }

  return {
    waitUntilServable: async maxMs => {
      if (canServe()) return
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, maxMs)
        waiting.push(() => {
          clearTimeout(timer)
          resolve()
        })
      })
    },
    resolveWaiting: () => {
      if (waiting.length === 0 || !canServe()) return
      for (const resolve of waiting) resolve()
      waiting = []
    },
    check: () => {
      const unreadyReason = findUnreadyReason()
      if (unreadyReason !== lastReason) logger.info(unreadyReason === undefined ? 'the host is ready' : 'the host is not ready', { step: 'ready', reason: unreadyReason, ...directory.getHeld() })
      lastReason = unreadyReason
      page.set('ready', unreadyReason === undefined ? 1 : 0)
      return unreadyReason === undefined
    },
    stop: () => { stopping = true }
  }
}
