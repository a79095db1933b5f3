/**
 * Sends orders (load or evict an adapter, change the pool) to engines, for the engine driver, when the owner of an endpoint
 * issues them. Each carries a fencing token and uses a dedicated connection, which is reset if the order is aborted.
 */
import type { Clock } from '@catkinferry/core.clock'
import { createHeldBuffer } from '@catkinferry/core.memory-budget'
import type { MemoryBudget } from '@catkinferry/core.memory-budget'
import type { Order, OrderId, OrderOutcome } from '@catkinferry/core.types'
import { startHttpCall } from '@catkinferry/endpoints.http-dispatch'
import type { CallFailure, Connections } from '@catkinferry/endpoints.http-dispatch'
import type { HostEvent, OrderSend } from '@catkinferry/host.events'

export interface OrdersOptions {
  readonly clock: Clock
  readonly emit: (event: HostEvent) => void
  readonly connections: Connections
  /** Accounts for what is held of responses. */
  readonly budget: MemoryBudget
}

export interface Orders {
  readonly send: (order: OrderSend) => void
  /** Aborts an order, which then has the outcome `notSent` or `unknown`. Does nothing if it is not in progress. */
  readonly cut: (orderId: OrderId) => void
}

interface OrderRequest {
  readonly path: string
  readonly body: Readonly<Record<string, unknown>>
}

/** Many times what engines answer: the status tells the outcome, and a body has a few fields. */
const MAX_RESPONSE_BYTES = 64 * 1024
const MAX_QUOTED_CHARACTERS = 200
const FENCING_REFUSED_STATUS = 409

const REQUESTS: { readonly [K in Order['kind']]: (order: Extract<Order, { kind: K }>) => OrderRequest } = {
  load: order => ({ path: '/v1/load_lora_adapter', body: { lora_name: order.adapterKey } }),
  evict: order => ({ path: '/v1/unload_lora_adapter', body: { lora_name: order.adapterKey } }),
  setRole: order => ({ path: '/v1/role', body: { pool: order.pool } })
}

function buildRequest (order: Order): OrderRequest {
  return (REQUESTS[order.kind] as (order: Order) => OrderRequest)(order)
}

function parseHighestFencing (text: string): number | undefined {
  try {
    const { error } = JSON.parse(text) as { error?: { code?: unknown, highest_fencing?: unknown } }
    return error?.code === 'old_fencing' && typeof error.highest_fencing === 'number' ? error.highest_fencing : undefined
  } catch {
    return undefined
  }
}

function buildOutcome (status: number, text: string, tookMs: number): OrderOutcome {
  if (status >= 200 && status < 300) return { kind: 'done', tookMs }
  const highestFencing = status === FENCING_REFUSED_STATUS ? parseHighestFencing(text) : undefined
  if (highestFencing !== undefined) return { kind: 'refusedFencing', highestFencing }
  return { kind: 'failed', reason: `status ${status}: ${text.slice(0, MAX_QUOTED_CHARACTERS)}` }
}

/** Creates the table of orders in progress. Each order emits exactly one `order.result`. */
export function createOrders (opts: OrdersOptions): Orders {
  const { clock, emit, connections } = opts
  const inFlight = new Map<OrderId, () => void>()

  function send (order: OrderSend): void {
    const { orderId, endpoint } = order
    const connection = connections.openFresh(order.url)
    const request = buildRequest(order.order)
    const startedAt = clock.getMonotonicMs()
    let status = 0

    function finish (outcome: OrderOutcome): void {
      content.release()
      if (!inFlight.delete(orderId)) return
      emit({ kind: 'order.result', orderId, endpoint, outcome })
    }

    function finishUnanswered (sent: boolean): void {
      finish({ kind: sent ? 'unknown' : 'notSent' })
    }

    function cut (): void {
      call.cancel()
      finishUnanswered(call.isSent())
    }

    const content = createHeldBuffer({ budget: opts.budget, owner: endpoint, maxBytes: MAX_RESPONSE_BYTES, onEvicted: cut })
    inFlight.set(orderId, cut)
    const call = startHttpCall({
      dispatcher: connection.dispatcher,
      clock,
      method: 'POST',
      path: request.path,
      headers: { 'content-type': 'application/json', 'x-catkinferry-fencing': String(order.fencing), 'x-catkinferry-order': orderId },
      body: JSON.stringify(request.body),
      sendBeforeMs: order.sendBeforeMs,
      endBeforeMs: order.cutAtMs,
      reset: connection.reset,
      handler: {
        onHead: value => { status = value },
        onData: data => {
          if (content.add(data) !== undefined) cut()
        },
        onEnd: () => {
          connection.close()
          finish(buildOutcome(status, content.getText(), clock.getMonotonicMs() - startedAt))
        },
        onFail: (failure: CallFailure) => { finishUnanswered(failure.sent) }
      }
    })
  }

  return { send, cut: orderId => { inFlight.get(orderId)?.() } }
}
