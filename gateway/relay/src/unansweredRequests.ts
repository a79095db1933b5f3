/** Reports requests that get no answer because their connection ends first. Without a line, they look to their callers as if the host had lost them. */
import type { IncomingMessage } from 'node:http'
import { createLineLimit } from '@catkinferry/core.logger'
import type { RelayOptions } from './relayOptions.ts'

/** Lines in each interval: callers can cause any number. */
const MAX_LINES = 20
const LINE_INTERVAL_MS = 1_000

/** Why a request got no answer. None of them was passed on. */
export const UnansweredReason = {
  /** It arrived after the end of its connection was sent. */
  AFTER_END: 'afterEnd',
  /** It arrived behind the response that ends its connection. */
  BEHIND_LAST: 'behindLast',
  /** Its connection was closed while it waited for its turn, or for routes. */
  CLOSED: 'closed'
} as const
export type UnansweredReason = typeof UnansweredReason[keyof typeof UnansweredReason]

export interface UnansweredRequest {
  readonly req: IncomingMessage
  readonly reason: UnansweredReason
  /** What ended the connection, and the time in ms since then, where it is known. */
  readonly cause?: string
  readonly ageMs?: number
}

/** Returns a function that counts a request and logs it, as long as there are not too many. */
export function createUnansweredReports ({ clock, dialect, logger, observer }: Pick<RelayOptions, 'clock' | 'dialect' | 'logger' | 'observer'>): (request: UnansweredRequest) => void {
  const limit = createLineLimit({ getNow: clock.getMonotonicMs, maxLines: MAX_LINES, intervalMs: LINE_INTERVAL_MS })
  return ({ req, reason, cause, ageMs }) => {
    observer.count('unanswered_requests', { reason })
    const unlogged = limit.tryTake()
    if (unlogged === undefined) return
    const { requestId } = dialect.readRequest(req.headers, req.rawHeaders)
    logger.warn('request gets no answer: its connection has ended', { step: 'end', requestId, reason, cause, ageMs: ageMs === undefined ? undefined : Math.round(ageMs * 10) / 10, unlogged })
  }
}
