/** Records what endpoints announce in the heads of their responses. The relay calls it for each response. */
import type { IncomingMessage } from 'node:http'
import type { MonotonicMs } from '@catkinferry/core.types'
import { parseRetryAfter } from '@catkinferry/routing.endpoint-notices'
import type { EndpointNotices, RequestLimits } from '@catkinferry/routing.endpoint-notices'
import { MISDIRECTED } from './attempt.ts'
import type { AnswerFacts } from './dialect.ts'
import type { Target } from './exchange.ts'
import type { RelayOptions } from './relayOptions.ts'

const UNAVAILABLE = 503

export interface AnnouncementState {
  readonly relay: RelayOptions
  readonly notices: EndpointNotices
  readonly limits: RequestLimits
}

/** Records what an endpoint announces in a response. A misdirected request was answered by another endpoint at the address. */
export function recordNotices ({ relay, notices }: AnnouncementState, target: Target, facts: AnswerFacts, response: IncomingMessage): void {
  const { endpoint, bornAt } = target
  const status = response.statusCode ?? 0
  for (const header of facts.invalidHeaders ?? []) relay.logger.warn('ignored an invalid response header', { step: 'answer', peer: endpoint, header })
  if (status === MISDIRECTED) return
  if (facts.isLeaving === true && notices.recordLeaving(target)) {
    relay.logger.info('endpoint announced that it is leaving', { step: 'health', peer: endpoint, bornAt })
    relay.directory.recordLeaving(endpoint, bornAt)
  }
  const retryAfter = response.headers['retry-after']
  if (status !== UNAVAILABLE || retryAfter === undefined) return
  const delayMs = parseRetryAfter(retryAfter)
  if (delayMs === undefined) {
    relay.logger.warn('ignored an invalid response header', { step: 'answer', peer: endpoint, header: 'retry-after' })
    return
  }
  notices.recordQuiet(target, delayMs, relay.clock.getMonotonicMs())
  relay.logger.info('endpoint asked for a pause', { step: 'health', peer: endpoint, delayMs })
}

/** Records the request limit that an endpoint names in a response. */
export function recordLimit ({ relay, limits }: AnnouncementState, target: Target, { limit }: AnswerFacts, sentAt: MonotonicMs): void {
  const { endpoint, bornAt } = target
  if (limit === undefined) return
  const { perSecond, rejectionsPerSecond } = limit
  const isLimited = perSecond !== undefined || rejectionsPerSecond !== undefined
  const isChanged = limits.record(target, { perSecond, rejectionsPerSecond, at: sentAt }, relay.clock.getMonotonicMs())
  if (isChanged) relay.logger.info(isLimited ? 'endpoint named a request limit' : 'endpoint names no request limit any more', { step: 'health', peer: endpoint, bornAt, perSecond, rejectionsPerSecond })
  if (isChanged || isLimited) relay.directory.recordLimit(endpoint, bornAt, { perSecond, rejectionsPerSecond, at: sentAt })
}
