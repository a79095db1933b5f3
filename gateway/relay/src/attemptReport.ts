/** Logs and counts what the relay decides on attempts from which nothing is heard, and which attempts it ended itself. */
import type { AttemptEnd } from './attempt.ts'
import type { EndpointLink } from './endpointLinks.ts'
import { EndedBy } from './exchange.ts'
import type { Exchange, HostEndReason } from './exchange.ts'
import type { LogFields, RelayState } from './relayState.ts'

/** What followed on an attempt that this host ended itself. */
export const HostEndOutcome = { REPLACED: 'replaced', RETRIED: 'retried', CUT: 'cut', ANSWERED: 'answered' } as const
export type HostEndOutcome = typeof HostEndOutcome[keyof typeof HostEndOutcome]

function describePath ({ isCutOff, isCutOffConfirmed }: RelayState['paths']): string {
  if (isCutOffConfirmed()) return 'cutOff'
  return isCutOff() ? 'suspected' : 'open'
}

/** What is known about an attempt from which nothing is heard: how long its endpoint has been silent, the paths of this host, and what is left for another attempt. */
export function describeSilence ({ opts, paths, allowance }: RelayState, exchange: Exchange, { awaitingSince, heardAt }: EndpointLink): LogFields {
  const now = opts.clock.getMonotonicMs()
  const { pool, route, tried, deadlineAt, firstByteMs, lastEventId } = exchange
  return {
    requestId: exchange.facts.requestId,
    route: route.name,
    silentMs: awaitingSince === undefined ? undefined : Math.round(now - awaitingSince),
    heardMs: Number.isFinite(heardAt) ? Math.round(now - heardAt) : undefined,
    path: describePath(paths),
    hasBegun: firstByteMs !== undefined,
    lastEventId,
    retriesLeft: allowance.getLeft(pool.name),
    remainingMs: Math.round(deadlineAt - now),
    tried: [...tried],
    maxEndpoints: route.maxEndpoints
  }
}

export function findHostReason (end: AttemptEnd): HostEndReason | undefined {
  return end.kind === 'lost' ? end.hostReason : undefined
}

/** Logs an attempt without a usable response, and by whom it was ended. */
export function reportLost ({ opts }: RelayState, exchange: Exchange, { end, reason, mayTryAnother }: { readonly end: AttemptEnd, readonly reason: string, readonly mayTryAnother: boolean }): void {
  const hostReason = findHostReason(end)
  exchange.lostBy = hostReason === undefined ? EndedBy.ENDPOINT : EndedBy.HOST
  opts.logger.info('attempt ended without a usable response', { step: 'attempt', requestId: exchange.facts.requestId, outcome: end.kind, endedBy: exchange.lostBy, hostReason, reason, hasBegun: exchange.firstByteMs !== undefined, mayTryAnother, tried: [...exchange.tried] })
}

export function countHostEnd ({ opts }: RelayState, end: AttemptEnd, outcome: HostEndOutcome): void {
  const reason = findHostReason(end)
  if (reason !== undefined) opts.observer.count('host_ended_attempts', { reason, outcome })
}
