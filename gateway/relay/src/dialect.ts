/**
 * Interface between the header names of a deployment and the request and response metadata that the relay uses. Passed in
 * by the entry host; the relay calls it for each request, attempt and response.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { AccountName, AdapterName, DurationMs, EndpointId, ModelId, RequestLimit } from '@catkinferry/core.types'

/** Metadata read from the headers of a caller's request. */
export interface RequestFacts {
  /** Undefined if the caller sent none. */
  readonly requestId?: string
  /** Time limit set by the caller. */
  readonly deadlineMs?: DurationMs
  readonly model?: ModelId
  readonly adapter?: AdapterName
  /** IDs of the parts of the prompt that other requests may share, in order; the last part, which belongs to the request, is left out. */
  readonly promptParts: readonly string[]
  /** The same for each attempt of a caller at the same work, as far as its headers tell. */
  readonly workId?: string
  /** Size of the work: prompt tokens and the maximum number of output tokens. Undefined if the request does not tell. */
  readonly tokens?: number
  /** Last server-sent event that the caller received of a stream that it resumes. */
  readonly lastEventId?: string
  /** ID of the request that brought the first event of that stream. */
  readonly resumes?: string
  /** Key of the caller's account: the value of the header, as received. Never logged, and never sent to an endpoint while callers need keys. */
  readonly key?: string
}

/** Values of the headers that the relay adds to a forwarded request. */
export interface ForwardFacts {
  readonly endpoint: EndpointId
  readonly remainingMs: DurationMs
  /** 0 is the most urgent. A fraction is the priority of the route within that of the account. */
  readonly priority: number
  readonly hasModel: boolean
  readonly version?: number
  readonly lastEventId?: string
  /** Name of the account of the caller's key. */
  readonly account?: AccountName
}

/** Load that an endpoint reports: running and waiting requests, and how many it runs at once. */
export interface EndpointLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How much longer its work takes now, such as on a shared machine; 1 and undefined: as long as usual. */
  readonly slowdown?: number
}

/** Metadata read from the headers of an endpoint's response. */
export interface AnswerFacts {
  /** Id of the request that the response belongs to. */
  readonly requestId?: string
  /** Carries the header that an endpoint sets on responses to requests that it ran. */
  readonly isStamped: boolean
  /** The endpoint states that it did not run the request. */
  readonly notRun: boolean
  readonly load?: EndpointLoad
  /** How long the endpoint keeps the connection open while idle. */
  readonly keepAliveMs?: DurationMs
  /** What it says of the requests a second that it takes, and that it can turn away, from all hosts: without a number it names no limit. Undefined if that cannot be read. */
  readonly limit?: Pick<RequestLimit, 'perSecond' | 'rejectionsPerSecond'>
  /** The endpoint announces that it is leaving. */
  readonly isLeaving?: boolean
  /** Names of headers with invalid values, which were ignored. */
  readonly invalidHeaders?: readonly string[]
}

/** Reads and builds the headers of a deployment. */
export interface RelayDialect {
  /** `rawHeaders`: the same headers, alternating names and values; needed to read the first of several lines with the key. */
  readonly readRequest: (headers: IncomingHttpHeaders, rawHeaders?: readonly string[]) => RequestFacts
  /** Lower-case names of headers that are removed from callers' requests because only the relay may set them. */
  readonly reservedHeaders: ReadonlySet<string>
  /** Lower-case names of the headers with a caller's key and with the name of its account, which endpoints do not get from callers while these need keys. */
  readonly accountHeaders: ReadonlySet<string>
  /** Alternating names and values, as in `rawHeaders`. */
  readonly buildHeaders: (facts: ForwardFacts) => readonly string[]
  readonly readAnswer: (headers: IncomingHttpHeaders, status: number) => AnswerFacts
}
