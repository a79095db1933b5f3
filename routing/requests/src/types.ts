/** Public interface of the requests system, and the in-memory rows that it keeps for each request and attempt. */
import type { Ran } from '@catkinferry/core.errors'
import type { Random } from '@catkinferry/core.random'
import type {
  AdapterKey, AdapterName, AttemptId, CallerRequest, ClaimKey, DurationMs, EndpointId, HostId, HostPlace, ModelId, MonotonicMs,
  NodePath, RequestId, SettingsView, VersionName, WallMs, ZoneView
} from '@catkinferry/core.types'
import type { AttemptEvent, HostEvent, RunContext, System } from '@catkinferry/host.events'
import type { LedgerClient } from '@catkinferry/ledger.claims'
import type { RequestExplanation } from '@catkinferry/routing.explain'
import type { GrantMessage } from '@catkinferry/wire.messages'

export interface RequestsOptions {
  readonly self: HostPlace
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
  readonly receiveGone: (requestId: RequestId, context: RunContext) => void
  readonly receiveAttempt: (event: AttemptEvent, context: RunContext) => void
  readonly receiveCache: (event: CacheEvent, context: RunContext) => void
  /** Called after a pause of the event loop: pending grant requests are cancelled and made again. */
  readonly notePause: (context: RunContext) => void
  /** Refuses new and undispatched requests as not run. Running requests finish. */
  readonly beginShutdown: (context: RunContext) => void
  /** Number of requests, attempts and unrecorded outcomes that a graceful shutdown waits for. */
  readonly getActiveCount: () => number
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
  grantRequests: number
  dispatches: number
  retries: number
  /** Failed attempts that may have run; attempts that certainly did not run are not counted. */
  failures: number
  hedged: boolean
  deadlineRefusals: number
  /** The attempt whose answer is forwarded to the caller. */
  winner?: AttemptId
  headSent: boolean
  nextIndex: number
  ran: Ran
  queueMs: DurationMs
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
  /** Host that was asked for the grant, later the one that gave it; undefined for plain services. */
  owner?: HostId
  readonly askedAt: MonotonicMs
  readonly resumeFrom?: number
  readonly giveUpAt: MonotonicMs
  resendAt: MonotonicMs
  endpoint?: EndpointId
  url: string
  /**
   * `asking`: waits for a grant. `running`: dispatched. `lingering`: given up, but the endpoint may not
   * have stopped yet, so the grant is held to keep the adapter pinned.
   */
  state: 'asking' | 'running' | 'lingering'
  dispatchedAt: MonotonicMs
  endBeforeAt: MonotonicMs
  lastProgressAt: MonotonicMs
  headAt?: MonotonicMs
  nextIndex: number
}
