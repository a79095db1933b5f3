/** Client of a host's operator API. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { OperatorCall, OperatorReply } from '@catkinferry/core.types'
import { request } from 'undici'

export interface OperatorClient {
  readonly request: (call: OperatorCall) => Promise<OperatorReply>
}

export interface OperatorClientOptions {
  /** `http://ip:port` of the operator API. */
  readonly url: string
  readonly token: string | undefined
}

/** Time that the client waits for the reply beyond the deadline of the command. */
const TIMEOUT_MARGIN_MS = 5_000
/** Time limit of a call without a deadline. */
const READ_TIMEOUT_MS = 20_000

/** Error codes of connections that failed before anything was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

function buildLostReply (call: OperatorCall, error: Error & { code?: string }): OperatorReply {
  const isOutcomeUnknown = 'changeId' in call && !NOT_SENT_CODES.has(error.code ?? '')
  const code = isOutcomeUnknown ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.LINK_FAILED
  const hint = isOutcomeUnknown ? undefined : 'check --url and that the host is running'
  return { ok: false, outcome: isOutcomeUnknown ? 'unknown' : 'refused', failure: { code, message: error.message === '' ? String(error.code) : error.message, step: 'operator.ask', hint } }
}

/** Creates a client; each query or command is one HTTP request. */
export function createOperatorClient (opts: OperatorClientOptions): OperatorClient {
  return {
    request: async call => {
      const { kind, ...fields } = call
      const timeoutMs = 'deadlineMs' in call ? call.deadlineMs + TIMEOUT_MARGIN_MS : READ_TIMEOUT_MS
      const headers: Record<string, string> = { 'content-type': 'application/json' }
      if (opts.token !== undefined) headers.authorization = `Bearer ${opts.token}`
      try {
        const answer = await request(`${opts.url}/operator/v1/${kind}`, { method: 'POST', headers, body: JSON.stringify(fields), headersTimeout: timeoutMs, bodyTimeout: timeoutMs })
        return await answer.body.json() as OperatorReply
      } catch (error) {
        return buildLostReply(call, error as Error)
      }
    }
  }
}
