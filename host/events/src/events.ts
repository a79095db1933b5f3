/** Events that a host core receives from its shell, the I/O code around it. */
import type { Failure } from '@catkinferry/core.errors'
import type { DiskAnswer, PeerMessage } from '@catkinferry/wire.messages'
import type {
  AdapterKey, AnswerEcho, AttemptId, CallerRequest, ChangeId, EndpointId, EndpointReport, EndpointRow, HostId, NodeChange, OperatorIdentity, OperatorRequest, OrderId,
  OrderOutcome, RequestId, ZoneId
} from '@catkinferry/core.types'

export type HostEvent =
  | { readonly kind: 'peer.message', readonly from: HostId, readonly message: PeerMessage }
  | { readonly kind: 'peer.link', readonly host: HostId, readonly up: boolean }
  | { readonly kind: 'caller.submit', readonly request: CallerRequest }
  /** The caller closed its connection or stopped reading. */
  | { readonly kind: 'caller.gone', readonly requestId: RequestId }
  | AttemptEvent
  | { readonly kind: 'order.result', readonly orderId: OrderId, readonly endpoint: EndpointId, readonly outcome: OrderOutcome }
  | { readonly kind: 'endpoint.report', readonly endpoint: EndpointId, readonly report: EndpointReport }
  | { readonly kind: 'endpoint.unreachable', readonly endpoint: EndpointId }
  /** Engines publish cache events late and with gaps. */
  | { readonly kind: 'endpoint.cache', readonly endpoint: EndpointId, readonly change: 'stored' | 'dropped', readonly prefixHashes: readonly string[] }
  | { readonly kind: 'platform.list', readonly endpoints: readonly EndpointRow[], readonly hosts: readonly PlatformHost[] }
  | { readonly kind: 'platform.unreachable' }
  | { readonly kind: 'disk.answer', readonly answer: DiskAnswer }
  | { readonly kind: 'operator.request', readonly opId: string, readonly request: OperatorRequest }
  /** A change was refused before it reached the core, because the operator lacks the role; it is recorded in the audit trail. */
  | { readonly kind: 'operator.refused', readonly operator: OperatorIdentity, readonly changeId: ChangeId, readonly changes: readonly NodeChange[], readonly failure: Failure }
  /** Graceful shutdown was requested. */
  | { readonly kind: 'host.stop' }

/** A host as listed by the platform. */
export interface PlatformHost {
  readonly host: HostId
  readonly zone: ZoneId
  readonly leaving: boolean
}

/** Progress of one attempt, that is one dispatch of a request to an endpoint. */
export type AttemptEvent =
  /** Response head arrived. */
  | { readonly kind: 'attempt.started', readonly attemptId: AttemptId, readonly echo: AnswerEcho, readonly status: number, readonly contentType?: string }
  /** One part of the answer, in order from 0 (or from `resumeFrom`). `data` is passed to the caller unchanged. */
  | { readonly kind: 'attempt.chunk', readonly attemptId: AttemptId, readonly echo: AnswerEcho, readonly index: number, readonly data: string, readonly tokens: number }
  /** The endpoint's own end marker arrived. */
  | { readonly kind: 'attempt.ended', readonly attemptId: AttemptId, readonly echo: AnswerEcho, readonly chunks: number }
  /** `sent` is false only when no byte of the request could have left this process. */
  | { readonly kind: 'attempt.failed', readonly attemptId: AttemptId, readonly failure: Failure, readonly sent: boolean, readonly refused?: 'busy' | 'notResident' | 'leaving' }

/** The adapter that an attempt must run on. */
export interface AttemptTarget {
  readonly attemptId: AttemptId
  readonly endpoint: EndpointId
  readonly adapterKey?: AdapterKey
}
