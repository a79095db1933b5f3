/** One request of a caller on its way through the relay. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AdapterKey, AdapterName, EndpointId, ModelId, MonotonicMs, Pool, Route } from '@catkinferry/core.types'
import { RouteKind } from '@catkinferry/core.types'
import type { RequestFacts } from './dialect.ts'
import type { EndpointLink } from './endpointLinks.ts'

/** Why an exchange ended before its answer did. */
export const EndReason = { CALLER_GONE: 'callerGone', TIMEOUT: 'timeout' } as const
export type EndReason = typeof EndReason[keyof typeof EndReason]

/** An answer of an endpoint, read whole. */
export interface HeldAnswer {
  readonly status: number
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  /** False where the end of the connection was the end of the answer. */
  readonly framed: boolean
  readonly endpoint: EndpointId
}

export interface Exchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly facts: RequestFacts
  readonly route: Route
  readonly pool: Pool
  readonly routesVersion: number
  readonly arrivedAt: MonotonicMs
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly endAt: MonotonicMs
  body: Buffer
  /** Endpoints that may have run the request. */
  readonly tried: Set<EndpointId>
  /** Endpoints that said that they did not run it. */
  readonly refusedBy: Set<EndpointId>
  /** A failure that an endpoint answered, kept while another endpoint is tried. */
  failure: HeldAnswer | undefined
  lastEventId: string | undefined
  headSent: boolean
  /** Time from the arrival to the head of the last answer. */
  firstByteMs: number | undefined
  /** When the last part of a stream came, and the longest pause between two. */
  partAt: MonotonicMs | undefined
  longestPauseMs: number | undefined
  /** A send is under way, or one may have run. */
  offered: boolean
  ended: EndReason | undefined
  /** Stops what is under way: a wait or a send. */
  interrupt: (() => void) | undefined
}

/** Where an exchange is sent. */
export interface Target {
  readonly endpoint: EndpointId
  readonly link: EndpointLink
  /** Undefined for plain services and requests for a base model. */
  readonly adapterKey?: AdapterKey
  readonly version?: number
  /** Whether a slot was free there, by what was known; undefined where nothing was. */
  readonly hasFreeSlot?: boolean
}

/** The adapter that a request names. */
export interface WantedAdapter {
  readonly model: ModelId
  readonly adapter: AdapterName
}

export function getWantedAdapter ({ facts: { model, adapter } }: Exchange): WantedAdapter | undefined {
  return model === undefined || adapter === undefined ? undefined : { model, adapter }
}

/** Whether the request may be sent again after it may have run. */
export function isRepeatable ({ route }: Exchange): boolean {
  return route.kind === RouteKind.IDEMPOTENT || (route.kind === RouteKind.STREAM && route.resumable)
}
