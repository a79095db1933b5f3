/** The HTTP listeners of an entry host: for callers, for requests that other entry hosts forward, and for the readiness page. */
import type { Server } from 'node:http'
import type { Clock } from '@catkinferry/core.clock'
import { createLineLimit } from '@catkinferry/core.logger'
import type { Logger } from '@catkinferry/core.logger'
import type { MetricsPage } from '@catkinferry/core.metrics-page'
import { UnansweredReason } from '@catkinferry/gateway.relay'
import type { Relay } from '@catkinferry/gateway.relay'
import { getBindAddress } from './bindAddress.ts'
import type { CloseCause, UnansweredBytes } from './callerConnections.ts'
import { openCallerServer } from './callerServer.ts'
import type { CallerServer, CallerServerOptions } from './callerServer.ts'
import type { FleetSettings } from './fleetSettings.ts'
import { openHttpServer } from './httpServer.ts'

/** Lines about unanswered bytes in each interval: callers can cause any number. */
const MAX_LINES = 20
const LINE_INTERVAL_MS = 1_000

export interface EntryListeners {
  readonly callers: CallerServer
  /** Absent on hosts that serve no requests of other entry hosts. */
  readonly peers?: CallerServer
  readonly ready: Server
  /** Number of connections that this host has closed of its own accord since its start. */
  readonly getClosedCounts: () => Readonly<Partial<Record<CloseCause, number>>>
}

export interface EntryListenersOptions {
  readonly settings: Pick<FleetSettings, 'bindIp' | 'relayAddress'>
  /** `ip:port` of the callers' listener and of the readiness page. */
  readonly listen: { readonly caller: string, readonly ready: string }
  readonly relay: Pick<Relay, 'handle' | 'handleForwarded' | 'reportUnanswered'>
  readonly isReady: () => boolean
  readonly clock: Clock
  readonly logger: Logger
  readonly page: MetricsPage
}

/** Returns a function that counts and logs bytes of a caller to which nothing was answered. */
function createBytesReports ({ clock, logger, page }: EntryListenersOptions): (bytes: UnansweredBytes) => void {
  const limit = createLineLimit({ getNow: clock.getMonotonicMs, maxLines: MAX_LINES, intervalMs: LINE_INTERVAL_MS })
  return ({ cause, ageMs, before, after }) => {
    page.count('caller_connections_unanswered', { cause })
    const unlogged = limit.tryTake()
    if (unlogged !== undefined) logger.info('connection of a caller closed with unanswered bytes', { step: 'connection', cause, before, after, endAgeMs: Math.round(ageMs), unlogged })
  }
}

/** Opens the listeners. Rejects if an address cannot be bound. */
export async function openEntryListeners (opts: EntryListenersOptions): Promise<EntryListeners> {
  const { settings: { bindIp, relayAddress }, listen, relay, isReady, clock, page } = opts
  const closed: Partial<Record<CloseCause, number>> = {}
  const onClose = (cause: CloseCause): void => {
    closed[cause] = (closed[cause] ?? 0) + 1
    page.count('caller_connections_closed', { cause })
  }
  const shared: Omit<CallerServerOptions, 'address' | 'handle'> = {
    onClose,
    onLateRequest: (req, end) => relay.reportUnanswered({ req, reason: UnansweredReason.AFTER_END, ...end }),
    onUnanswered: createBytesReports(opts),
    getNow: clock.getMonotonicMs
  }
  const callers = await openCallerServer({ ...shared, address: getBindAddress(listen.caller, bindIp), handle: relay.handle })
  const peers = relayAddress === undefined ? undefined : await openCallerServer({ ...shared, address: getBindAddress(relayAddress, bindIp), handle: relay.handleForwarded })
  const ready = await openHttpServer(getBindAddress(listen.ready, bindIp), (_req, res) => {
    res.statusCode = isReady() ? 200 : 503
    res.end()
  })
  return { callers, peers, ready, getClosedCounts: () => closed }
}
