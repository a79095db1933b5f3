/**
 * Watches the paths from this host to its endpoints for the relay: what it hears of each, what fails, and whether the host is cut
 * off from all. Reports endpoints to the directory only for what is not explained by this host's own paths.
 */
import type { EndpointId, MonotonicMs } from '@catkinferry/core.types'
import { probeConnection } from '@catkinferry/endpoints.liveness'
import { CONNECT_TIMEOUT_MS, MIN_DOUBT_ENDPOINTS, MIN_DOUBT_SHARE, STALL_MS, UNREACHABLE_MS } from './constants.ts'
import type { EndpointLink, EndpointLinks } from './endpointLinks.ts'
import { createPathWatch, PathState } from './pathWatch.ts'
import type { PathWatch, ProbeTarget } from './pathWatch.ts'
import { probeHealth } from './probeEndpoint.ts'
import type { RelayOptions } from './relayOptions.ts'

export interface EndpointPaths extends PathWatch {
  /** Avoids an endpoint to which no connection could be opened, until a probe succeeds. `report` is called as by `recordTrouble`. */
  readonly recordUnreachable: (link: EndpointLink, report: () => void) => void
  /** Finds out whether a new connection to a silent endpoint can be opened. If not, avoids it and reports its silence; otherwise reports it only if it lasts. */
  readonly recordSilent: (link: EndpointLink) => void
  /** Whether this host has recently had trouble with a large part of these endpoints, so that its paths to the others are in doubt. */
  readonly isInDoubt: (endpoints: readonly EndpointId[]) => boolean
}

export interface EndpointPathsOptions {
  readonly relay: RelayOptions
  readonly links: EndpointLinks
  /** Called when it is certain that this host does not reach an endpoint from which responses are due, or any at all. */
  readonly onLost: (endpoint?: EndpointId) => void
}

function listTargets ({ directory }: RelayOptions): ProbeTarget[] {
  const pools = directory.getRoutes()?.table.pools ?? []
  return pools.flatMap(({ name, healthPath }) => directory.listEndpoints(name).filter(({ leaving }) => !leaving).map(({ endpoint, address }) => ({ endpoint, address, healthPath })))
}

interface RecentTrouble {
  readonly record: (endpoint: EndpointId) => void
  /** Whether many of these endpoints had trouble within the last second. */
  readonly isWidespread: (endpoints: readonly EndpointId[]) => boolean
}

function createRecentTrouble (getNow: () => MonotonicMs): RecentTrouble {
  const troubleAt = new Map<EndpointId, MonotonicMs>()
  return {
    record: endpoint => { troubleAt.set(endpoint, getNow()) },
    isWidespread: endpoints => {
      const now = getNow()
      for (const [endpoint, at] of troubleAt) if (now - at > UNREACHABLE_MS) troubleAt.delete(endpoint)
      return troubleAt.size >= MIN_DOUBT_ENDPOINTS && endpoints.filter(endpoint => troubleAt.has(endpoint)).length >= endpoints.length * MIN_DOUBT_SHARE
    }
  }
}

/** Builds the handler of a probe that rejects. */
function buildProbeFailure ({ logger }: RelayOptions, endpoint: EndpointId): (error: unknown) => false {
  return error => {
    logger.error('failed to probe an endpoint', { step: 'path', peer: endpoint, cause: error })
    return false
  }
}

interface UnreachableProbes {
  readonly recordUnreachable: EndpointPaths['recordUnreachable']
  readonly probeDue: () => void
}

