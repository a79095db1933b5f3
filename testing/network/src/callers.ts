/** Simulated callers: builds their requests and tracks which submissions are still open. */
import type { CallerRequest, ServiceClass } from '@catkinferry/core.types'
import type { Observation } from '@catkinferry/testing.oracle'
import { SERVICE_ROUTE } from './topology.ts'

export interface Submission {
  readonly token: string
  readonly content: string
  readonly caller: string
  readonly host: string
  readonly requestId: string
}

export interface SubmissionOptions {
  readonly host: string
  readonly caller: string
  readonly adapter?: string
  readonly version?: string
  readonly idempotent: boolean
  /** Idempotency key. Also used as the content, so that resends have the same body. */
  readonly claimKey?: string
  readonly serviceClass: ServiceClass
  readonly deadlineMs: number
}

export interface Callers {
  /** Records a submission and builds the request that the gateway would pass to the host. */
  readonly submit: (opts: SubmissionOptions) => CallerRequest
  readonly find: (requestId: string) => Submission | undefined
  /** Abandons all open submissions of a host, as when its crash breaks the callers' connections. */
  readonly abandonAll: (host: string) => void
  /** Abandons one submission, as when its caller disconnects. */
  readonly abandon: (token: string) => Submission | undefined
  readonly settle: (requestId: string) => void
  readonly listOpen: (host: string) => string[]
}

function buildWork (opts: SubmissionOptions, content: string): CallerRequest['work'] {
  const { adapter, version } = opts
  if (adapter === undefined) {
    return { kind: 'service', route: SERVICE_ROUTE, method: 'POST', path: `/${SERVICE_ROUTE}`, body: content, contentType: 'text/plain' }
  }
  return { kind: 'adapter', adapter, version, form: 'completions', body: { prompt: content }, stream: true, promptTokens: 10, maxTokens: 10 }
}

export function createCallers (opts: { observe: (observation: Observation) => void, getNow: () => number }): Callers {
  const open = new Map<string, Submission>()
  let count = 0

  function abandonSubmission (row: Submission): void {
    open.delete(row.requestId)
    opts.observe({ kind: 'abandoned', at: opts.getNow(), token: row.token })
  }

  return {
    submit: submissionOpts => {
      const token = `t${count++}`
      const requestId = `${submissionOpts.host}-${token}`
      const content = submissionOpts.claimKey ?? token
      const { caller, adapter, version, idempotent, serviceClass, deadlineMs, claimKey } = submissionOpts
      open.set(requestId, { token, content, caller, host: submissionOpts.host, requestId })
      opts.observe({ kind: 'submitted', at: opts.getNow(), token, content, caller, adapter, version, idempotent })
      return { requestId, caller, work: buildWork(submissionOpts, content), idempotent, claimKey, serviceClass, deadlineMs }
    },
    find: requestId => open.get(requestId),
    abandonAll: host => {
      for (const row of [...open.values()]) if (row.host === host) abandonSubmission(row)
    },
    abandon: token => {
      const row = [...open.values()].find(candidate => candidate.token === token)
      if (row !== undefined) abandonSubmission(row)
      return row
    },
    settle: requestId => { open.delete(requestId) },
    listOpen: host => [...open.values()].filter(row => row.host === host).map(row => row.token)
  }
}
