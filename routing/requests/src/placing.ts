/**
 * Queues requests, chooses an endpoint or another zone for each, and requests grants from the owners of endpoints. Runs
 * for each new request or retry, and for queued ones when their pool may have capacity.
 */
import { ErrorCode } from '@catkinferry/core.errors'
import type { EndpointView, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { CostParts, RouteChoice } from '@catkinferry/routing.router'
import { addAttempt, buildGrantId } from './attemptRows.ts'
import type { Core } from './core.ts'
import { countQueuedElsewhere, getHealth, getQueue } from './core.ts'
import { dispatchAttempt } from './dispatch.ts'
import { failRequest } from './failing.ts'
import type { AttemptRow, RequestRow } from './types.ts'

/** Bound on the queued requests of one pool that one run tries to place; the others wait for the next run. */
const MAX_TRIED_PER_RUN = 64
/** A non-empty queue is tried again after this time even if nothing changed. */
const QUEUE_CHECK_INTERVAL_MS = 50
/** Interval between checks of a pending grant request for a changed owner or a timeout. */
const GRANT_CHECK_INTERVAL_MS = 500
/** Longest wait for an owner's reply, on top of the allowance for the expected queue and load time. */
const GRANT_TIMEOUT_MS = 10_000
/** A grant request without a reply is resent at this interval, since the message may have been lost. */
const GRANT_RESEND_INTERVAL_MS = 2_000
/** Allowance for the expected queue and load time, as a multiple of it. */
const EXPECTED_WAIT_FACTOR = 3
/** Time that a request waits for a pool without endpoints or a zone without a lease before it fails. */
const OUTAGE_WAIT_MS = 2_000
/** The same while a new owner takes over an endpoint of the pool: at most a lease, a sub-lease and an order. */
const TAKEOVER_WAIT_MS = 8_000
const CAPACITY_RETRY_AFTER_MS = 1_000

/** Queues a request. If the queue is full, either this request or the one that it displaces is refused. */
export function queueRequest (core: Core, row: RequestRow, context: RunContext): void {
  if (row.detached || row.closed) return
  const { requestId, serviceClass } = row.request
  const queue = getQueue(core, row.target.pool)
  core.dirtyPools.add(row.target.pool)
  if (queue.has(requestId)) return
  const limits = core.getPolicy().queue
  const limit = Math.max(1, limits.limit - countQueuedElsewhere(core, row.target.pool))
  const result = queue.add({ requestId, serviceClass, deadlineAt: row.deadlineAt }, context.now, { ...limits, limit })
  const refusedRow = result.added ? core.requests.get(result.displaced ?? '') : row
  if (refusedRow === undefined) return
  failRequest(core, refusedRow, {
    code: ErrorCode.NO_CAPACITY,
    message: 'the queue is full',
    step: 'queue',
    retryAfterMs: CAPACITY_RETRY_AFTER_MS
  }, context)
}

/** Tries to place queued requests of all pools that changed or whose check is due. */
export function drainQueues (core: Core, context: RunContext): void {
  for (const pool of core.queueChecks.takeDue(context.now)) core.dirtyPools.add(pool)
  const pools = [...core.dirtyPools]
  core.dirtyPools.clear()
  for (const pool of pools) drainPool(core, pool, context)
}

function drainPool (core: Core, pool: string, context: RunContext): void {
  const queue = getQueue(core, pool)
  queue.promote(context.now, core.getPolicy().queue)
  const unplaced: RequestRow[] = []
  for (let tried = 0; tried < MAX_TRIED_PER_RUN; tried += 1) {
    const row = core.requests.get(queue.takeFirst() ?? '')
    if (row === undefined) break
    if (tryPlace(core, row, context)) {
      queue.remove(row.request.requestId)
      continue
    }
    unplaced.push(row)
  }
  for (const row of unplaced) if (!row.detached) queue.putBack(row.request.requestId)
  if (queue.getSize() > 0) core.queueChecks.set(pool, context.now + QUEUE_CHECK_INTERVAL_MS)
}

/** Tries to place one request. Returns false if it has to wait. */
function tryPlace (core: Core, row: RequestRow, context: RunContext): boolean {
  return applyRouteChoice(core, row, chooseRoute(core, row, context.now), context)
}

/** Applies a routing choice. Returns false if the request has to wait. */
export function applyRouteChoice (core: Core, row: RequestRow, choice: RouteChoice, context: RunContext): boolean {
  if (choice.kind === 'endpoint') {
    placeAtEndpoint(core, row, choice.endpoint, choice.cost, context)
    return true
  }
  if (choice.kind === 'zone') {
    placeInZone(core, row, choice, context)
    return true
  }
  return checkOutage(core, row, choice.reason, context)
}

function getPayloadBytes (row: RequestRow): number {
  const { work } = row.request
  row.payloadBytes ??= Buffer.byteLength(work.kind === 'service' ? work.body : JSON.stringify(work.body))
  return row.payloadBytes
}

/** Chooses an endpoint for a request, or another zone. */
export function chooseRoute (core: Core, row: RequestRow, now: MonotonicMs): RouteChoice {
  const { target, request } = row
  const isServing = target.kind === 'service' || core.opts.zone.isServing(now)
  const isFirst = isServing && row.avoidedUntil.size === 0 && row.attempts.length === 0
  const isAvoided = isFirst
    ? () => false
    : (endpoint: string): boolean => !isServing || (row.avoidedUntil.get(endpoint) ?? 0) > now ||
      row.attempts.some(attempt => attempt.endpoint === endpoint && attempt.state !== 'retained')
  return core.router.choose({
    pool: target.pool,
    adapterKey: target.adapterKey,
    prefixHash: request.work.kind === 'adapter' ? request.work.prefixHash : undefined,
    getPayloadBytes: () => getPayloadBytes(row),
    now,
    isAvoided,
    mayLeaveZone: target.kind === 'adapter'
  }, core.getPolicy().weights)
}

/** Fails a request once its pool has had no endpoints, or its zone no lease, for too long. Returns whether it failed. */
function checkOutage (core: Core, row: RequestRow, reason: string, context: RunContext): boolean {
  row.lastReason = reason
  const isServing = row.target.kind === 'service' || core.opts.zone.isServing(context.now)
  const endpoints = core.opts.zone.listEndpoints(row.target.pool)
  const isOutage = !isServing || !endpoints.some(view => view.kind === 'service' || view.batchLimit > 0)
  const isTakenOver = isServing && endpoints.some(view => view.reportAgeMs === Infinity)
  if (!isOutage || context.now - row.arrivedAt < (isTakenOver ? TAKEOVER_WAIT_MS : OUTAGE_WAIT_MS)) return false
  failRequest(core, row, {
    code: isServing ? ErrorCode.NO_CAPACITY : ErrorCode.NOT_SERVING,
    message: isServing ? `no endpoint serves the pool '${row.target.pool}'` : 'no endpoint owner is reachable from this host',
    step: 'route',
    retryAfterMs: CAPACITY_RETRY_AFTER_MS
  }, context)
  return true
}

/** Requests a grant from the owner of an endpoint, or dispatches at once if it is a plain service. */
export function placeAtEndpoint (core: Core, row: RequestRow, endpoint: EndpointView, cost: CostParts, context: RunContext): void {
  const expectedMs = cost.queueMs + cost.stallMs
  const attempt = createAttempt(core, row, { endpoint, owner: endpoint.owner, expectedMs }, context)
  core.log.add(row.request.requestId, context.now, 'route', `chose ${endpoint.endpoint}`, {
    grant: attempt.grantId, costMs: cost.totalMs, queueMs: cost.queueMs, stallMs: cost.stallMs, prefixMs: cost.prefixMs, fillMs: cost.fillMs
  })
  if (row.target.kind === 'service') {
    const policy = core.getPolicy()
    dispatchAttempt(core, attempt, { sendBeforeMs: context.now + policy.startWithinMs, loadStallMs: 0 }, context)
    return
  }
  core.router.recordGrantRequest(endpoint.endpoint, row.target.adapterKey, context.now)
  attempt.isProbe = getHealth(core.health, endpoint.endpoint, endpoint).breaker.recordSent(context.now)
  sendGrantRequest(core, attempt, endpoint.owner ?? core.opts.zone.getLeaseHolder(), endpoint.endpoint, context)
}

function placeInZone (core: Core, row: RequestRow, choice: Extract<RouteChoice, { kind: 'zone' }>, context: RunContext): void {
  const { summary, costMs, queueMs } = choice
  const attempt = createAttempt(core, row, { owner: summary.contact, expectedMs: queueMs }, context)
  core.log.add(row.request.requestId, context.now, 'route', `spilled to zone ${summary.zone}`, { grant: attempt.grantId, costMs, contact: summary.contact })
  context.emit({ kind: 'metric', type: 'count', name: 'requests.spilled', value: 1, tags: { zone: summary.zone } })
  sendGrantRequest(core, attempt, summary.contact, undefined, context)
}

interface GrantTarget {
  readonly endpoint?: EndpointView
  readonly owner?: HostId
  readonly expectedMs: number
}

function createAttempt (core: Core, row: RequestRow, target: GrantTarget, context: RunContext): AttemptRow {
  row.grantRequests += 1
  const { now } = context
  const grantId = buildGrantId(row)
  const attempt: AttemptRow = {
    grantId,
    attemptId: row.claim?.attemptId ?? grantId,
    row,
    owner: row.target.kind === 'service' ? undefined : target.owner ?? core.opts.zone.getLeaseHolder(),
    askedAt: now,
    resumeFrom: row.headSent ? row.nextIndex : undefined,
    giveUpAt: now + GRANT_TIMEOUT_MS + target.expectedMs * EXPECTED_WAIT_FACTOR,
    resendAt: now + GRANT_RESEND_INTERVAL_MS,
    endpoint: target.endpoint?.endpoint,
    url: target.endpoint?.url ?? '',
    state: 'asking',
    dispatchedAt: now,
    endBeforeAt: row.deadlineAt,
    lastProgressAt: now,
    nextIndex: row.headSent ? row.nextIndex : 0,
    isProbe: false
  }
  addAttempt(core, attempt)
  core.attemptChecks.set(grantId, now + GRANT_CHECK_INTERVAL_MS)
  return attempt
}

/** Resends a grant request that was not answered. Owners identify it by its id, so repeating it is safe. */
export function resendGrantRequest (core: Core, attempt: AttemptRow, context: RunContext): void {
  attempt.resendAt = context.now + GRANT_RESEND_INTERVAL_MS
  sendGrantRequest(core, attempt, attempt.owner, attempt.endpoint, context)
}

function sendGrantRequest (core: Core, attempt: AttemptRow, to: HostId | undefined, endpoint: string | undefined, context: RunContext): void {
  if (to === undefined) return
  const { row } = attempt
  context.send(to, {
    kind: 'grant.ask',
    attemptId: attempt.grantId,
    ...(endpoint === undefined ? { pool: row.target.pool } : { endpoint }),
    adapterKey: row.target.adapterKey,
    serviceClass: row.request.serviceClass,
    remainingMs: Math.floor(row.deadlineAt - context.now),
    maxRunMs: core.getPolicy().maxRunMs
  })
}
