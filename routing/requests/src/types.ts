/** Public interface of the requests system, and the in-memory rows that it keeps for each request and attempt. */
import type { Ran } from '@catkinferry/core.errors'
import type { Random } from '@catkinferry/core.random'
import type {
  AdapterKey, AdapterName, AttemptId, CallerRequest, ClaimKey, DurationMs, EndpointId, HostId, HostLocation, ModelId, MonotonicMs,
  NodePath, RequestId, SettingsView, VersionName, WallMs, ZoneView
} from '@catkinferry/core.types'
import type { AttemptEvent, HostEvent, RunContext, System } from '@catkinferry/host.events'
import type { LedgerClient } from '@catkinferry/ledger.claims'
import type { RequestExplanation } from '@catkinferry/routing.explain'
import type { GrantMessage } from '@catkinferry/wire.messages'

export interface RequestsOptions {
  readonly self: HostLocation
  /** This host's node in the fleet tree. */
  readonly fleetPath: NodePath
  readonly settings: SettingsView
  readonly zone: ZoneView
  readonly ledger: LedgerClient
  readonly random: Random
}

export type RequestsMessage = Extract<GrantMessage, { kind: 'grant.given' | 'grant.refused' | 'grant.askActive' }>
export type CacheEvent = Extract<HostEvent, { kind: 'endpoint.cache' }>

export interface Requests extends System<RequestsMessage> {
  readonly receiveSubmit: (request: CallerRequest, context: RunContext) => void
  readonly receiveCallerGone: (requestId: RequestId, context: RunContext) => void
  readonly receiveAttempt: (event: AttemptEvent, context: RunContext) => void
  readonly receiveCacheEvent: (event: CacheEvent, context: RunContext) => void
  /** Called after a pause of the event loop: pending grant requests are cancelled and made again. */
  readonly handlePause: (context: RunContext) => void
  /** Refuses new and undispatched requests as not run. Running requests finish. */
  readonly beginShutdown: (context: RunContext) => void
  /** Number of requests, attempts and unrecorded outcomes that a graceful shutdown waits for. */
  readonly getActiveCount: () => number
  /** Returns the logged decisions for an operator; undefined when the request is unknown or no longer kept. */
  readonly explain: (requestId: RequestId) => RequestExplanation | undefined
}

/** What a request must run on. */
export interface RequestTarget {
  readonly kind: 'adapter' | 'service'
  readonly pool: string
  /** The route name for plain services. */
  readonly adapterKey: AdapterKey
  readonly adapter?: AdapterName
  readonly version?: VersionName
  readonly model?: ModelId
}

/** Claim of a non-idempotent request. */
export interface RequestClaim {
  readonly claimKey: ClaimKey
  readonly keyCreatedAt: WallMs
  readonly fingerprint: string
  readonly attemptId: AttemptId
  state: 'taking' | 'taken' | 'othersOutcome' | 'finished'
  /** Number of polls for the outcome of another attempt that holds the key. */
  polls: number
  /** Answer body, stored to replay it to resends; undefined once it exceeds the size limit. */
  keptBody: string[] | undefined
  keptBytes: number
  status: number
  contentType?: string
}

export interface RequestRow {
  readonly request: CallerRequest
  readonly target: RequestTarget
  /** Size of the body; computed on first use. */
  payloadBytes: number | undefined
  readonly arrivedAt: MonotonicMs
  readonly deadlineAt: MonotonicMs
  readonly claim?: RequestClaim
  readonly attempts: AttemptRow[]
  /** Endpoints that this request must not use, and until when. */
  readonly avoidedUntil: Map<EndpointId, MonotonicMs>
  /** Number of grant requests made so far; part of each grant id. */
  grantRequests: number
  dispatches: number
  retries: number
  /** Failed attempts that may have run; attempts that certainly did not run are not counted. */
  failures: number
  hedged: boolean
  /** Grant refusals because the deadline cannot be met; the request fails after a few. */
  deadlineRefusals: number
  /** The attempt whose answer is forwarded to the caller. */
  winner?: AttemptId
  headSent: boolean
  /** Index of the next chunk of the answer that the caller needs. */
  nextIndex: number
  ran: Ran
  /** Wait from arrival to the first dispatch, without `loadStallMs`. */
  queueMs: DurationMs
  /** Part of that wait for which the adapter was being loaded, as the owner reported it. */
  loadStallMs: DurationMs
  /** The caller has its final answer or is gone; the row is kept only to record an outcome. */
  detached: boolean
  closed: boolean
  lastReason: string
}

export interface AttemptRow {
  /** Unique for each grant request, so that a late reply to a cancelled one is never matched to another. */
  readonly grantId: AttemptId
  /** Identifies the dispatch: the attempt id of the claim for work under a claim, else `grantId`. */
  readonly attemptId: AttemptId
  readonly row: RequestRow
  /** Host from which the grant was requested, later the one that gave it; undefined for plain services. */
  owner?: HostId
  readonly askedAt: MonotonicMs
  /** Index of the chunk from which a begun answer is resumed; undefined for an answer from its start. */
  readonly resumeFrom?: number
  /** When a grant request without a reply is cancelled and the request queued again. */
  readonly giveUpAt: MonotonicMs
  resendAt: MonotonicMs
  endpoint?: EndpointId
  url: string
  /**
   * `asking`: waits for a grant. `running`: dispatched. `retained`: given up, but the endpoint may not
   * have stopped yet, so the grant is held to keep the adapter pinned.
   */
  state: 'asking' | 'running' | 'retained'
  dispatchedAt: MonotonicMs
  endBeforeAt: MonotonicMs
  lastProgressAt: MonotonicMs
  headAt?: MonotonicMs
  nextIndex: number
  /** It is the request that decides on the endpoint's open breaker. */
  isProbe: boolean
}
