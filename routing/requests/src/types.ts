/** Rows and options of the requests system. */
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
  /** The loop was paused: grants not yet used are void. */
  readonly notePause: (context: RunContext) => void
  /** New and queued requests are refused as not run; running ones finish. */
  readonly beginShutdown: (context: RunContext) => void
  /** Requests and outcomes that a graceful shutdown waits for. */
  readonly getActiveCount: () => number
  readonly explain: (requestId: RequestId) => RequestExplanation | undefined
}

/** What a request must run on. */
export interface RequestTarget {
  readonly kind: 'adapter' | 'service'
  readonly pool: string
  /** The route for services. */
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
  /** Body kept for resends; undefined once it is over the size limit. */
  keptBody: string[] | undefined
  keptBytes: number
  status: number
  contentType?: string
}

export interface RequestRow {
  readonly request: CallerRequest
  readonly target: RequestTarget
  /** Computed where it is needed. */
  payloadBytes: number | undefined
  readonly arrivedAt: MonotonicMs
  readonly deadlineAt: MonotonicMs
  readonly claim?: RequestClaim
  readonly attempts: AttemptRow[]
  /** Endpoints not to be asked before the given time. */
  readonly avoided: Map<EndpointId, MonotonicMs>
  asks: number
  dispatches: number
  retries: number
  /** Attempts that failed and may have run. */
  failures: number
  hedged: boolean
  deadlineRefusals: number
  /** The attempt whose answer the caller gets. */
  winner?: AttemptId
  headSent: boolean
  nextIndex: number
  ran: Ran
  queueMs: DurationMs
  loadStallMs: DurationMs
  /** The caller has its final answer; the row lives on only to record an outcome. */
  detached: boolean
  closed: boolean
  lastReason: string
}

export interface AttemptRow {
  /** New for every ask, so that a late answer to an ask that was given up is never taken for another's. */
  readonly grantId: AttemptId
  /** Names the dispatch: the claim's id for work under a claim, else the grant's. */
  readonly attemptId: AttemptId
  readonly row: RequestRow
  /** Host that was asked for the grant; undefined for plain services. */
  owner?: HostId
  readonly askedAt: MonotonicMs
  readonly resumeFrom?: number
  readonly patienceUntil: MonotonicMs
  resendAt: MonotonicMs
  endpoint?: EndpointId
  url: string
  /** `lingering`: given up, but the endpoint may not have stopped yet; the grant keeps the adapter pinned. */
  state: 'asking' | 'running' | 'lingering'
  dispatchedAt: MonotonicMs
  endBeforeAt: MonotonicMs
  lastProgressAt: MonotonicMs
  headAt?: MonotonicMs
  nextIndex: number
}
