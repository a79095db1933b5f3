/** State of one caller's request, from its match to a route until its response has ended. Shared by the parts of the relay. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Account, AdapterKey, AdapterName, EndpointId, ModelId, MonotonicMs, Pool, RequestTrait, Route } from '@catkinferry/core.types'
import { RouteKind } from '@catkinferry/core.types'
import type { MemoryBudget } from '@catkinferry/core.memory-budget'
import type { CallerQueue } from './callerQueue.ts'
import type { RequestFacts } from './dialect.ts'
import type { EndpointLink } from './endpointLinks.ts'
import type { DeliveredEvents } from './eventSplitter.ts'
import type { ForwardedFacts } from './forwardedRequest.ts'
import type { ResponseMemory } from './responseMemory.ts'
import type { ResponseHead } from './responseRole.ts'

/** Why an exchange ended before its response was complete. `STOPPED`: the host stops; `CUT`: no attempt was left after the response had begun. */
export const EndReason = { CALLER_GONE: 'callerGone', TIMEOUT: 'timeout', PROMPT_QUARANTINED: 'promptQuarantined', REQUEST_QUARANTINED: 'requestQuarantined', STOPPED: 'stopped', CUT: 'cut' } as const
export type EndReason = typeof EndReason[keyof typeof EndReason]

/** What ended the last attempt of a request: the endpoint or peer, or this host. */
export const EndedBy = { ENDPOINT: 'endpoint', PEER: 'peer', HOST: 'host' } as const
export type EndedBy = typeof EndedBy[keyof typeof EndedBy]

/** Why this host ended an attempt at an endpoint whose connection still stood. */
export const HostEndReason = {
  SILENT: 'silent',
  NO_RESPONSE: 'noResponse',
  EVENT_SIZE: 'eventSize',
  WRONG_RESPONSE: 'wrongResponse',
  MEMORY: 'memory'
} as const
export type HostEndReason = typeof HostEndReason[keyof typeof HostEndReason]

/** A complete response of an endpoint, buffered. */
export interface BufferedResponse {
  readonly status: number
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  /** False if the response had neither a length nor chunked encoding and ended with its connection. */
  readonly endpoint: EndpointId
}

export interface Exchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly facts: RequestFacts
  /** With the number of endpoints that the request may still be sent to from here. */
  route: Route
  readonly pool: Pool
  /** Whether callers need keys, by the route table in force when the request arrived. */
  readonly hasAccounts: boolean
  /** The account of its key; undefined if callers need no keys, or if it came to a public route without a known key. */
  readonly account: Account | undefined
  /** This host could not tell whether its key is valid, so that only a peer may serve it. */
  readonly isUnchecked: boolean
  /** Units taken from the account's quota here; undefined if none were taken, and once they were given back. */
  chargedUnits: number | undefined
  /** What the entry host said that has forwarded the request; undefined for one that came from a caller. */
  readonly forwarded: ForwardedFacts | undefined
  /** Whether a peer may still be asked to serve the request. */
  mayForward: boolean
  /** Whether an endpoint could not be reached for it. */
  hasUnreached: boolean
  readonly routesVersion: number
  readonly arrivedAt: MonotonicMs
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly deadlineAt: MonotonicMs
  body: Buffer
  /** The same for each attempt of a caller at the same request; empty until the body is read. */
  digest: string
  /** What it has in common with other requests: the shared parts of its prompt and, once its body is read, the whole request. */
  traits: readonly RequestTrait[]
  /** Endpoints that may have run the request. */
  readonly tried: Set<EndpointId>
  /** Endpoints at which it certainly did not run: they refused it or could not be reached. */
  readonly refusedBy: Set<EndpointId>
  /** Error response of an endpoint, sent to the caller if no other endpoint succeeds. */
  errorResponse: BufferedResponse | undefined
  /** Budget for responses of endpoints and peers. */
  readonly memory: MemoryBudget
  /** What waits for the caller to read it. */
  readonly queue: CallerQueue
  /** What is held of the error responses. */
  readonly errorMemory: Map<ResponseMemory, BufferedResponse>
  /** ID of the last server-sent event that the caller has, after which another endpoint would resume the stream. */
  lastEventId: string | undefined
  /** Version of the software that began the stream, where it goes on; undefined if it has not begun or may go on at any. */
  softwareVersion: string | undefined
  /** Events that the caller has, of a resumable stream. */
  readonly delivered: DeliveredEvents
  headSent: boolean
  /** Head of a stream of which the caller has the beginning, from here or from the host that has forwarded the request, and that another endpoint may go on with. */
  resumableHead: ResponseHead | undefined
  /** The response to the caller has no length, and the caller takes no chunks, so it ends with its connection. */
  isUnframed: boolean
  /** Time in ms from arrival to the head of the latest response. */
  firstByteMs: number | undefined
  /** When the latest chunk of a stream arrived, and the longest pause in ms between two chunks. */
  lastChunkAt: MonotonicMs | undefined
  longestPauseMs: number | undefined
  /** An attempt is in flight, or an earlier one may have run. */
  offered: boolean
  /** Set if the deadline passed, the caller disconnected or the response was broken off before it was complete. */
  ended: EndReason | undefined
  /** A trait of it is quarantined: it may go on where its response is sound, and is sent nowhere else. */
  isQuarantined: boolean
  /** What ended the latest attempt that got no usable response. */
  lostBy: EndedBy | undefined
  /** Stops the wait in progress. */
  interrupt: (() => void) | undefined
  /** Attempts in progress, in the order in which they began. There are several only while one is in doubt. */
  readonly live: Set<LiveAttempt>
}