/** Probes endpoints to which no connection could be opened, and reports them for as long as they are listed. */
function createUnreachableProbes ({ relay, links, recordTrouble }: Pick<EndpointPathsOptions, 'relay' | 'links'> & Pick<PathWatch, 'recordTrouble'>): UnreachableProbes {
  const { clock, directory, localIp } = relay
  const unlisted = new WeakSet<EndpointLink>()
  const isListed = ({ endpoint, address }: EndpointLink): boolean => directory.getEndpoint(endpoint)?.address === address

  function reportUnreachable (link: EndpointLink, report?: () => void): void {
    recordTrouble(link.endpoint, () => {
      if (clock.getMonotonicMs() < link.unreachableUntil && isListed(link)) directory.setUnreachable(link.endpoint, true)
      report?.()
    })
  }

  async function probe (link: EndpointLink): Promise<void> {
    if (!isListed(link)) {
      // It may return before the link is swept.
      link.probeAt = clock.getMonotonicMs() + UNREACHABLE_MS
      // Withdrawn once only, since the endpoint may be unreachable at another address too.
      if (!unlisted.has(link)) directory.setUnreachable(link.endpoint, false)
      unlisted.add(link)
      return
    }
    link.probeAt = Infinity
    const hasReturned = unlisted.delete(link)
    const isOpen = await probeConnection({ address: link.address, localIp, timeoutMs: CONNECT_TIMEOUT_MS })
    if (!isOpen) {
      link.probeAt = clock.getMonotonicMs() + UNREACHABLE_MS
      if (hasReturned) reportUnreachable(link)
      return
    }
    link.unreachableUntil = Number.NEGATIVE_INFINITY
    directory.setUnreachable(link.endpoint, false)
  }

  return {
    recordUnreachable: (link, report) => {
      link.unreachableUntil = Infinity
      link.probeAt = clock.getMonotonicMs() + UNREACHABLE_MS
      reportUnreachable(link, report)
    },
    probeDue: () => {
      for (const link of links.listProbesDue()) probe(link).catch(buildProbeFailure(relay, link.endpoint))
    }
  }
}

/** Creates the watch. `check` is called at short intervals. */
export function createEndpointPaths (opts: EndpointPathsOptions): EndpointPaths {
  const { relay, links, onLost } = opts
  const { clock, directory, logger, localIp } = relay
  let lostAt: MonotonicMs | undefined
  const recentTrouble = createRecentTrouble(clock.getMonotonicMs)

  const onChange = (state: PathState, endpoints: readonly EndpointId[]): void => {
    const now = clock.getMonotonicMs()
    if (state === PathState.CUT_OFF) {
      lostAt = now
      logger.warn('this host reaches no endpoint', { step: 'path', endpoints, lateMs: Math.round(relay.loop.getRecentLateMs()) })
      onLost()
    } else if (state === PathState.OPEN && lostAt !== undefined) {
      logger.info('this host reaches endpoints again', { step: 'path', lostMs: Math.round(now - lostAt) })
      lostAt = undefined
    }
  }

  const watch = createPathWatch({
    getNow: clock.getMonotonicMs,
    nextFraction: relay.random.nextFraction,
    listTargets: () => listTargets(relay),
    probe: target => probeHealth({ ...target, localIp }).catch(buildProbeFailure(relay, target.endpoint)),
    onChange
  })

  const recordTrouble = (endpoint: EndpointId, report: () => void): void => {
    recentTrouble.record(endpoint)
    watch.recordTrouble(endpoint, report)
  }
  const { recordUnreachable, probeDue } = createUnreachableProbes({ relay, links, recordTrouble })

  async function probeSilent (link: EndpointLink): Promise<void> {
    const isOpen = await probeConnection({ address: link.address, localIp, timeoutMs: CONNECT_TIMEOUT_MS })
    if (!link.silent) return
    if (isOpen) {
      reportStall(link)
      return
    }
    recordUnreachable(link, () => directory.setSilent(link.endpoint, link.silent))
    onLost(link.endpoint)
  }

  /** Reports the silence of an endpoint once it has lasted for `STALL_MS`. */
  function reportStall (link: EndpointLink): void {
    const { awaitingSince } = link
    if (!link.silent || awaitingSince === undefined) return
    const leftMs = awaitingSince + STALL_MS - clock.getMonotonicMs()
    if (leftMs <= 0) watch.recordTrouble(link.endpoint, () => directory.setSilent(link.endpoint, link.silent))
    else setTimeout(() => reportStall(link), leftMs).unref()
  }

  return {
    ...watch,
    recordUnreachable,
    recordSilent: link => {
      recordTrouble(link.endpoint, () => undefined)
      probeSilent(link).catch(buildProbeFailure(relay, link.endpoint))
    },
    recordTrouble,
    isInDoubt: recentTrouble.isWidespread,
    check: () => {
      watch.check()
      probeDue()
    }
  }
}
