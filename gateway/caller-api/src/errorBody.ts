/** Maps failures to HTTP: status, `Retry-After` and JSON body. Used by the caller API for each request that fails. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'

const DEFAULT_STATUS = 500

/** HTTP status by failure code. */
const STATUSES: Readonly<Partial<Record<ErrorCode, number>>> = {
  [ErrorCode.BAD_REQUEST]: 400,
  [ErrorCode.BAD_ARGUMENT]: 400,
  [ErrorCode.UNAUTHENTICATED]: 401,
  [ErrorCode.FORBIDDEN]: 403,
  [ErrorCode.NOT_FOUND]: 404,
  [ErrorCode.UNKNOWN_ADAPTER]: 404,
  [ErrorCode.CONFLICT]: 409,
  [ErrorCode.IN_PROGRESS]: 409,
  [ErrorCode.KEY_EXPIRED]: 410,
  [ErrorCode.TOO_LARGE]: 413,
  [ErrorCode.OVER_LIMIT]: 429,
  [ErrorCode.ENDPOINT_FAILED]: 502,
  [ErrorCode.STREAM_CUT]: 502,
  [ErrorCode.CROSSED_ANSWER]: 502,
  [ErrorCode.OUTCOME_UNKNOWN]: 502,
  [ErrorCode.NO_CAPACITY]: 503,
  [ErrorCode.NOT_SERVING]: 503,
  [ErrorCode.NO_QUORUM]: 503,
  [ErrorCode.SHUTTING_DOWN]: 503,
  [ErrorCode.DEADLINE]: 504
}

/** Statuses that always carry `Retry-After`. */
const RETRY_STATUSES: ReadonlySet<number> = new Set([429, 503])
const DEFAULT_RETRY_AFTER_MS = 1_000

export function findStatus (failure: Failure): number {
  return STATUSES[failure.code] ?? DEFAULT_STATUS
}

/** Computes the seconds for `Retry-After`, at least 1; undefined if retrying later does not help by itself. */
export function computeRetryAfterSeconds (failure: Failure): number | undefined {
  if (!RETRY_STATUSES.has(findStatus(failure)) && failure.retryAfterMs === undefined) return undefined
  return Math.max(1, Math.ceil((failure.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS) / 1_000))
}

export function renderErrorBody (failure: Failure, requestId?: string): string {
  const { code, message, step, peer, ran, hint } = failure
  return JSON.stringify({ error: { code, message, step, peer, hint, ran, requestId } })
}