/** An attempt in progress, at an endpoint or a peer. */
export interface LiveAttempt {
  readonly target: Target
  /** Whether its response has gone on for a while, which shows that its request does not crash endpoints. */
  isSound: boolean
  /** Whether nothing is heard from it, so that another attempt is made beside it. */
  isDoubted: boolean
  /** Called when it comes in doubt. */
  onDoubt: (() => void) | undefined
  /** Ends it because the exchange has ended, or because an earlier attempt goes on. */
  readonly interrupt: () => void
  /** Ends it as lost because a later attempt has taken its place. */
  readonly replace: () => void
}

/** The endpoint selected for an attempt. */
export interface Target {
  readonly endpoint: EndpointId
  /** When the endpoint started; names the instance of it that was selected. */
  readonly bornAt?: number
  /** Version of its software; undefined if the platform does not tell. */
  readonly softwareVersion?: string
  readonly link: EndpointLink
  /** Undefined for plain services and for requests to a base model. */
  readonly adapterKey?: AdapterKey
  readonly version?: number
  /** The target is another entry host, which chooses the endpoint. */
  readonly isPeer?: boolean
  /** Whether a slot was free by the estimated load; undefined if the endpoint was assigned by the leader. */
  readonly hasFreeSlot?: boolean
}

/** The adapter that a request names. */
export interface RequestedAdapter {
  readonly model: ModelId
  readonly adapter: AdapterName
}

export function getRequestedAdapter ({ facts: { model, adapter } }: Exchange): RequestedAdapter | undefined {
  return model === undefined || adapter === undefined ? undefined : { model, adapter }
}

/** Makes `attempt` the one that answers the caller: stops the search for another, and ends all others in progress. */
export function selectAttempt ({ live, interrupt }: Exchange, attempt: LiveAttempt): void {
  interrupt?.()
  let isEarlier = true
  for (const other of [...live]) {
    if (other === attempt) isEarlier = false
    else if (isEarlier) other.replace()
    else other.interrupt()
  }
}

/** Number of endpoints that the request may still be sent to. */
export function countEndpointsLeft ({ route, tried }: Exchange): number {
  return Math.max(0, route.maxEndpoints - tried.size)
}

/** Whether the request may be retried after an attempt that may have run. */
export function isRetryable ({ route, headSent, resumableHead, delivered, isQuarantined }: Exchange): boolean {
  if (isQuarantined) return false
  // Only a stream of events can be continued with the response of another endpoint, and only after an event that a request can name.
  if (headSent) return resumableHead !== undefined && delivered.isResumable()
  return route.kind === RouteKind.IDEMPOTENT || (route.kind === RouteKind.STREAM && route.resumable)
}
