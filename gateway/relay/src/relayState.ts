/** State of the relay of an entry host, shared by the functions that begin, attempt and finish requests. */
import type { ServerResponse } from 'node:http'
import type { MemoryBudget } from '@catkinferry/core.memory-budget'
import type { EndpointNotices, RequestLimits } from '@catkinferry/routing.endpoint-notices'
import type { Socket } from 'node:net'
import type { MonotonicMs } from '@catkinferry/core.types'
import type { EndpointLinks } from './endpointLinks.ts'
import type { EndpointPaths } from './endpointPaths.ts'
import type { IdLimit } from './eventSplitter.ts'
import type { Exchange } from './exchange.ts'
import type { ForwardedFacts } from './forwardedRequest.ts'
import type { BodyReader } from './readBody.ts'
import type { PeerLinks } from './relayPeers.ts'
import type { RelayOptions } from './relayOptions.ts'
import type { RetryAllowance } from './retryAllowance.ts'
import type { RunEstimates } from './runEstimates.ts'
import type { RunTimes } from './runTimes.ts'
import type { TargetFinder } from './target.ts'
import type { UnansweredRequest } from './unansweredRequests.ts'

export type LogFields = Readonly<Record<string, unknown>>

export interface DrainTimes {
  /** Until then, the load balancer sends callers here: their requests are taken if they are expected to end in time, later ones only if their deadline lies before the end. */
  readonly balancerUntil: MonotonicMs
  /** When requests that still run are aborted. */
  readonly endsAt: MonotonicMs
}

export interface RelayState {
  readonly opts: RelayOptions
  readonly links: EndpointLinks
  readonly paths: EndpointPaths
  readonly peers: PeerLinks
  readonly finder: TargetFinder
  readonly runTimes: RunTimes
  readonly firstByteTimes: RunTimes
  readonly runEstimates: RunEstimates
  readonly notices: EndpointNotices
  readonly limits: RequestLimits
  readonly allowance: RetryAllowance
  readonly bodies: BodyReader
  readonly reportUnanswered: (request: UnansweredRequest) => void
  /** Budget for responses of endpoints and peers. */
  readonly responseMemory: MemoryBudget
  readonly eventIds: IdLimit
  /** Budget for what waits for callers to read it, by connection. */
  readonly callerMemory: MemoryBudget
  /** Responses that are not written out yet, with what the entry host said that has forwarded the request. */
  readonly answering: Map<ServerResponse, ForwardedFacts | undefined>
  /** Requests in progress. */
  readonly exchanges: Set<Exchange>
  /** Number of requests in progress that other entry hosts have forwarded. */
  forwardedCount: number
  /** Connections whose current response is their last. */
  readonly closing: WeakSet<Socket>
  /** When the latest request of each connection is answered. */
  readonly turns: WeakMap<Socket, Promise<void>>
  draining: boolean
  /** Which requests are still taken while the host stops; undefined if all. */
  drainTimes: DrainTimes | undefined
  lateCheck: NodeJS.Timeout | undefined
  lastTakenAt: MonotonicMs
}
