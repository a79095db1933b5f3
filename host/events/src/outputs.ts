/** Outputs of a host core, performed by its shell, the I/O code around it. */
import type { Failure } from '@catkinferry/core.errors'
import type { DiskRequest, PeerMessage } from '@catkinferry/wire.messages'
import type {
  AdapterWork, AnswerFacts, AttemptId, ClaimKey, EndpointId, HostId, MonotonicMs, OperatorReply, Order, OrderId, RequestFailure, RequestId,
  ServiceClass, ServiceWork
} from '@catkinferry/core.types'

export type HostOutput =
  | { readonly kind: 'peer.send', readonly to: HostId, readonly message: PeerMessage }
  | AttemptStart
  | { readonly kind: 'attempt.cancel', readonly attemptId: AttemptId }
  | OrderSend
  /** Aborts an order that is given up, by resetting its connection. */
  | { readonly kind: 'order.cut', readonly orderId: OrderId }
  | { readonly kind: 'endpoint.poll', readonly endpoint: EndpointId, readonly url: string }
  | { readonly kind: 'platform.poll' }
  | { readonly kind: 'disk.request', readonly request: DiskRequest }
  | { readonly kind: 'caller.head', readonly requestId: RequestId, readonly facts: AnswerFacts, readonly status: number, readonly contentType?: string }
  | { readonly kind: 'caller.chunk', readonly requestId: RequestId, readonly data: string }
  | { readonly kind: 'caller.end', readonly requestId: RequestId, readonly facts: AnswerFacts }
  /** Before the head: an HTTP error. After it: the stream ends with an error and without an end marker. */
  | { readonly kind: 'caller.fail', readonly requestId: RequestId, readonly failure: RequestFailure }
  | { readonly kind: 'operator.reply', readonly opId: string, readonly reply: OperatorReply }
  | { readonly kind: 'log', readonly level: 'debug' | 'info' | 'warn' | 'error', readonly message: string, readonly fields: LogFields }
  | { readonly kind: 'metric', readonly type: 'count' | 'gauge' | 'timing', readonly name: string, readonly value: number, readonly tags?: Readonly<Record<string, string>> }
  /** Whether the load balancer may send callers to this host. */
  | { readonly kind: 'host.health', readonly ready: boolean, readonly reason: string }
  /** Graceful shutdown is complete: the shell closes its links and ends the process. */
  | { readonly kind: 'host.stopped' }

export interface LogFields {
  readonly step?: string
  readonly peer?: string
  readonly requestId?: RequestId
  readonly failure?: Failure
  readonly [key: string]: unknown
}

/** Dispatch of a request to an endpoint. The shell reads its clock again and does not send after `sendBeforeMs`. */
export interface AttemptStart {
  readonly kind: 'attempt.start'
  readonly attemptId: AttemptId
  readonly requestId: RequestId
  readonly endpoint: EndpointId
  readonly url: string
  readonly work: AdapterWork | ServiceWork
  readonly serviceClass: ServiceClass
  /** Sent to plain services as the `idempotency-key` header. */
  readonly claimKey?: ClaimKey
  readonly freshConnection: boolean
  /** Index of the chunk from which the stream is resumed. */
  readonly resumeFrom?: number
  readonly sendBeforeMs: MonotonicMs
  /** The shell cancels the attempt at this time. */
  readonly endBeforeMs: MonotonicMs
  /** The attempt fails if its stream delivers nothing for this long. */
  readonly progressTimeoutMs: number
}

/** Sends an order to an engine. It is not sent after `sendBeforeMs`; at `cutAtMs` its connection is reset. */
export interface OrderSend {
  readonly kind: 'order.send'
  readonly orderId: OrderId
  readonly endpoint: EndpointId
  readonly url: string
  readonly order: Order
  readonly fencing: number
  readonly sendBeforeMs: MonotonicMs
  readonly cutAtMs: MonotonicMs
}
