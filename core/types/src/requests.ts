/** Requests of callers, and the facts and failures of their answers. */
import type { Failure } from '@catkinferry/core.errors'
import type { AdapterName, AttemptId, CallerId, ClaimKey, DurationMs, EndpointId, RequestId, VersionName } from './ids.ts'

/** Service classes, most urgent first. */
export const ServiceClass = { URGENT: 'urgent', STANDARD: 'standard', OVERNIGHT: 'overnight' } as const
export type ServiceClass = typeof ServiceClass[keyof typeof ServiceClass]

/** The work of a request. */
export type Work = AdapterWork | ServiceWork

/** A completion by an adapter on a model engine. */
export interface AdapterWork {
  readonly kind: 'adapter'
  readonly adapter: AdapterName
  /** The version in force on arrival if undefined. */
  readonly version?: VersionName
  readonly form: 'completions' | 'chat'
  /** The caller's JSON body without `model` and `stream`. */
  readonly body: Readonly<Record<string, unknown>>
  readonly stream: boolean
  /** Hash of the leading prompt, for prefix affinity. */
  readonly prefixHash?: string
  readonly promptTokens: number
  readonly maxTokens: number
}

/** A call of a plain service route. */
export interface ServiceWork {
  readonly kind: 'service'
  readonly route: string
  readonly method: string
  readonly path: string
  readonly body: string
  readonly contentType?: string
}

/** A request as admitted from a caller. */
export interface CallerRequest {
  readonly requestId: RequestId
  readonly caller: CallerId
  readonly work: Work
  readonly idempotent: boolean
  /** Set by the caller for non-idempotent work; generated if absent. */
  readonly claimKey?: ClaimKey
  readonly serviceClass: ServiceClass
  /** Time from arrival within which the whole answer must be sent. */
  readonly deadlineMs: DurationMs
}

/** Attempt, adapter and version that an endpoint names in its answer. */
export interface AnswerEcho {
  readonly attemptId: AttemptId
  /** Undefined on plain services. */
  readonly adapter?: AdapterName
  readonly version?: VersionName
}

/** Facts about an answer that are sent to the caller. */
export interface AnswerFacts {
  readonly requestId: RequestId
  readonly adapter?: AdapterName
  readonly version?: VersionName
  readonly endpoint?: EndpointId
  readonly claimKey?: ClaimKey
  readonly attempts: number
  readonly queueMs: DurationMs
  readonly loadStallMs: DurationMs
  /** True when the answer is the stored one of an earlier submission with the same key. */
  readonly replayed?: boolean
}

/** The failure of a request, which always states whether the work ran. */
export interface RequestFailure extends Failure {
  readonly ran: 'no' | 'yes' | 'unknown'
}
