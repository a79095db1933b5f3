/** Failures and results as plain data, shared by all packages. A failure names the step and the peer at which it occurred. */

/** Whether a request's work ran at an endpoint. `no` is used only when that is certain. */
export type Ran = 'no' | 'yes' | 'unknown'

/** Stable error codes, as sent to callers and operators. */
export const ErrorCode = {
  BAD_SETTINGS: 'ERR_CATKINFERRY_BAD_SETTINGS',
  BAD_ARGUMENT: 'ERR_CATKINFERRY_BAD_ARGUMENT',
  BAD_REQUEST: 'ERR_CATKINFERRY_BAD_REQUEST',
  TOO_LARGE: 'ERR_CATKINFERRY_TOO_LARGE',
  HEADERS_TOO_LARGE: 'ERR_CATKINFERRY_HEADERS_TOO_LARGE',
  UNAUTHENTICATED: 'ERR_CATKINFERRY_UNAUTHENTICATED',
  FORBIDDEN: 'ERR_CATKINFERRY_FORBIDDEN',
  NOT_FOUND: 'ERR_CATKINFERRY_NOT_FOUND',
  METHOD_NOT_ALLOWED: 'ERR_CATKINFERRY_METHOD_NOT_ALLOWED',
  UNKNOWN_ADAPTER: 'ERR_CATKINFERRY_UNKNOWN_ADAPTER',
  OVER_LIMIT: 'ERR_CATKINFERRY_OVER_LIMIT',
  NO_CAPACITY: 'ERR_CATKINFERRY_NO_CAPACITY',
  DEADLINE: 'ERR_CATKINFERRY_DEADLINE',
  NOT_SERVING: 'ERR_CATKINFERRY_NOT_SERVING',
  PROMPT_QUARANTINED: 'ERR_CATKINFERRY_PROMPT_QUARANTINED',
  REQUEST_QUARANTINED: 'ERR_CATKINFERRY_REQUEST_QUARANTINED',
  NO_QUORUM: 'ERR_CATKINFERRY_NO_QUORUM',
  CONFLICT: 'ERR_CATKINFERRY_CONFLICT',
  OUTCOME_UNKNOWN: 'ERR_CATKINFERRY_OUTCOME_UNKNOWN',
  IN_PROGRESS: 'ERR_CATKINFERRY_IN_PROGRESS',
  KEY_EXPIRED: 'ERR_CATKINFERRY_KEY_EXPIRED',
  ENDPOINT_FAILED: 'ERR_CATKINFERRY_ENDPOINT_FAILED',
  STREAM_CUT: 'ERR_CATKINFERRY_STREAM_CUT',
  CROSSED_ANSWER: 'ERR_CATKINFERRY_CROSSED_ANSWER',
  LINK_FAILED: 'ERR_CATKINFERRY_LINK_FAILED',
  BAD_FRAME: 'ERR_CATKINFERRY_BAD_FRAME',
  DAMAGED_FILE: 'ERR_CATKINFERRY_DAMAGED_FILE',
  FOREIGN_DATA_FOLDER: 'ERR_CATKINFERRY_FOREIGN_DATA_FOLDER',
  DATA_FOLDER_LOCKED: 'ERR_CATKINFERRY_DATA_FOLDER_LOCKED',
  DISK_FAILED: 'ERR_CATKINFERRY_DISK_FAILED',
  SHUTTING_DOWN: 'ERR_CATKINFERRY_SHUTTING_DOWN',
  INTERNAL: 'ERR_CATKINFERRY_INTERNAL'
} as const

export type ErrorCode = typeof ErrorCode[keyof typeof ErrorCode]

/** One failure. `step` is the step of the protocol that failed, `peer` the other side (a host, an endpoint or a caller). */
export interface Failure {
  readonly code: ErrorCode
  readonly message: string
  readonly step: string
  readonly peer?: string
  /** Only on failures of a caller's request. */
  readonly ran?: Ran
  /** How the reader of the message can resolve the failure. */
  readonly hint?: string
  /** Delay after which to retry. */
  readonly retryAfterMs?: number
}

/** The result of a step that may fail. */
export type Result<T> = { readonly ok: true, readonly value: T } | { readonly ok: false, readonly failure: Failure }

export function createOk<T> (value: T): Result<T> {
  return { ok: true, value }
}

export function createFailed (failure: Failure): { readonly ok: false, readonly failure: Failure } {
  return { ok: false, failure }
}

/** An error that carries a failure, thrown where no result can be returned (start-up, parsing). */
export class CatkinferryError extends Error {
  readonly failure: Failure

  constructor (failure: Failure, opts?: { cause?: unknown }) {
    super(failure.message, opts)
    this.name = 'CatkinferryError'
    this.failure = failure
  }
}
