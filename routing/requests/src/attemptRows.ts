/**
 * Adds, indexes, cancels and removes the attempts of requests, and releases their grants, for the steps that place
 * requests and handle replies, events and timers.
 */
import type { AttemptId, DurationMs, EndpointId, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { Core } from './core.ts'
import { getHealth } from './core.ts'
import type { AttemptRow, RequestRow } from './types.ts'

/**
 * Time for which the grant is held after an attempt was given up before its end marker: the endpoint may
 * run on until it notices the cancellation, and its next reports show whether it does.
 */
const GRANT_RETENTION_MS = 2_000

/** Builds the grant id of the latest attempt of a request. */
export function buildGrantId (row: RequestRow): AttemptId {
  return `${row.request.requestId}.${row.grantRequests}`
}

/** Adds an attempt to the tables and counts it against the endpoint's concurrency limit. */
export function addAttempt (core: Core, attempt: AttemptRow): void {
  core.attempts.set(attempt.grantId, attempt)
  attempt.row.attempts.push(attempt)
  if (attempt.endpoint !== undefined) bindEndpoint(core, attempt, attempt.endpoint)
}

/** Sets the endpoint of an attempt and counts the attempt as in flight there. */
export function bindEndpoint (core: Core, attempt: AttemptRow, endpoint: EndpointId): void {
  attempt.endpoint = endpoint
  let group = core.byEndpoint.get(endpoint)
  if (group === undefined) {
    group = new Set()
    core.byEndpoint.set(endpoint, group)
  }
  if (group.has(attempt)) return
  group.add(attempt)
  getHealth(core.health, endpoint).inFlight += 1
}

/** Removes an attempt from the tables. Its pool's queue is tried again, since capacity may be free. */
export function removeAttempt (core: Core, attempt: AttemptRow): void {
  core.attempts.delete(attempt.grantId)
  if (core.dispatched.get(attempt.attemptId) === attempt) core.dispatched.delete(attempt.attemptId)
  core.attemptChecks.clear(attempt.grantId)
  const { attempts } = attempt.row
  const index = attempts.indexOf(attempt)
  if (index >= 0) attempts.splice(index, 1)
  core.dirtyPools.add(attempt.row.target.pool)
  if (attempt.endpoint === undefined) return
  const group = core.byEndpoint.get(attempt.endpoint)
  if (group?.delete(attempt) !== true) return
  getHealth(core.health, attempt.endpoint).inFlight -= 1
  if (group.size === 0) core.byEndpoint.delete(attempt.endpoint)
}

/** Notifies the owner that gave the grant, and the current owner if it is another, that the grant is released. */
export function releaseGrant (core: Core, attempt: AttemptRow, opts: { ran: boolean, runMs: DurationMs }, context: RunContext): void {
  if (attempt.owner === undefined || attempt.endpoint === undefined) return
  const message = { kind: 'grant.release', attemptId: attempt.grantId, endpoint: attempt.endpoint, ran: opts.ran, runMs: Math.round(opts.runMs) } as const
  const owners = new Set<HostId>([attempt.owner])
  const currentOwner = core.opts.zone.getEndpoint(attempt.endpoint)?.owner
  if (currentOwner !== undefined) owners.add(currentOwner)
  for (const owner of owners) context.send(owner, message)
}

/** Cancels a grant request at the owner and removes the attempt. */
export function cancelGrantRequest (core: Core, attempt: AttemptRow, context: RunContext): void {
  if (attempt.owner !== undefined) {
    context.send(attempt.owner, { kind: 'grant.cancel', attemptId: attempt.grantId, endpoint: attempt.endpoint })
  }
  dropGrantRequest(core, attempt)
}

/** Removes an attempt whose grant request was refused or cancelled. */
export function dropGrantRequest (core: Core, attempt: AttemptRow): void {
  if (attempt.endpoint !== undefined) {
    core.router.recordGrantRequestDropped(attempt.endpoint, attempt.row.target.adapterKey)
    getHealth(core.health, attempt.endpoint).breaker.recordCancelled(attempt.isProbe)
  }
  removeAttempt(core, attempt)
}

/** Holds the grant of an attempt that was given up while the endpoint may still run it. */
export function retainAttempt (core: Core, attempt: AttemptRow, now: MonotonicMs): void {
  attempt.state = 'retained'
  if (core.dispatched.get(attempt.attemptId) === attempt) core.dispatched.delete(attempt.attemptId)
  core.attemptChecks.set(attempt.grantId, now + GRANT_RETENTION_MS)
}

/** Releases the grant of a retained attempt and removes the attempt. */
export function releaseRetained (core: Core, attempt: AttemptRow, context: RunContext): void {
  releaseGrant(core, attempt, { ran: true, runMs: context.now - attempt.dispatchedAt }, context)
  removeAttempt(core, attempt)
}

/** Cancels a running attempt at its endpoint; its grant is held for a while. */
export function cancelDispatch (core: Core, attempt: AttemptRow, context: RunContext): void {
  if (attempt.state !== 'running') return
  context.emit({ kind: 'attempt.cancel', attemptId: attempt.attemptId })
  getHealth(core.health, attempt.endpoint ?? '').breaker.recordCancelled(attempt.isProbe)
  retainAttempt(core, attempt, context.now)
}

/** Cancels all attempts of a request except `keep`. */
export function cancelOthers (core: Core, row: RequestRow, keep: AttemptRow | undefined, context: RunContext): void {
  for (const attempt of [...row.attempts]) {
    if (attempt === keep) continue
    if (attempt.state === 'asking') cancelGrantRequest(core, attempt, context)
    else cancelDispatch(core, attempt, context)
  }
}

/** Counts attempts that wait for a grant or run. */
export function countLiveAttempts (row: RequestRow): number {
  let live = 0
  for (const attempt of row.attempts) if (attempt.state !== 'retained') live += 1
  return live
}

/** Excludes an endpoint from a request's choices until the given time. */
export function avoidEndpoint (row: RequestRow, endpoint: EndpointId | undefined, until: MonotonicMs): void {
  if (endpoint !== undefined) row.avoidedUntil.set(endpoint, until)
}
