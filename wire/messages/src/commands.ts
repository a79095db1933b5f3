/** Commands that change the replicated state, their outcomes, queries of that state, and the messages that carry them between hosts. */
import type { Failure } from '@catkinferry/core.errors'
import type { AdapterName, AttemptId, ChangeId, ClaimKey, EndpointId, HostId, ModelId, NodeChange, OperatorIdentity, RequestTrait, RouteTable, WallMs } from '@catkinferry/core.types'

export type Command =
  | { readonly kind: 'settings.change', readonly changeId: ChangeId, readonly operator: OperatorIdentity, readonly changes: readonly NodeChange[] }
  /** Records a refused change in the audit trail. */
  | { readonly kind: 'audit.refused', readonly changeId: ChangeId, readonly operator: OperatorIdentity, readonly changes: readonly NodeChange[], readonly failure: Failure }
  | { readonly kind: 'claim.take', readonly claimKey: ClaimKey, readonly attemptId: AttemptId, readonly host: HostId, readonly keyCreatedAt: WallMs, readonly fingerprint: string }
  | { readonly kind: 'claim.finish', readonly claimKey: ClaimKey, readonly attemptId: AttemptId, readonly outcome: ClaimOutcome }
  | { readonly kind: 'claim.resolve', readonly changeId: ChangeId, readonly operator: OperatorIdentity, readonly claimKey: ClaimKey, readonly resolution: 'done' | 'notRun', readonly note: string }
  /** Replaces the routes if the version is higher than the current one. `document` is the operator's input, returned when the routes are queried. */
  | { readonly kind: 'routes.replace', readonly table: RouteTable, readonly document: string }
  /** The same for a large configuration: deflated JSON of `table` and `document`. */
  | { readonly kind: 'routes.replacePacked', readonly version: number, readonly packed: Uint8Array }
  /** Announces a new version of an adapter. */
  | { readonly kind: 'adapter.announce', readonly model: ModelId, readonly adapter: AdapterName, readonly version: number }
  /** Refuses requests with a prompt part, or one whole request, and serves them again. */
  | { readonly kind: 'prompt.quarantine', readonly part: RequestTrait }
  | { readonly kind: 'prompt.release', readonly part: RequestTrait }
  | { readonly kind: 'endpoint.fact', readonly endpoint: EndpointId, readonly checksFencing: boolean }
  /** Replaces the software versions in which a service runs; the empty string stands for endpoints without one. */
  | { readonly kind: 'service.versions', readonly pool: string, readonly versions: readonly string[] }

/** The set of commands since which each kind can be applied. A kind is proposed only when every voter has said that it can apply its set. */
export const COMMAND_SETS: Readonly<Record<Command['kind'], number>> = {
  'settings.change': 1,
  'audit.refused': 1,
  'claim.take': 1,
  'claim.finish': 1,
  'claim.resolve': 1,
  'routes.replace': 1,
  'routes.replacePacked': 1,
  'adapter.announce': 1,
  'prompt.quarantine': 1,
  'prompt.release': 1,
  'endpoint.fact': 1,
  'service.versions': 2
}

/** The newest set that this release can apply, stated in the hellos of core hosts. Hosts that state none can apply the first. */
export const NEWEST_COMMAND_SET = 2
export const FIRST_COMMAND_SET = 1

/** How non-idempotent work ended. */
export type ClaimOutcome =
  | { readonly kind: 'done', readonly answer?: StoredAnswer }
  | { readonly kind: 'notRun', readonly reason: string }
  | { readonly kind: 'unknown', readonly reason: string }

/** An answer stored for resent requests; `body` is absent when it exceeded the size limit. */
export interface StoredAnswer {
  readonly status: number
  readonly contentType?: string
  readonly body?: string
  readonly adapter?: string
  readonly version?: string
}

