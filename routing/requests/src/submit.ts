/** Takes requests from callers: validation, admission, claim, and the first routing decision. Also handles callers that disconnect. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { CallerRequest, DurationMs, ResolvedAdapter } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { RouteChoice } from '@catkinferry/routing.router'
import { closeRow, refuseArrival } from './answers.ts'
import type { FailureOptions } from './answers.ts'
import { cancelOthers } from './attemptRows.ts'
import { createClaim, takeClaim } from './claims.ts'
import type { Core } from './core.ts'
import { getQueue } from './core.ts'
import { failRequest, recordOutcome } from './failing.ts'
import { applyRouteChoice, chooseRoute, queueRequest } from './placing.ts'
import type { RequestClaim, RequestRow, RequestTarget } from './types.ts'

const NOT_SERVING_RETRY_AFTER_MS = 1_000
/** Fraction of the expected run time that must remain before the deadline after the expected wait. */
const MIN_RUN_TIME_FRACTION = 0.5

type Refusal = Omit<FailureOptions, 'ran'>

function resolveTarget (core: Core, request: CallerRequest): RequestTarget | undefined {
  const { work } = request
  if (work.kind === 'service') {
    const pool = core.getPolicy().serviceRoutes[work.route]?.pool ?? work.route
    return { kind: 'service', pool, adapterKey: work.route }
  }
  const resolved: ResolvedAdapter | undefined = core.opts.settings.resolveAdapter(work.adapter, work.version)
  if (resolved === undefined) return undefined
  const { pool, adapterKey, adapter, version, model } = resolved
  return { kind: 'adapter', pool, adapterKey, adapter, version, model }
}

function findRefusal (core: Core, target: RequestTarget | undefined, context: RunContext): Refusal | undefined {
  if (core.shuttingDown) {
    return { code: ErrorCode.SHUTTING_DOWN, message: 'this host is shutting down', step: 'admission', retryAfterMs: 0 }
  }
  if (!core.opts.settings.isReady()) {
    return { code: ErrorCode.NOT_SERVING, message: 'this host has no settings yet', step: 'admission', retryAfterMs: NOT_SERVING_RETRY_AFTER_MS }
  }
  if (target === undefined) {
    return { code: ErrorCode.UNKNOWN_ADAPTER, message: 'no such adapter or version', step: 'admission' }
  }
  const isCutOff = target.kind === 'adapter' && !core.opts.zone.isServing(context.now) && core.opts.zone.listOtherZones(target.pool).length === 0
  if (isCutOff) {
    return { code: ErrorCode.NOT_SERVING, message: 'no endpoint owner is reachable from this host', step: 'admission', retryAfterMs: NOT_SERVING_RETRY_AFTER_MS }
  }
  return undefined
}

function tryAdmitCaller (core: Core, request: CallerRequest, context: RunContext): Refusal | undefined {
  const result = core.admission.tryAdmit({ caller: request.caller, now: context.now, limits: core.getPolicy().caller })
  if (result.admitted) return undefined
  const { reason, retryAfterMs } = result
  return { code: ErrorCode.OVER_LIMIT, message: `the caller has reached its ${reason} limit`, step: 'admission', retryAfterMs }
}

/** A route that the settings mark as non-idempotent overrides the caller's own flag. */
function isIdempotentRequest (core: Core, request: CallerRequest): boolean {
  const { work, idempotent } = request
  if (work.kind !== 'service') return idempotent
  return idempotent && core.getPolicy().serviceRoutes[work.route]?.idempotent !== false
}

function createRow (request: CallerRequest, target: RequestTarget, claim: RequestClaim | undefined, context: RunContext): RequestRow {
  return {
    request,
    target,
    payloadBytes: undefined,
    arrivedAt: context.now,
    deadlineAt: context.now + request.deadlineMs,
    claim,
    attempts: [],
    avoidedUntil: new Map(),
    grantRequests: 0,
    dispatches: 0,
    retries: 0,
    failures: 0,
    hedged: false,
    deadlineRefusals: 0,
    headSent: false,
    nextIndex: 0,
    ran: 'no',
    queueMs: 0,
    loadStallMs: 0,
    detached: false,
    closed: false,
    lastReason: 'waiting in the queue'
  }
}

