/** Converts failed calls to `Failure` objects with step and peer, for the drivers' failure events and the result of `readJson`. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import type { CallFailure } from './httpCall.ts'

const CODES: Readonly<Record<CallFailure['kind'], ErrorCode>> = {
  tooLate: ErrorCode.DEADLINE,
  connection: ErrorCode.ENDPOINT_FAILED,
  silent: ErrorCode.STREAM_CUT,
  ended: ErrorCode.DEADLINE
}

export function buildCallFailure (opts: { readonly failure: CallFailure, readonly step: string, readonly peer: string }): Failure {
  const { failure, step, peer } = opts
  return { code: CODES[failure.kind], message: failure.message, step, peer, ran: failure.sent ? 'unknown' : 'no' }
}
