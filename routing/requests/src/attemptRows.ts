/** Attempt rows: asks for grants and dispatches, by id and by endpoint. */
import type { AttemptId, DurationMs, EndpointId, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { Core } from './core.ts'
import { getHealth } from './core.ts'
import type { AttemptRow, RequestRow } from './types.ts'

/**
 * An attempt that was given up without its end marker keeps its grant this long: the endpoint may run
 * on until it notices, and its next reports show whether it does.
 */
const LINGER_MS = 2_000

/** Makes the id of the next ask. */
export function buildGrantId (row: RequestRow): AttemptId {
  return `${row.request.requestId}.${row.asks}`
}

/** Puts an attempt on the tables and counts it against the endpoint's limit. */
export function addAttempt (core: Core, attempt: AttemptRow): void {
  core.attempts.set(attempt.grantId, attempt)
  attempt.row.attempts.push(attempt)
  if (attempt.endpoint !== undefined) bindEndpoint(core, attempt, attempt.endpoint)
}

/** Binds an attempt to its endpoint. */
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

/** Takes an attempt off the tables. */
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

/** Tells the owner that gave the grant, and the owner of now if it is another, that the slot is free. */
export function releaseGrant (core: Core, attempt: AttemptRow, opts: { ran: boolean, runMs: DurationMs }, context: RunContext): void {
  if (attempt.owner === undefined || attempt.endpoint === undefined) return
  const message = { kind: 'grant.release', attemptId: attempt.grantId, endpoint: attempt.endpoint, ran: opts.ran, runMs: Math.round(opts.runMs) } as const
  const owners = new Set<HostId>([attempt.owner])
  const ownerNow = core.opts.zone.getEndpoint(attempt.endpoint)?.owner
  if (ownerNow !== undefined) owners.add(ownerNow)
  for (const owner of owners) context.send(owner, message)
}

/** Withdraws an ask that was not granted yet. */
export function cancelAsk (core: Core, attempt: AttemptRow, context: RunContext): void {
  if (attempt.owner !== undefined) {
    context.send(attempt.owner, { kind: 'grant.cancel', attemptId: attempt.grantId, endpoint: attempt.endpoint })
  }
  dropAsk(core, attempt)
}

/** Forgets an ask that was refused or withdrawn. */
export function dropAsk (core: Core, attempt: AttemptRow): void {
  if (attempt.endpoint !== undefined) {
    core.router.noteAskDropped(attempt.endpoint, attempt.row.target.adapterKey)
    getHealth(core.health, attempt.endpoint).breaker.noteCancelled()
  }
  removeAttempt(core, attempt)
}

/** Keeps the grant of an attempt that was given up while the endpoint may still run it. */
export function lingerAttempt (core: Core, attempt: AttemptRow, now: MonotonicMs): void {
  attempt.state = 'lingering'
  if (core.dispatched.get(attempt.attemptId) === attempt) core.dispatched.delete(attempt.attemptId)
  core.attemptChecks.set(attempt.grantId, now + LINGER_MS)
}

/** Gives the grant of a lingering attempt back. */
export function endLingering (core: Core, attempt: AttemptRow, context: RunContext): void {
  releaseGrant(core, attempt, { ran: true, runMs: context.now - attempt.dispatchedAt }, context)
  removeAttempt(core, attempt)
}

/** Cancels a dispatched attempt. */
export function cancelDispatch (core: Core, attempt: AttemptRow, context: RunContext): void {
  if (attempt.state !== 'running') return
  context.emit({ kind: 'attempt.cancel', attemptId: attempt.attemptId })
  getHealth(core.health, attempt.endpoint ?? '').breaker.noteCancelled()
  lingerAttempt(core, attempt, context.now)
}

/** Gives up all attempts of a request except one. */
export function cancelOthers (core: Core, row: RequestRow, keep: AttemptRow | undefined, context: RunContext): void {
  for (const attempt of [...row.attempts]) {
    if (attempt === keep) continue
    if (attempt.state === 'asking') cancelAsk(core, attempt, context)
    else cancelDispatch(core, attempt, context)
  }
}

/** Counts attempts that are asked for or running. */
export function countLive (row: RequestRow): number {
  let live = 0
  for (const attempt of row.attempts) if (attempt.state !== 'lingering') live += 1
  return live
}

/** Remembers not to ask an endpoint for a while. */
export function avoidEndpoint (row: RequestRow, endpoint: EndpointId | undefined, until: MonotonicMs): void {
  if (endpoint !== undefined) row.avoided.set(endpoint, until)
}
