/** Error responses that the relay generates itself, for callers whose requests it refuses or cannot complete. */
import type { ServerResponse } from 'node:http'
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import { OUTCOME_HEADER } from './forwardedRequest.ts'
import type { PeerOutcome } from './forwardedRequest.ts'
import { formatRetryAfter } from './headers.ts'

/** HTTP status by error code. 503 guarantees that the request has not run and will not run. */
const STATUS_BY_CODE: Readonly<Partial<Record<ErrorCode, number>>> = {
  [ErrorCode.BAD_REQUEST]: 400,
  [ErrorCode.UNAUTHENTICATED]: 401,
  [ErrorCode.NOT_FOUND]: 404,
  [ErrorCode.TOO_LARGE]: 413,
  [ErrorCode.OVER_LIMIT]: 429,
  [ErrorCode.HEADERS_TOO_LARGE]: 431,
  [ErrorCode.NOT_SERVING]: 503,
  [ErrorCode.NO_CAPACITY]: 503,
  [ErrorCode.PROMPT_QUARANTINED]: 503,
  [ErrorCode.REQUEST_QUARANTINED]: 503,
  [ErrorCode.DEADLINE]: 504,
  [ErrorCode.ENDPOINT_FAILED]: 502,
  [ErrorCode.CROSSED_ANSWER]: 502
}
const INTERNAL_STATUS = 500

/** Sends a failure as JSON and returns the HTTP status. `outcome` is set if another entry host has forwarded the request. */
export function sendFailure (res: ServerResponse, failure: Failure, outcome?: PeerOutcome): number {
  const status = STATUS_BY_CODE[failure.code] ?? INTERNAL_STATUS
  const body = Buffer.from(JSON.stringify({ error: failure.code, message: failure.message, ran: failure.ran }))
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)]
  if (failure.retryAfterMs !== undefined) headers.push('Retry-After', formatRetryAfter(failure.retryAfterMs))
  if (outcome !== undefined) headers.push(OUTCOME_HEADER, outcome)
  res.writeHead(status, headers)
  res.end(body)
  return status
}
