/** Asks a host's operator API. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { OperatorQuestion, OperatorReply } from '@catkinferry/core.types'
import { request } from 'undici'

export interface OperatorClient {
  readonly ask: (question: OperatorQuestion) => Promise<OperatorReply>
}

export interface OperatorClientOptions {
  /** `http://ip:port` of the operator API. */
  readonly url: string
  readonly token: string | undefined
}

const TIMEOUT_MARGIN_MS = 5_000
const READ_TIMEOUT_MS = 20_000

/** Connection failures before anything was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

function buildLost (question: OperatorQuestion, error: Error & { code?: string }): OperatorReply {
  const unknown = 'changeId' in question && !NOT_SENT_CODES.has(error.code ?? '')
  const code = unknown ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.LINK_FAILED
  const hint = unknown ? undefined : 'check --url and that the host runs'
  return { ok: false, outcome: unknown ? 'unknown' : 'refused', failure: { code, message: error.message === '' ? String(error.code) : error.message, step: 'operator.ask', hint } }
}

/** Creates a client; each question is one request. */
export function createOperatorClient (opts: OperatorClientOptions): OperatorClient {
  return {
    ask: async question => {
      const { kind, ...fields } = question
      const timeoutMs = 'deadlineMs' in question ? question.deadlineMs + TIMEOUT_MARGIN_MS : READ_TIMEOUT_MS
      const headers: Record<string, string> = { 'content-type': 'application/json' }
      if (opts.token !== undefined) headers.authorization = `Bearer ${opts.token}`
      try {
        const answer = await request(`${opts.url}/operator/v1/${kind}`, { method: 'POST', headers, body: JSON.stringify(fields), headersTimeout: timeoutMs, bodyTimeout: timeoutMs })
        return await answer.body.json() as OperatorReply
      } catch (error) {
        return buildLost(question, error as Error)
      }
    }
  }
}