/** Returns the expected wait if it leaves too little time to run before the deadline; undefined otherwise. */
function findWaitPastDeadline (row: RequestRow, choice: RouteChoice): DurationMs | undefined {
  if (choice.kind !== 'endpoint') return undefined
  const waitMs = choice.cost.queueMs + choice.cost.stallMs
  const neededMs = waitMs + choice.endpoint.expectedRunMs * MIN_RUN_TIME_FRACTION
  return neededMs > row.request.deadlineMs ? Math.ceil(waitMs) : undefined
}

/** Takes one request: refuses it, places it at an endpoint, queues it, or takes a claim for it first. */
export function submitRequest (core: Core, request: CallerRequest, context: RunContext): void {
  const { requestId } = request
  if (core.requests.has(requestId)) {
    context.emit({ kind: 'log', level: 'error', message: 'request id submitted twice; second submission ignored', fields: { step: 'admission', requestId } })
    return
  }
  core.log.begin(requestId, context.now, context.wallNow)
  const target = resolveTarget(core, request)
  const refusal = findRefusal(core, target, context) ?? tryAdmitCaller(core, request, context)
  if (refusal !== undefined || target === undefined) {
    refuseArrival(core, requestId, { ...refusal as Refusal, ran: 'no' }, context)
    return
  }
  admitRequest(core, request, target, context)
}

function admitRequest (core: Core, request: CallerRequest, target: RequestTarget, context: RunContext): void {
  const { requestId, caller, serviceClass, deadlineMs } = request
  const { retentionMs } = core.getPolicy()
  const claimed = isIdempotentRequest(core, request) ? undefined : createClaim({ request, wallNow: context.wallNow, random: core.opts.random, retentionMs })
  if (claimed?.ok === false) {
    core.admission.release(caller)
    refuseArrival(core, requestId, { code: claimed.code, message: claimed.message, hint: claimed.hint, step: 'claim', ran: 'no' }, context)
    return
  }
  const row = createRow(request, target, claimed?.claim, context)
  core.requests.set(requestId, row)
  core.deadlines.set(requestId, row.deadlineAt)
  core.log.add(requestId, context.now, 'admission', 'admitted', { class: serviceClass, deadlineMs, pool: target.pool, adapterKey: target.adapterKey })
  if (row.claim !== undefined) {
    takeClaim(core, row, context)
    return
  }
  const choice = chooseRoute(core, row, context.now)
  const retryAfterMs = findWaitPastDeadline(row, choice)
  if (retryAfterMs !== undefined) {
    failRequest(core, row, { code: ErrorCode.DEADLINE, message: 'the deadline cannot be met', step: 'admission', ran: 'no', retryAfterMs }, context)
    return
  }
  const isQueueEmpty = getQueue(core, target.pool).getSize() === 0
  if (!isQueueEmpty || choice.kind === 'none' || !applyRouteChoice(core, row, choice, context)) queueRequest(core, row, context)
}

/**
 * Handles a caller that disconnected or stopped reading. Dispatched work under a claim runs on so that
 * its outcome can be recorded; everything else is cancelled.
 */
export function handleCallerGone (core: Core, row: RequestRow, context: RunContext): void {
  const { requestId, caller } = row.request
  core.log.add(requestId, context.now, 'caller', 'gone')
  const isOutcomePending = row.claim?.state === 'taken' && row.attempts.some(attempt => attempt.state === 'running')
  if (isOutcomePending) {
    if (!row.detached) core.admission.release(caller)
    row.detached = true
    core.deadlines.clear(requestId)
    return
  }
  cancelOthers(core, row, undefined, context)
  if (row.ran === 'no') recordOutcome(core, row, { kind: 'notRun', reason: 'the caller disconnected before dispatch' }, context)
  closeRow(core, row)
}