/** Result of applying a command. */
export type CommandOutcome =
  /** `repeated`: a change with this id was applied before; this is its original outcome. */
  | { readonly kind: 'settings.accepted', readonly revision: number, readonly repeated: boolean, readonly nodes: readonly { readonly path: string, readonly revision: number }[] }
  | { readonly kind: 'settings.refused', readonly failure: Failure, readonly repeated: boolean, readonly current?: unknown }
  | { readonly kind: 'claim.taken' }
  /** Another attempt has taken the key, or the work under it is finished. */
  | { readonly kind: 'claim.held', readonly attemptId: AttemptId, readonly host: HostId, readonly outcome?: ClaimOutcome, readonly sameFingerprint: boolean }
  /** Nothing was recorded: the key is older than the retention period, or its creation time is in the future by the leader's clock. */
  | { readonly kind: 'claim.expired', readonly reason?: 'tooOld' | 'inFuture' }
  | { readonly kind: 'claim.finished' }
  | { readonly kind: 'claim.resolved' }
  /** `version` is the current one; `replaced` is false when it was already at least as high as the submitted one. */
  | { readonly kind: 'routes.held', readonly version: number, readonly replaced: boolean }
  | { readonly kind: 'adapter.announced', readonly version: number }
  | { readonly kind: 'recorded' }

/** Result of a submission, as far as the submitting host can know. `failure` is the last one that a voter named as the cause of a refusal. */
export type CommandResult =
  | { readonly kind: 'outcome', readonly outcome: CommandOutcome }
  /** It is certain that the command was not and will not be committed. */
  | { readonly kind: 'refused', readonly reason: string, readonly failure?: Failure }
  /** The answer was lost or the deadline passed: the command may have been committed, or may still be. */
  | { readonly kind: 'unknown', readonly failure?: Failure }

/** Why a voter refuses a command: it does not lead, its limits are reached, or it cannot write its log, which `failure` describes. */
export type CommandRefusal = 'notLeader' | 'busy' | 'diskFailed'

/** Submissions and queries, sent by any host to a voter, which forwards them to the leader; and the answers. */
export type CommandMessage =
  | { readonly kind: 'command.submit', readonly commandId: string, readonly origin: HostId, readonly command: Command, readonly hops: number }
  | { readonly kind: 'command.outcome', readonly commandId: string, readonly outcome: CommandOutcome }
  /** It is certain that this submission does not commit the command. Without `failure`, the voter names no cause but `reason`. */
  | { readonly kind: 'command.refused', readonly commandId: string, readonly reason: CommandRefusal, readonly failure?: Failure, readonly leader?: HostId }
  | { readonly kind: 'query.ask', readonly queryId: string, readonly origin: HostId, readonly query: Query, readonly fresh: boolean, readonly hops: number }
  | { readonly kind: 'query.answer', readonly queryId: string, readonly answer: unknown, readonly failure?: Failure, readonly leader?: HostId }

/** Queries to the voters, for replicated state of which other hosts have no copy. */
export type Query =
  | { readonly kind: 'claim', readonly claimKey: ClaimKey }
  | { readonly kind: 'claims', readonly state?: string, readonly limit: number }
  | { readonly kind: 'audit', readonly afterSequence: number, readonly limit: number, readonly path?: string, readonly who?: string }
  | { readonly kind: 'settings', readonly path: string, readonly effective: boolean, readonly explain: boolean }
  | { readonly kind: 'voters' }
  /** Begins the replacement of a voter, or returns the progress of the same replacement. Leader only. */
  | { readonly kind: 'replaceVoter', readonly remove?: HostId, readonly add?: HostId }
  | { readonly kind: 'settingsStatus' }
  /** The newest routes, as a `RouteDocument`. */
  | { readonly kind: 'routes' }
  /** The version of the newest routes; 0 if there are none. */
  | { readonly kind: 'routesVersion' }

/** A version of the routes as the operator sent it. */
export interface RouteDocument {
  readonly version: number
  readonly document: string
}
