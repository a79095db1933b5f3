/**
 * Sends orders (load, evict, set role) to the engines of owned endpoints and tracks them until their results arrive. They
 * are sent only under a live sub-lease and cut when it ends.
 */
import { MAX_EVICT_MS, MAX_ORDER_MS } from '@catkinferry/core.constants'
import type { AdapterKey, MonotonicMs, Order, OrderId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { EndpointState } from './endpointState.ts'
import { isOwnerNow, scheduleUpdate } from './grantsCore.ts'
import type { GrantsCore, OrderRow } from './grantsCore.ts'

/** No order is sent with less time than this left of the sub-lease. */
const MIN_SUB_LEASE_LEFT_MS = 100
/** Minimum time between two claim orders. */
const CLAIM_RETRY_MS = 500

/** Returns whether the owner may send an order now; never while an order of an earlier owner can still take effect. */
export function mayOrder (core: GrantsCore, state: EndpointState, now: MonotonicMs): boolean {
  if (!isOwnerNow(core, state, now) || state.recalled) return false
  if (core.opts.getSubLeaseUntil() - now < MIN_SUB_LEASE_LEFT_MS) return false
  return state.fencingAccepted || now >= state.owned.orderAfter
}

export interface OrderOptions {
  readonly order: Order
  readonly purpose: OrderRow['purpose']
  readonly adapterKey?: AdapterKey
  readonly loadId?: string
}

/** Sends an order. Must be allowed by `mayOrder`, except for a claim order. */
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

/** Cuts all orders in flight at an endpoint. Their results are still reported. */
export function cutOrders (core: GrantsCore, openOrders: ReadonlySet<OrderId>, context: RunContext): void {
  for (const orderId of openOrders) {
    const row = core.orders.get(orderId)
    if (row === undefined || row.cut) continue
    row.cut = true
    context.emit({ kind: 'order.cut', orderId })
  }
}

/**
 * Sends an order that changes nothing to an engine that checks fencing. Once the engine knows this owner's fencing number, it
 * refuses the orders of earlier owners, and this owner need not wait until they can no longer arrive.
 */
export function sendClaimOrder (core: GrantsCore, state: EndpointState, context: RunContext): void {
  const { now } = context
  const received = state.lastReport
  if (state.fencingAccepted || received === undefined || !received.report.checksFencing || now >= state.owned.orderAfter) return
  if (!isOwnerNow(core, state, now) || state.openOrders.size > 0) return
  if (state.nextClaimAt > now) {
    scheduleUpdate(core, state, state.nextClaimAt)
    return
  }
  const resident = received.report.resident[0]
  const order: Order = resident === undefined ? { kind: 'setRole', pool: received.report.pool } : { kind: 'load', adapterKey: resident }
  state.nextClaimAt = now + CLAIM_RETRY_MS
  sendOrder(core, state, { order, purpose: 'claim' }, context)
}

/** Removes and returns an order, with the state of its endpoint if that is still owned. */
export function takeOrder (core: GrantsCore, orderId: OrderId): { readonly row: OrderRow, readonly state: EndpointState | undefined } | undefined {
  const row = core.orders.get(orderId)
  if (row === undefined) return undefined
  core.orders.delete(orderId)
  const state = core.states.get(row.endpoint)
  state?.openOrders.delete(orderId)
  return { row, state }
}
