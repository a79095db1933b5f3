/** Orders to engines: sent only under a live sub-lease, cut when it ends. */
import { MAX_EVICT_MS, MAX_ORDER_MS } from '@catkinferry/core.constants'
import type { AdapterKey, MonotonicMs, Order, OrderId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { EndpointState } from './endpointState.ts'
import { isOwnerNow, planVisit } from './grantsCore.ts'
import type { GrantsCore, OrderRow } from './grantsCore.ts'

/** An order is not begun with less than this left of the sub-lease. */
const SHORTEST_LEFT_MS = 100
const CLAIM_RETRY_MS = 500

/** Tells whether an order may be sent: no order of an earlier owner can still take effect. */
export function mayOrder (core: GrantsCore, state: EndpointState, now: MonotonicMs): boolean {
  if (!isOwnerNow(core, state, now) || state.recalled) return false
  if (core.opts.getSubLeaseUntil() - now < SHORTEST_LEFT_MS) return false
  return state.fencingTaken || now >= state.owned.orderAfter
}

export interface OrderOptions {
  readonly order: Order
  readonly purpose: OrderRow['purpose']
  readonly adapterKey?: AdapterKey
  readonly loadId?: string
}

/** Sends an order; the caller has checked that it may. */
export function sendOrder (core: GrantsCore, state: EndpointState, opts: OrderOptions, context: RunContext): void {
  const { now } = context
  const { row, fencing } = state.owned
  const orderId = core.createId()
  const longestMs = opts.order.kind === 'evict' ? MAX_EVICT_MS : MAX_ORDER_MS
  core.orders.set(orderId, { orderId, endpoint: row.endpoint, cut: false, ...opts })
  state.openOrders.add(orderId)
  context.emit({
    kind: 'order.send',
    orderId,
    endpoint: row.endpoint,
    url: row.url,
    order: opts.order,
    fencing,
    sendBeforeMs: Math.min(core.opts.getSubLeaseUntil(), now + longestMs),
    cutAtMs: now + longestMs
  })
}

/** Cuts all orders under way at an endpoint. Their results still come. */
export function cutOrders (core: GrantsCore, openOrders: ReadonlySet<OrderId>, context: RunContext): void {
  for (const orderId of openOrders) {
    const row = core.orders.get(orderId)
    if (row === undefined || row.cut) continue
    row.cut = true
    context.emit({ kind: 'order.cut', orderId })
  }
}

/** Teaches an engine that checks fencing our number, so that the wait for the earlier owner's orders is not needed. */
export function sendClaimOrder (core: GrantsCore, state: EndpointState, context: RunContext): void {
  const { now } = context
  const seen = state.seen
  if (state.fencingTaken || seen === undefined || !seen.report.checksFencing || now >= state.owned.orderAfter) return
  if (!isOwnerNow(core, state, now) || state.openOrders.size > 0) return
  if (state.claimAfter > now) {
    planVisit(core, state, state.claimAfter)
    return
  }
  const resident = seen.report.resident[0]
  const order: Order = resident === undefined ? { kind: 'setRole', pool: seen.report.pool } : { kind: 'load', adapterKey: resident }
  state.claimAfter = now + CLAIM_RETRY_MS
  sendOrder(core, state, { order, purpose: 'claim' }, context)
}

/** Forgets an order and tells what it was. */
export function takeOrder (core: GrantsCore, orderId: OrderId): { readonly row: OrderRow, readonly state: EndpointState | undefined } | undefined {
  const row = core.orders.get(orderId)
  if (row === undefined) return undefined
  core.orders.delete(orderId)
  const state = core.states.get(row.endpoint)
  state?.openOrders.delete(orderId)
  return { row, state }
}
