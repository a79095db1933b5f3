/** What the relay needs to know of requests and answers, apart from the names that a deployment gives it. */
import type { IncomingHttpHeaders } from 'node:http'
import type { AdapterName, DurationMs, EndpointId, ModelId } from '@catkinferry/core.types'

/** What a caller's request says of itself. */
export interface RequestFacts {
  /** Undefined where the caller sent none. */
  readonly requestId?: string
  /** How long the caller will wait. */
  readonly deadlineMs?: DurationMs
  readonly model?: ModelId
  readonly adapter?: AdapterName
  /** Last event that the caller has of a stream that it resumes. */
  readonly lastEventId?: string
}

/** What is added to a request that is passed on. */
export interface ForwardFacts {
  readonly endpoint: EndpointId
  readonly remainingMs: DurationMs
  /** 0 is the most urgent. */
  readonly priority: number
  readonly hasModel: boolean
  readonly version?: number
  readonly lastEventId?: string
}

/** An endpoint's own figures. */
export interface EndpointLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** What an endpoint's answer says of itself. */
export interface AnswerFacts {
  /** The request that it answers. */
  readonly requestId?: string
  /** It bears the mark of an endpoint that ran the request. */
  readonly isSigned: boolean
  /** The endpoint says that the request did not run. */
  readonly notRun: boolean
  readonly load?: EndpointLoad
  /** How long the endpoint keeps the idle connection. */
  readonly keepAliveMs?: DurationMs
}

/** Translates between the headers of a deployment and the relay. */
export interface RelayDialect {
  readonly readRequest: (headers: IncomingHttpHeaders) => RequestFacts
  /** Lower-case names of headers that only this system may set. */
  readonly ownHeaders: ReadonlySet<string>
  /** Name and value by turns. */
  readonly buildHeaders: (facts: ForwardFacts) => readonly string[]
  readonly readAnswer: (headers: IncomingHttpHeaders, status: number) => AnswerFacts
}
